//! Regression tests: event sequences that once violated a guarantee of the core.

mod common;

use {
    cactusspur_core::{
        Arrival, AttemptId, CacheChange, CacheReport, CacheSequence, CallId, Command, Core,
        DurationMs, Event, Failure, IdempotencyState, Incarnation, PrefixChain, Record,
        RecordAnswer, RecordCall, Refusal, Row, RowVersion, Send, TimeMs, Verdict, VmList,
        WorkerId,
    },
    common::{CHAT, CUSTOMERS, DISPATCH, READ},
};

const START: TimeMs = TimeMs(1_000_000);
const ENGINES: [&str; 2] = ["engine-a", "engine-b"];
const SERVICES: [(&str, &str); 4] = [
    ("dispatch-a", DISPATCH),
    ("dispatch-b", DISPATCH),
    ("read-a", READ),
    ("read-b", READ),
];

fn vms() -> VmList {
    let services = SERVICES.map(|(name, service)| common::vm(name, "a", Some(service), false));
    let engines = ENGINES.map(|name| common::vm(name, "a", None, false));
    VmList {
        vms: services.into_iter().chain(engines).collect(),
    }
}

/// A core with two engines and two workers of each plain service, all alive.
fn open() -> Core {
    let mut core = common::core("entry-a", "a", 1);
    core.handle(START, Event::Configured(common::configuration(1)));
    core.handle(START, Event::Vms(vms()));
    for engine in ENGINES {
        let report = common::load(engine, 1, START, Some(common::weights(1)));
        core.handle(START, Event::Load(report));
    }
    for (service, _) in SERVICES {
        core.handle(START, Event::Load(common::load(service, 1, START, None)));
    }
    core
}

fn chat(request: u64) -> Arrival {
    common::arrival(request, CUSTOMERS[0], CHAT, &["rules", "question"])
}

fn dispatch(request: u64) -> Arrival {
    Arrival {
        idempotency_key: Some("key".into()),
        ..common::arrival(request, CUSTOMERS[0], DISPATCH, &["call"])
    }
}

fn after_start(ms: u64) -> TimeMs {
    START.after(DurationMs(ms))
}

/// The first write to the table service: its call id, the version that it expects, and the new
/// content of the row.
fn written(commands: &[Command]) -> Option<(CallId, Option<RowVersion>, Record)> {
    commands.iter().find_map(|command| match command {
        Command::Record {
            call,
            operation: RecordCall::Write {
                expected, record, ..
            },
        } => Some((*call, *expected, record.clone())),
        _ => None,
    })
}

fn record_answered(call: CallId, answer: RecordAnswer) -> Event {
    Event::RecordAnswered { call, answer }
}

fn sent(commands: &[Command]) -> Option<Send> {
    commands.iter().find_map(|command| match command {
        Command::Send(send) => Some(send.clone()),
        _ => None,
    })
}

