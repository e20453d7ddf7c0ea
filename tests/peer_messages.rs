//! The format of version 1 of the messages between gateways. Gateways of two builds run side by side
//! while machines are replaced, so that each build must encode and decode exactly this format.
//!
//! `tests/data/peer-messages/version-1.txt` has a name and the hexadecimal bytes of a sealed message on
//! each line, as commit 92c6c9a encodes them. It is never written again.

use {
    bytes::Bytes,
    cactusspur::{
        gateway::{
            brittle::BrittleService,
            digest::{Digest, Origin, PaceSample, SentRequest, SharedStatus},
            notice::{Notice, RolloutNotice, StatusNotice, WeightsNotice},
            peer_table::{DomainSummary, Member},
            replica::{StoreVersion, StoredRow, TableCopy},
        },
        membership::{Heartbeat, Introduction, LoadSummary, SentWork},
        peer::{
            Envelope, MessageError, NotTaken, PassedAnswer, PassedRequest, PeerKey, PeerRequest,
            PeerResponse, SealedPassedAnswer, SealedPassedRequest, SealedRequest, SealedResponse,
        },
        timeline::HybridTime,
    },
    cactusspur_core::{
        CustomerId, DurationMs, EntryId, Generation, TimeMs, Tokens, Vm, VmList, VmRole,
        WeightsVersion, WorkerId,
        gateway::{
            AccusedRequest, BrittleReport, CrashReport, Culprit, Load, Pace, PartId, PartState,
            PartUpdate, PassReport, PastVersion, QuarantineNotice, QuarantineReport,
            RejectionTolerance, RequestDigest, RequestIdentity, RequestRate, ServiceKey,
            SoftwareKey, StreamKey, StreamOrigin, TrialNotice, Trigger, UsageOrigin, UsageRow,
            VersionRecord,
        },
    },
    serde::de::DeserializeOwned,
    std::{collections::BTreeMap, fmt::Debug, net::SocketAddr},
};

const KEY: &str = "a shared key of the tests, 32 bytes or more";
const GOLDEN: &str = include_str!("data/peer-messages/version-1.txt");

fn key() -> PeerKey {
    PeerKey::derive(KEY).expect("long enough")
}

fn envelope<M>(message: M) -> Envelope<M> {
    Envelope {
        from: EntryId(0x0102_0304_0506_0708),
        incarnation: 300,
        number: 70_000,
        sent_at: HybridTime {
            wall_ms: TimeMs(1_700_000_000_000),
            count: 3,
        },
        message,
    }
}

fn v4(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], 7_003))
}

fn v6(last: u16) -> SocketAddr {
    SocketAddr::from(([0xfd00, 0, 0, 0, 0, 0, 0, last], 7_004))
}

/// A number that takes several bytes, which differs from the others by `low`.
const fn worker(low: u64) -> WorkerId {
    WorkerId(0x1112_1314_1516_1700 + low)
}

fn loads() -> Vec<(WorkerId, Load)> {
    let brittle = BrittleReport {
        tolerance: RejectionTolerance(4),
        is_rejection: true,
    };
    let full = Load {
        running: 5,
        waiting: 260,
        limit: Some(RequestRate::from_milli(12_500)),
        brittle: Some(brittle),
    };
    let least = Load {
        running: 1,
        waiting: 2,
        limit: None,
        brittle: None,
    };
    vec![(worker(1), full), (worker(2), least)]
}

fn parts() -> Vec<PartUpdate> {
    let states = [PartState::Prefilling, PartState::Cached, PartState::Stored];
    let update = |(part, state)| PartUpdate {
        part,
        worker: worker(3),
        state,
    };
    (0x2122..).zip(states).map(update).collect()
}

fn streams() -> Vec<StreamOrigin> {
    vec![StreamOrigin {
        stream: StreamKey(0x3132_3334_3536_3738),
        software: SoftwareKey(0x4142_4344),
    }]
}

