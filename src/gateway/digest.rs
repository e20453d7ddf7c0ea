//! Digests: the merged notices of many gateways.
//!
//! In a large fleet a gateway sends its notices to one member of its failure domain, which merges
//! them and hands out a digest at a bounded rate. What a gateway sends and receives then depends on
//! the fleet's traffic, not on the number of gateways.

use {
    super::{
        brittle::BrittleService,
        notice::{Notice, RolloutNotice, WeightsNotice},
        peer_table::{DomainSummary, Member, Peers},
        replica::StoreVersion,
    },
    crate::peer::PeerRequest,
    cactusspur_core::{
        CustomerId, DurationMs, EntryId, TimeMs, VecMap, WorkerId,
        gateway::{
            Load, Pace, PartState, PartUpdate, PastVersion, QuarantineReport, StreamOrigin,
            UsageOrigin, UsageRow,
        },
    },
    derive_more::{Display, From, Into},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Estimated size of a row of a digest, in bytes, as encoded.
const ROW_BYTES: usize = 19;
/// The most bytes of rows in one datagram, so that it fits into a packet.
const MAX_PACKET_BYTES: usize = 1_150;
/// The most rows of one kind that wait for a digest. Further ones are dropped: they are estimates
/// that later notices correct.
const MAX_ROWS: usize = 4_000;

/// A short id of the gateway that an observation comes from, by which a gateway recognizes its own.
/// With few digits two gateways may share one; such a gateway misses some news of the other.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, From, Into, Serialize, Deserialize,
)]
pub struct Origin(pub u32);

impl Origin {
    /// The origin of a gateway's observations.
    #[must_use]
    pub const fn of(gateway: EntryId) -> Self {
        let [a, b, c, d, ..] = gateway.0.to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// A request that a gateway sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRequest {
    /// The gateway that sent it.
    pub origin: Origin,
    /// The engine.
    pub worker: WorkerId,
    /// The predicted prefill time.
    pub prefill_ms: DurationMs,
}

/// A sample of an engine's pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSample {
    /// The gateway that measured it.
    pub origin: Origin,
    /// The engine.
    pub worker: WorkerId,
    /// The sample.
    pub pace: Pace,
}

/// The state that a gateway shares besides its observations of engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedStatus {
    /// The address at which the gateway listens for peers.
    pub address: SocketAddr,
    /// The version of the newest known change of each watched table.
    pub newest_versions: Vec<(String, StoreVersion)>,
    /// The announced weights versions that are known.
    pub weights: Vec<WeightsNotice>,
    /// Software versions that services had and no longer have.
    pub past_versions: Vec<PastVersion>,
    /// The services whose servers are brittle.
    pub brittle_services: Vec<BrittleService>,
}

/// The merged notices of many gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Requests that were sent to engines.
    pub sent_requests: Vec<SentRequest>,
    /// The latest load that each backend server reported.
    pub loads: Vec<(WorkerId, Load)>,
    /// Samples of engines' paces.
    pub paces: Vec<PaceSample>,
    /// Changes of the prompt parts that servers prefill, cache or have stored.
    pub parts: Vec<PartUpdate>,
    /// The requests in progress of members that mostly decode, by the member's address.
    pub decode_heavy_requests: Vec<(SocketAddr, u64)>,
    /// The KV cache stores that were polled, with their incarnations; `None` for one that doesn't
    /// answer.
    pub kept_stores: Vec<(SocketAddr, Option<u64>)>,
    /// Streams that began.
    pub streams: Vec<StreamOrigin>,
    /// What is known of crashes of servers.
    pub quarantine: QuarantineReport,
    /// What gateways used and were asked for of customers' caps.
    pub usage: Vec<UsageRow>,
    /// The state of the rollout, from the holder of the order lease.
    pub rollout: Option<RolloutNotice>,
    /// Some members of the sender's failure domain.
    pub members: Vec<Member>,
    /// The known failure domains.
    pub domains: Vec<DomainSummary>,
    /// The sender's state, included periodically and after a change.
    pub status: Option<SharedStatus>,
}