fn refused(commands: &[Command]) -> Option<Refusal> {
    commands.iter().find_map(|command| match command {
        Command::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

fn failed(attempt: AttemptId, verdict: Verdict, failure: Failure) -> Event {
    Event::AttemptFailed {
        attempt,
        verdict,
        failure,
    }
}

#[test]
fn a_refusal_counts_all_attempts() {
    let mut core = open();
    let first = sent(&core.handle(START, Event::Arrived(chat(1)))).expect("sent");
    let broken = failed(first.attempt, Verdict::MayHaveRun, Failure::Broken);
    let second = sent(&core.handle(START, broken)).expect("sent again");
    let refusing = failed(second.attempt, Verdict::NotRun, Failure::Refused);
    let refusal = refused(&core.handle(START, refusing)).expect("refused");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn a_late_bind_does_not_block_the_key() {
    let mut core = open();
    let bind = written(&core.handle(START, Event::Arrived(dispatch(1)))).expect("bound");
    let overdue = core.handle(after_start(1_100), Event::Tick);
    assert_eq!(refused(&overdue).expect("refused").verdict, Verdict::NotRun);
    let abandon = written(&overdue).expect("abandoned");
    let version = RowVersion(1);
    let bound = record_answered(bind.0, RecordAnswer::Written(version));
    core.handle(after_start(1_200), bound);
    let row = Row {
        version,
        record: bind.2,
    };
    let conflict = record_answered(abandon.0, RecordAnswer::Conflict(Some(row)));
    let again = written(&core.handle(after_start(1_200), conflict)).expect("abandoned again");
    assert_eq!(again, (again.0, Some(version), abandon.2));
}

fn has_probe(commands: &[Command], worker: &str) -> bool {
    let worker = WorkerId::from_name(worker);
    commands.contains(&Command::Probe { worker })
}

fn accepts_work(core: &Core, name: &str) -> bool {
    let mut workers = core.workers();
    workers.any(|worker| worker.id == WorkerId::from_name(name) && worker.accepts_work())
}

#[test]
fn a_lagging_list_does_not_bring_a_leaving_worker_back() {
    let mut core = open();
    let leaving = Event::WorkerLeaving {
        worker: WorkerId::from_name("engine-a"),
        incarnation: Incarnation(1),
    };
    core.handle(START, leaving);
    core.handle(after_start(100), Event::Vms(vms()));
    assert!(!accepts_work(&core, "engine-a"));
    let probed = Event::Probed {
        worker: WorkerId::from_name("engine-a"),
        incarnation: Some(Incarnation(2)),
    };
    core.handle(after_start(200), probed);
    assert!(accepts_work(&core, "engine-a"));
}

#[test]
fn a_late_report_does_not_bring_a_dead_life_back() {
    let mut core = open();
    let probed = Event::Probed {
        worker: WorkerId::from_name("engine-a"),
        incarnation: Some(Incarnation(2)),
    };
    core.handle(START, probed);
    let report = common::load("engine-a", 1, after_start(1), Some(common::weights(1)));
    let commands = core.handle(after_start(2), Event::Load(report));
    assert!(has_probe(&commands, "engine-a"));
    let mut workers = core.workers();
    assert!(workers.any(|worker| worker.incarnation == Some(Incarnation(2))));
}

#[test]
fn a_lost_probe_answer_does_not_leave_a_worker_suspected() {
    let mut core = open();
    let first = sent(&core.handle(START, Event::Arrived(chat(1)))).expect("sent");
    let broken = failed(first.attempt, Verdict::MayHaveRun, Failure::Broken);
    core.handle(START, broken);
    let commands = core.handle(after_start(2_000), Event::Tick);
    let worker = first.worker;
    assert!(commands.contains(&Command::Probe { worker }));
}

#[test]
fn a_forgotten_worker_leaves_no_cached_pieces() {
    let mut core = open();
    let text = "rules ".repeat(100);
    let arrival = common::arrival(1, CUSTOMERS[0], CHAT, &[&text]);
    let commands = core.handle(START, Event::Arrived(arrival.clone()));
    let send = sent(&commands).expect("sent");
    let chain = PrefixChain::from_levels(send.scope.expect("a scope"), &arrival.levels);
    let report = CacheReport {
        worker: send.worker,
        incarnation: Incarnation(1),
        first_sequence: CacheSequence(0),
        changes: chain
            .pieces
            .iter()
            .copied()
            .map(CacheChange::Stored)
            .collect(),
    };
    core.handle(START, Event::Cache(report));
    assert!(core.estimated_cached_tokens(send.worker, &chain).0 > 0);
    let request = arrival.request;
    core.handle(START, Event::CallerLeft { request });
    core.handle(after_start(1), Event::Vms(VmList::default()));
    core.handle(after_start(100_000), Event::Vms(VmList::default()));
    assert_eq!(core.workers().count(), 0);
    assert_eq!(core.estimated_cached_tokens(send.worker, &chain).0, 0);
}

fn probed(worker: WorkerId, incarnation: u64) -> Event {
    Event::Probed {
        worker,
        incarnation: Some(Incarnation(incarnation)),
    }
}

/// Lets a dispatch request arrive and its key be bound, and returns the attempt that is sent.
fn send_dispatch(core: &mut Core, request: u64) -> Send {
    let bind = written(&core.handle(START, Event::Arrived(dispatch(request)))).expect("bound");
    let answer = RecordAnswer::Written(RowVersion(1));
    sent(&core.handle(START, record_answered(bind.0, answer))).expect("sent")
}

#[test]
fn a_slow_call_is_not_given_up_while_its_worker_lives() {
    let mut core = open();
    let send = send_dispatch(&mut core, 1);
    core.handle(after_start(2_100), Event::Tick);
    let commands = core.handle(after_start(2_101), probed(send.worker, 1));
    assert_eq!(refused(&commands), None);
    let commands = core.handle(after_start(4_000), answer(send.attempt));
    assert!(matches!(commands[0], Command::Answer { .. }));
}

fn piece(attempt: AttemptId, offset_bytes: u64, text: &'static str) -> Event {
    Event::Piece {
        attempt,
        offset_bytes,
        text: text.into(),
    }
}

#[test]
fn a_silent_stream_goes_on_at_the_same_engine() {
    let mut core = open();
    let first = sent(&core.handle(START, Event::Arrived(chat(1)))).expect("sent");
    core.handle(START, piece(first.attempt, 0, "four"));
    let commands = core.handle(after_start(1_100), Event::Tick);
    assert_eq!(commands.len(), 1, "{commands:?}");
    let commands = core.handle(after_start(1_101), probed(first.worker, 1));
    let second = sent(&commands).expect("sent again");
    assert_eq!(
        (second.worker, second.resume_offset_bytes),
        (first.worker, 4)
    );
    assert!(has_cancel(&commands, &first));
}

#[test]
fn a_silent_stream_is_probed_again_when_the_probe_answer_is_lost() {
    let mut core = open();
    let first = sent(&core.handle(START, Event::Arrived(chat(1)))).expect("sent");
    core.handle(START, piece(first.attempt, 0, "four"));
    let worker = first.worker;
    core.handle(after_start(1_100), Event::Tick);
    let again = core.handle(after_start(2_700), Event::Tick);
    assert!(again.contains(&Command::Probe { worker }));
}

fn has_cancel(commands: &[Command], send: &Send) -> bool {
    commands.contains(&Command::Cancel {
        attempt: send.attempt,
        worker: send.worker,
    })
}

#[test]
fn a_gap_in_a_stream_cancels_the_attempt() {
    let mut core = open();
    let first = sent(&core.handle(START, Event::Arrived(chat(1)))).expect("sent");
    let commands = core.handle(START, piece(first.attempt, 9, "late"));
    assert!(has_cancel(&commands, &first));
    assert!(sent(&commands).is_some());
}

#[test]
fn a_life_that_says_it_leaves_before_it_is_known_gets_no_work() {
    let mut core = open();
    let worker = WorkerId::from_name("engine-a");
    let incarnation = Incarnation(2);
    let leaving = Event::WorkerLeaving {
        worker,
        incarnation,
    };
    let known_incarnation = Event::WorkerLeaving {
        worker,
        incarnation: Incarnation(1),
    };
    core.handle(START, known_incarnation);
    core.handle(START, leaving);
    core.handle(after_start(1), probed(worker, 2));
    assert!(!accepts_work(&core, "engine-a"));
}

fn answer(attempt: AttemptId) -> Event {
    Event::CallAnswered {
        attempt,
        status: 200,
        body: "done".into(),
    }
}

#[test]
fn a_late_answer_of_a_call_that_was_given_up_is_kept() {
    let mut core = open();
    let send = send_dispatch(&mut core, 1);
    let broken = failed(send.attempt, Verdict::MayHaveRun, Failure::Broken);
    let refusal = refused(&core.handle(after_start(1), broken)).expect("refused");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    let commands = core.handle(after_start(2), answer(send.attempt));
    let Some((_, expected, Record::Idempotency(record))) = written(&commands) else {
        panic!("{commands:?}");
    };
    assert_eq!(expected, Some(RowVersion(1)));
    assert!(matches!(record.state, IdempotencyState::Done { .. }));
    assert_eq!(commands.len(), 1);
}

#[test]
fn a_dispatch_that_was_not_run_goes_elsewhere_under_a_new_attempt() {
    let mut core = open();
    let first = send_dispatch(&mut core, 1);
    let refusing = failed(first.attempt, Verdict::NotRun, Failure::Refused);
    let commands = core.handle(after_start(1), refusing);
    let (call, expected, _) = written(&commands).expect("bound again");
    assert_eq!(expected, Some(RowVersion(1)));
    let bound = record_answered(call, RecordAnswer::Written(RowVersion(2)));
    let second = sent(&core.handle(after_start(2), bound)).expect("sent again");
    assert_ne!(second.worker, first.worker);
    assert_ne!(second.attempt, first.attempt);
}

#[test]
fn an_outage_of_the_table_service_leaves_a_bounded_table() {
    let mut core = open();
    for request in 1..=5_000 {
        let mut arrival = dispatch(request);
        arrival.idempotency_key = Some(request.to_string());
        core.handle(after_start(request * 2), Event::Arrived(arrival));
        core.handle(after_start(request * 2), Event::Tick);
    }
    assert!(core.sizes().key_uses <= 4_096);
}

#[test]
fn an_outage_refuses_calls_with_keys_alone() {
    let mut core = open();
    let (mut sent_count, mut refused_count) = (0, 0);
    for round in 0..100 {
        let read = common::arrival(round * 3 + 2, CUSTOMERS[0], READ, &["design"]);
        for arrival in [dispatch(round * 3), chat(round * 3 + 1), read] {
            let key = Some(round.to_string());
            let arrival = Arrival {
                idempotency_key: arrival.idempotency_key.and(key),
                ..arrival
            };
            let now = after_start(round * 2_000);
            let commands = core.handle(now, Event::Arrived(arrival));
            let Some(send) = sent(&commands) else {
                continue;
            };
            sent_count += 1;
            let request = send.request;
            core.handle(now, Event::CallerLeft { request });
        }
        let overdue = core.handle(after_start(round * 2_000 + 1_001), Event::Tick);
        let refusal = refused(&overdue).expect("refused");
        assert_eq!(refusal.verdict, Verdict::NotRun);
        refused_count += 1;
    }
    assert_eq!((sent_count, refused_count), (200, 100));
}

#[test]
fn a_dispatch_that_no_worker_takes_does_not_use_the_table_service() {
    let mut core = open();
    core.handle(START, Event::Vms(VmList::default()));
    let commands = core.handle(START, Event::Arrived(dispatch(1)));
    assert_eq!(
        refused(&commands).expect("refused").verdict,
        Verdict::NotRun
    );
    assert_eq!(commands.len(), 1);
}