fn quarantine() -> QuarantineReport {
    let request = RequestIdentity {
        digest: RequestDigest(0x5152_5354),
        parts: vec![PartId(0x61), PartId(0x6263)],
    };
    let accused = AccusedRequest {
        request,
        ran_ms: DurationMs(410),
    };
    let notice = |culprit, age| QuarantineNotice {
        culprit,
        age_ms: DurationMs(age),
    };
    let pass = |trigger, age| PassReport {
        trigger,
        age_ms: DurationMs(age),
    };
    QuarantineReport {
        crashes: vec![CrashReport {
            worker: worker(4),
            started_at_ms: 1_699_999_999_000,
            age_ms: DurationMs(42),
            requests: vec![accused],
        }],
        quarantines: vec![
            notice(Culprit::Request(RequestDigest(0x71)), 43),
            notice(Culprit::Parts(vec![PartId(0x72), PartId(0x73)]), 44),
        ],
        passes: vec![
            pass(Trigger::Part(PartId(0x74)), 45),
            pass(Trigger::Request(RequestDigest(0x75)), 46),
        ],
        trials: vec![TrialNotice {
            digest: RequestDigest(0x76),
            worker: worker(5),
            left_ms: DurationMs(47),
        }],
    }
}

fn usage() -> Vec<UsageRow> {
    vec![UsageRow {
        origin: UsageOrigin(0x8182_8384),
        customer: CustomerId(0x9192_9394_9596_9798),
        epoch: 17,
        used: 1_800,
        asked: 1_900_000,
    }]
}

fn rollout() -> RolloutNotice {
    RolloutNotice {
        model: "large".to_owned(),
        version: WeightsVersion(9),
        draining: vec![worker(6)],
        loading: vec![worker(7), worker(8)],
        updated: vec![worker(9)],
    }
}

fn newest_versions() -> Vec<(String, StoreVersion)> {
    let version = StoreVersion {
        era: 2,
        version: 77_000,
    };
    vec![("op".to_owned(), version)]
}

fn weights() -> Vec<WeightsNotice> {
    vec![WeightsNotice {
        model: "large".to_owned(),
        version: WeightsVersion(8),
        age_ms: DurationMs(10_100),
    }]
}

fn past_versions() -> Vec<PastVersion> {
    vec![PastVersion {
        service: "chat".to_owned(),
        software: SoftwareKey(0xa1a2),
        age_ms: DurationMs(10_200),
    }]
}

fn brittle_services() -> Vec<BrittleService> {
    vec![BrittleService {
        service: "thin".to_owned(),
        tolerance: RejectionTolerance(6),
        age_ms: DurationMs(10_300),
    }]
}

fn kept_stores() -> Vec<(SocketAddr, Option<u64>)> {
    vec![(v4(20), Some(31)), (v6(21), None)]
}

fn status() -> StatusNotice {
    StatusNotice {
        name: "entry-1".to_owned(),
        domain: "north".to_owned(),
        known_peers: vec![v4(2), v6(3)],
        store_age_ms: Some(DurationMs(120)),
        newest_versions: newest_versions(),
        weights: weights(),
        past_versions: past_versions(),
        brittle_services: brittle_services(),
        version_records: vec![VersionRecord {
            service: "chat".to_owned(),
            versions: vec![SoftwareKey(0xb1), SoftwareKey(0xb2)],
            is_complete: true,
            era: 2,
            row_version: 76_000,
        }],
        kept_stores: kept_stores(),
        is_stopping: true,
        out_of_reach: vec![ServiceKey(0xc1c2_c3c4)],
    }
}

fn notice() -> Notice {
    Notice {
        address: Some(v4(1)),
        parts: parts(),
        decode_heavy_requests: 251,
        sent_requests: vec![(worker(10), DurationMs(333))],
        loads: loads(),
        paces: vec![(worker(11), Pace::default())],
        rollout: Some(rollout()),
        streams: streams(),
        quarantine: quarantine(),
        usage: usage(),
        status: Some(status()),
        should_relay: true,
    }
}