impl Digest {
    /// Whether there is nothing to report.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.sent_requests.is_empty()
            && self.loads.is_empty()
            && self.paces.is_empty()
            && self.parts.is_empty()
            && self.decode_heavy_requests.is_empty()
            && self.kept_stores.is_empty()
            && self.streams.is_empty()
            && self.quarantine.is_empty()
            && self.usage.is_empty()
            && self.rollout.is_none()
            && self.members.is_empty()
            && self.domains.is_empty()
            && self.status.is_none()
    }

    /// Adds the observations of another digest.
    pub fn append(&mut self, other: Self) {
        self.sent_requests.extend(other.sent_requests);
        self.loads.extend(other.loads);
        self.paces.extend(other.paces);
        self.parts.extend(other.parts);
        self.kept_stores.extend(other.kept_stores);
        self.streams.extend(other.streams);
        self.quarantine.merge(other.quarantine);
        self.usage.extend(other.usage);
        self.rollout = other.rollout.or(self.rollout.take());
    }

    /// Splits the digest into ones that fit into a packet each. A rollout, summaries, status and the
    /// states of stores, which are bounded, go with the first.
    #[must_use]
    pub fn into_packets(self) -> Vec<Self> {
        const MAX_ROWS_EACH: usize = MAX_PACKET_BYTES / ROW_BYTES;
        /// A member's row takes about as much as this many others.
        const MEMBER_ROWS: usize = 3;
        /// So does a crash, and each request in it with its parts.
        const CRASH_ROWS: usize = 4;
        /// A row of use takes about as much as this many others.
        const USAGE_ROWS: usize = 2;

        let mut packets = Vec::new();
        let mut current = Self {
            rollout: self.rollout,
            domains: self.domains,
            status: self.status,
            kept_stores: self.kept_stores,
            ..Self::default()
        };
        let mut rows = if current.is_empty() { 0 } else { MAX_ROWS_EACH };
        let mut make_room = |current: &mut Self, size: usize| {
            if rows + size > MAX_ROWS_EACH {
                packets.push(std::mem::take(current));
                rows = 0;
            }
            rows += size;
        };
        for row in self.loads {
            make_room(&mut current, 1);
            current.loads.push(row);
        }
        for row in self.sent_requests {
            make_room(&mut current, 1);
            current.sent_requests.push(row);
        }
        for row in self.paces {
            make_room(&mut current, 1);
            current.paces.push(row);
        }
        for row in self.parts {
            make_room(&mut current, 1);
            current.parts.push(row);
        }
        for row in self.streams {
            make_room(&mut current, 1);
            current.streams.push(row);
        }
        for row in self.quarantine.crashes {
            make_room(&mut current, CRASH_ROWS * (1 + row.requests.len()));
            current.quarantine.crashes.push(row);
        }
        for row in self.quarantine.quarantines {
            make_room(&mut current, 1);
            current.quarantine.quarantines.push(row);
        }
        for row in self.quarantine.passes {
            make_room(&mut current, 1);
            current.quarantine.passes.push(row);
        }
        for row in self.quarantine.trials {
            make_room(&mut current, 1);
            current.quarantine.trials.push(row);
        }
        for row in self.usage {
            make_room(&mut current, USAGE_ROWS);
            current.usage.push(row);
        }
        for row in self.decode_heavy_requests {
            make_room(&mut current, 1);
            current.decode_heavy_requests.push(row);
        }
        for row in self.members {
            make_room(&mut current, MEMBER_ROWS);
            current.members.push(row);
        }
        if !current.is_empty() {
            packets.push(current);
        }
        packets
    }
}

/// Observations that wait to be handed out.
#[derive(Debug, Default)]
struct Pending {
    sent_requests: Vec<SentRequest>,
    paces: Vec<PaceSample>,
    loads: VecMap<WorkerId, Load>,
    parts: VecMap<(u64, WorkerId), PartState>,
    decode_heavy_requests: VecMap<SocketAddr, u64>,
    kept_stores: VecMap<SocketAddr, Option<u64>>,
    streams: Vec<StreamOrigin>,
    quarantine: QuarantineReport,
    usage: VecMap<(UsageOrigin, CustomerId), UsageRow>,
    rollout: Option<RolloutNotice>,
}