fn member(last: u8) -> Member {
    Member {
        address: v4(last),
        name: format!("entry-{last}"),
        age_ms: DurationMs(1_500),
        store_age_ms: Some(DurationMs(251)),
        is_stopping: true,
        out_of_reach: vec![ServiceKey(0xd1d2_d3d4)],
    }
}

fn digest() -> Digest {
    Digest {
        sent_requests: vec![SentRequest {
            origin: Origin(0xe1e2_e3e4),
            worker: worker(12),
            prefill_ms: DurationMs(334),
        }],
        loads: loads(),
        paces: vec![PaceSample {
            origin: Origin(0xe5e6_e7e8),
            worker: worker(13),
            pace: Pace::default(),
        }],
        parts: parts(),
        decode_heavy_requests: vec![(v6(4), 252)],
        kept_stores: kept_stores(),
        streams: streams(),
        quarantine: quarantine(),
        usage: usage(),
        rollout: Some(rollout()),
        members: vec![member(5)],
        domains: vec![DomainSummary {
            domain: "south".to_owned(),
            age_ms: DurationMs(1_600),
            known: 3,
            decode_heavy_requests: 253,
            delegates: vec![member(6), member(7)],
        }],
        status: Some(SharedStatus {
            address: v4(8),
            newest_versions: newest_versions(),
            weights: weights(),
            past_versions: past_versions(),
            brittle_services: brittle_services(),
        }),
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        introduction: Introduction {
            name: "entry-9".to_owned(),
            failure_domain: "west".to_owned(),
            peers_address: v4(9),
            operators_address: v6(10),
            incarnation: 301,
            started_at_ms: TimeMs(1_699_999_000_000),
        },
        generation: Generation(14),
        confirmed_ms_ago: Some(1_700),
        load: LoadSummary {
            in_progress: 15,
            sends: vec![SentWork {
                worker: worker(14),
                tokens: Tokens(16_000),
            }],
        },
        leaving: true,
    }
}

fn request_name(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Heartbeat(_) => "heartbeat",
        PeerRequest::PullChanges { .. } => "pull changes",
        PeerRequest::Vms => "vms",
        PeerRequest::Notice(notice) if notice.status.is_none() => "least notice",
        PeerRequest::Notice(_) => "notice",
        PeerRequest::PullTables { .. } => "pull tables",
        PeerRequest::PullStreams => "pull streams",
        PeerRequest::StreamQuery { .. } => "stream query",
        PeerRequest::Join(_) => "join",
        PeerRequest::NoticeToMerge(_) => "notice to merge",
        PeerRequest::Digest { .. } => "digest",
        PeerRequest::OnlyVersionQuery { .. } => "only version query",
        PeerRequest::OnlyVersion { software: None, .. } => "no only version",
        PeerRequest::OnlyVersion { .. } => "only version",
    }
}

fn requests() -> Vec<PeerRequest> {
    vec![
        PeerRequest::Heartbeat(heartbeat()),
        PeerRequest::PullChanges {
            after: Generation(13),
        },
        PeerRequest::Vms,
        PeerRequest::Notice(Box::default()),
        PeerRequest::Notice(Box::new(notice())),
        PeerRequest::PullTables {
            known: newest_versions(),
        },
        PeerRequest::PullStreams,
        PeerRequest::StreamQuery {
            stream: StreamKey(0x3132),
            reply_to: v4(11),
        },
        PeerRequest::Join(Box::new(notice())),
        PeerRequest::NoticeToMerge(Box::new(notice())),
        PeerRequest::Digest {
            pass_on_to: vec![v4(12), v6(13)],
            is_to_merge: true,
            digest: Box::new(digest()),
        },
        PeerRequest::OnlyVersionQuery {
            service: "chat".to_owned(),
            query: 254,
            reply_to: v6(14),
        },
        PeerRequest::OnlyVersion {
            query: 254,
            software: Some(SoftwareKey(0xf1)),
        },
        PeerRequest::OnlyVersion {
            query: 255,
            software: None,
        },
    ]
}

fn response_name(response: &PeerResponse) -> &'static str {
    match response {
        PeerResponse::Heartbeat(_) => "heartbeat response",
        PeerResponse::Changes { .. } => "changes",
        PeerResponse::Snapshot { .. } => "snapshot",
        PeerResponse::UpToDate => "up to date",
        PeerResponse::Vms { list: None, .. } => "no list of vms",
        PeerResponse::Vms { .. } => "list of vms",
        PeerResponse::Tables(_) => "tables",
        PeerResponse::Streams(_) => "streams",
    }
}

fn responses() -> Vec<PeerResponse> {
    let roles = [
        VmRole::Entry,
        VmRole::Engine,
        VmRole::Service {
            name: "dispatch".to_owned(),
        },
    ];
    let vm = |role| Vm {
        name: "vm-1".to_owned(),
        address: "10.1.2.3:80".to_owned(),
        failure_domain: "east".to_owned(),
        role,
        leaving: true,
    };
    let row = |key: &str, value| StoredRow {
        key: key.to_owned(),
        version: StoreVersion {
            era: 1,
            version: 75_000,
        },
        value,
    };
    let table = TableCopy {
        name: "op".to_owned(),
        head: StoreVersion {
            era: 1,
            version: 75_001,
        },
        complete_since: StoreVersion {
            era: 1,
            version: 74_000,
        },
        rows: vec![row("config", Some(vec![1, 2, 3])), row("gone", None)],
        is_whole: true,
    };
    vec![
        PeerResponse::Heartbeat(heartbeat()),
        PeerResponse::Changes {
            records_json: b"[]".to_vec(),
        },
        PeerResponse::Snapshot {
            configuration_json: b"{}".to_vec(),
        },
        PeerResponse::UpToDate,
        PeerResponse::Vms {
            list: Some(VmList {
                vms: roles.into_iter().map(vm).collect(),
            }),
            age_ms: DurationMs(1_800),
        },
        PeerResponse::Vms {
            list: None,
            age_ms: DurationMs(0),
        },
        PeerResponse::Tables(vec![table]),
        PeerResponse::Streams(streams()),
    ]
}

fn headers() -> Vec<(String, Vec<u8>)> {
    vec![("accept".to_owned(), b"text/event-stream".to_vec())]
}

fn passed_request() -> PassedRequest {
    PassedRequest {
        method: "POST".to_owned(),
        target: "/v1/chat?x=1".to_owned(),
        headers: headers(),
        answer_in_ms: DurationMs(29_000),
        caller_waits_ms: DurationMs(1_900),
        attempts: 2,
        random: 0x0d0e_0f10_1112_1314,
        body_bytes: 257,
        body_hash: [0x5a; 32],
    }
}

fn answer_name(answer: &PassedAnswer) -> &'static str {
    match answer {
        PassedAnswer::NotTaken(NotTaken::NotReady) => "not ready",
        PassedAnswer::NotTaken(NotTaken::ShuttingDown) => "shutting down",
        PassedAnswer::NotTaken(NotTaken::OutOfReach) => "out of reach",
        PassedAnswer::NotTaken(NotTaken::Malformed) => "malformed",
        PassedAnswer::NotTaken(NotTaken::Full) => "full",
        PassedAnswer::Answer {
            body_bytes: None, ..
        } => "passed stream",
        PassedAnswer::Answer { .. } => "passed answer",
    }
}

fn passed_answers() -> Vec<PassedAnswer> {
    let answer = |body_bytes| PassedAnswer::Answer {
        status: 503,
        headers: headers(),
        body_bytes,
    };
    let not_taken = [
        NotTaken::NotReady,
        NotTaken::ShuttingDown,
        NotTaken::OutOfReach,
        NotTaken::Malformed,
        NotTaken::Full,
    ];
    let not_taken = not_taken.into_iter().map(PassedAnswer::NotTaken);
    let answers = [answer(Some(258)), answer(None)];
    not_taken.chain(answers).collect()
}