impl Pending {
    /// Keeps the latest load of each server, and that it rejected a request.
    fn add_load(&mut self, worker: WorkerId, load: Load) {
        let mut load = load;
        let earlier = self.loads.get(&worker).and_then(|earlier| earlier.brittle);
        if let (Some(brittle), Some(earlier)) = (&mut load.brittle, earlier) {
            brittle.is_rejection |= earlier.is_rejection;
        }
        self.loads.insert(worker, load);
    }

    fn add_part(&mut self, update: PartUpdate) {
        if self.parts.len() >= MAX_ROWS {
            return;
        }
        let key = (update.part, update.worker);
        let state = self.parts.get_or_insert_with(key, || update.state);
        *state = update.state.max(*state);
    }

    fn add_sent(&mut self, sent: SentRequest) {
        if self.sent_requests.len() < MAX_ROWS {
            self.sent_requests.push(sent);
        }
    }

    fn add_pace(&mut self, sample: PaceSample) {
        if self.paces.len() < MAX_ROWS {
            self.paces.push(sample);
        }
    }

    fn add_streams(&mut self, streams: &[StreamOrigin]) {
        let room = MAX_ROWS.saturating_sub(self.streams.len());
        self.streams.extend(streams.iter().take(room));
    }

    /// Keeps the latest row of each gateway and customer.
    fn add_usage(&mut self, rows: &[UsageRow]) {
        for row in rows {
            if self.usage.len() < MAX_ROWS {
                self.usage.insert((row.origin, row.customer), *row);
            }
        }
    }

    fn take(&mut self) -> Digest {
        let Self {
            sent_requests,
            paces,
            loads,
            parts,
            decode_heavy_requests,
            kept_stores,
            streams,
            quarantine,
            usage,
            rollout,
        } = std::mem::take(self);
        let parts = parts.iter().map(|((part, worker), state)| PartUpdate {
            part: *part,
            worker: *worker,
            state: *state,
        });
        let decode_heavy = decode_heavy_requests.iter();
        Digest {
            sent_requests,
            loads: loads
                .iter()
                .map(|(worker, load)| (*worker, *load))
                .collect(),
            paces,
            parts: parts.collect(),
            decode_heavy_requests: decode_heavy.map(|row| (*row.0, *row.1)).collect(),
            kept_stores: kept_stores.iter().map(|row| (*row.0, *row.1)).collect(),
            streams,
            quarantine,
            usage: usage.iter().map(|row| *row.1).collect(),
            rollout,
            ..Digest::default()
        }
    }
}

/// Merges the notices of one failure domain's members and the digests of other domains.
#[derive(Debug, Default)]
pub struct Collector {
    domain: Pending,
    others: Pending,
}

/// A message and the gateways that it is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The message.
    pub message: PeerRequest,
    /// The receivers.
    pub receivers: Vec<SocketAddr>,
}

impl Collector {
    /// Merges a notice of a member of the own failure domain.
    pub fn add_notice(&mut self, origin: Origin, notice: &Notice) {
        let pending = &mut self.domain;
        for (worker, prefill_ms) in &notice.sent_requests {
            pending.add_sent(SentRequest {
                origin,
                worker: *worker,
                prefill_ms: *prefill_ms,
            });
        }
        for (worker, load) in &notice.loads {
            pending.add_load(*worker, *load);
        }
        for (worker, pace) in &notice.paces {
            pending.add_pace(PaceSample {
                origin,
                worker: *worker,
                pace: *pace,
            });
        }
        for update in &notice.parts {
            pending.add_part(*update);
        }
        if let Some(address) = notice.address {
            let requests = notice.decode_heavy_requests;
            pending.decode_heavy_requests.insert(address, requests);
        }
        let stores = notice.status.iter().flat_map(|status| &status.kept_stores);
        for (store, incarnation) in stores {
            pending.kept_stores.insert(*store, *incarnation);
        }
        pending.add_streams(&notice.streams);
        pending.add_usage(&notice.usage);
        // The periodic report of each member would only repeat that of the gateway that merges.
        if notice.status.is_none() {
            pending.quarantine.merge(notice.quarantine.clone());
        }
        if notice.rollout.is_some() {
            pending.rollout.clone_from(&notice.rollout);
        }
    }