/// The sealed messages of 92c6c9a, by name.
fn golden() -> BTreeMap<&'static str, Bytes> {
    let decode = |text: &str| {
        let pairs = text.as_bytes().chunks(2);
        let bytes = pairs.map(|pair| {
            let digits = std::str::from_utf8(pair).expect("text");
            u8::from_str_radix(digits, 16).expect("hexadecimal")
        });
        bytes.collect::<Bytes>()
    };
    let lines = GOLDEN.lines().map(|line| {
        let (name, bytes) = line.split_once(": ").expect("a name and bytes");
        (name, decode(bytes))
    });
    lines.collect()
}

fn encode(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    digits
        .filter_map(|digit| char::from_digit(digit.into(), 16))
        .collect()
}

/// Checks that a message is encoded and decoded as 92c6c9a does it.
fn check<M, S, O>(
    golden: &mut BTreeMap<&'static str, Bytes>,
    name: &str,
    message: M,
    seal: S,
    open: O,
) where
    M: Clone + Debug + PartialEq,
    S: Fn(&PeerKey, &Envelope<M>) -> Bytes,
    O: Fn(&PeerKey, Bytes) -> Result<Envelope<M>, MessageError>,
{
    let message = envelope(message);
    let sealed = seal(&key(), &message);
    let expected = golden.remove(name).unwrap_or_default();
    assert_eq!(encode(&sealed), encode(&expected), "{name}");
    assert_eq!(open(&key(), expected), Ok(message), "{name}");
}

/// Guards against a field or a kind of message that is added, removed or moved, which gateways of
/// another build beside this one can't decode, and against one that this build can't.
#[test]
fn messages_of_version_1_are_those_of_92c6c9a() {
    let mut golden = golden();
    for message in requests() {
        check(
            &mut golden,
            request_name(&message),
            message,
            |key, message| SealedRequest::seal(key, message).expect("sealed").into(),
            |key, bytes| SealedRequest::from(bytes).open(key),
        );
    }
    for message in responses() {
        check(
            &mut golden,
            response_name(&message),
            message,
            |key, message| SealedResponse::seal(key, message).expect("sealed").into(),
            |key, bytes| SealedResponse::from(bytes).open(key),
        );
    }
    check(
        &mut golden,
        "passed request",
        passed_request(),
        |key, message| {
            let sealed = SealedPassedRequest::seal(key, message);
            sealed.expect("sealed").into()
        },
        |key, bytes| SealedPassedRequest::from(bytes).open(key),
    );
    for message in passed_answers() {
        check(
            &mut golden,
            answer_name(&message),
            message,
            |key, message| {
                let sealed = SealedPassedAnswer::seal(key, message);
                sealed.expect("sealed").into()
            },
            |key, bytes| SealedPassedAnswer::from(bytes).open(key),
        );
    }
    assert_eq!(golden.keys().collect::<Vec<_>>(), Vec::<&&str>::new());
}

/// Guards against a further variant of an enum in messages, which 92c6c9a can't decode.
#[test]
fn no_enum_in_version_1_has_variants_that_92c6c9a_lacks() {
    fn check<M>(variants: u8)
    where
        M: DeserializeOwned,
    {
        let is_known = |variant: u8| {
            let mut bytes = [0; 64];
            bytes[0] = variant;
            let config = bincode::config::standard();
            bincode::serde::decode_from_slice::<M, _>(&bytes, config).is_ok()
        };
        assert!(is_known(variants - 1));
        assert!(!is_known(variants));
    }
    check::<PeerRequest>(12);
    check::<PeerResponse>(7);
    check::<PassedAnswer>(2);
    check::<NotTaken>(5);
    check::<PartState>(3);
    check::<Culprit>(2);
    check::<Trigger>(2);
}