    /// Merges what the own gateway knows of crashes.
    pub fn add_quarantine(&mut self, report: QuarantineReport) {
        self.domain.quarantine.merge(report);
    }

    /// Merges a digest of another failure domain.
    pub fn add_digest(&mut self, digest: Digest) {
        let pending = &mut self.others;
        for sent in digest.sent_requests {
            pending.add_sent(sent);
        }
        for (worker, load) in digest.loads {
            pending.add_load(worker, load);
        }
        for sample in digest.paces {
            pending.add_pace(sample);
        }
        for update in digest.parts {
            pending.add_part(update);
        }
        for (store, incarnation) in digest.kept_stores {
            pending.kept_stores.insert(store, incarnation);
        }
        pending.add_streams(&digest.streams);
        pending.add_usage(&digest.usage);
        if digest.status.is_none() {
            pending.quarantine.merge(digest.quarantine);
        }
        if digest.rollout.is_some() {
            pending.rollout = digest.rollout;
        }
    }

    /// Takes everything that was merged since the last call, as messages to the members of the own
    /// failure domain and to the gateways that merge the notices of other domains. `random` draws the
    /// members that pass the digest on.
    pub fn hand_out(&mut self, peers: &Peers, random: u64, now: TimeMs) -> Vec<Outgoing> {
        self.hand_out_with(Digest::default(), Digest::default(), peers, random, now)
    }

    /// The same with the state of the gateway that merges and the members that it knows.
    pub fn hand_out_status(
        &mut self,
        own: &Member,
        decode_heavy_requests: u64,
        status: SharedStatus,
        peers: &Peers,
        random: u64,
        now: TimeMs,
    ) -> Vec<Outgoing> {
        let for_others = membership(peers, own, decode_heavy_requests, status, now);
        let for_domain = Digest {
            members: peers.members(own, now),
            ..for_others.clone()
        };
        self.hand_out_with(for_domain, for_others, peers, random, now)
    }

    fn hand_out_with(
        &mut self,
        for_domain: Digest,
        for_others: Digest,
        peers: &Peers,
        random: u64,
        now: TimeMs,
    ) -> Vec<Outgoing> {
        let from_domain = self.domain.take();
        let mut for_others = for_others;
        for_others.append(from_domain.clone());
        let mut for_domain = for_domain;
        for_domain
            .decode_heavy_requests
            .clone_from(&from_domain.decode_heavy_requests);
        for_domain.append(from_domain);
        for_domain.append(self.others.take());
        let mut outgoing = Vec::new();
        let remote = peers.remote_aggregators(random, now);
        if !remote.is_empty() {
            outgoing.extend(
                for_others
                    .into_packets()
                    .into_iter()
                    .map(|digest| Outgoing {
                        message: PeerRequest::Digest {
                            pass_on_to: Vec::new(),
                            is_to_merge: true,
                            digest: Box::new(digest),
                        },
                        receivers: remote.clone(),
                    }),
            );
        }
        for (number, digest) in (0..).zip(for_domain.into_packets()) {
            for branch in peers.branches(random.wrapping_add(number), now) {
                outgoing.push(Outgoing {
                    message: PeerRequest::Digest {
                        pass_on_to: branch.rest,
                        is_to_merge: false,
                        digest: Box::new(digest.clone()),
                    },
                    receivers: vec![branch.first],
                });
            }
        }
        outgoing
    }
}

/// The digest that tells a gateway which others there are.
#[must_use]
pub fn membership(
    peers: &Peers,
    own: &Member,
    decode_heavy_requests: u64,
    status: SharedStatus,
    now: TimeMs,
) -> Digest {
    Digest {
        domains: peers.summaries(own, decode_heavy_requests, now),
        status: Some(status),
        ..Digest::default()
    }
}
