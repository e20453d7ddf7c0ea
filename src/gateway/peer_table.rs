//! What a gateway knows of the others, and to whom it sends what.
//!
//! A small fleet sends each notice to everyone. In a large one a gateway knows the members of its
//! own failure domain, and of each other domain its size and its delegates: the members that come
//! first in an order that all compute alike. The first member of a domain merges the notices of all
//! (see [`super::digest`]). Nobody is elected: a gateway that merges for a while beside another one
//! costs a few messages.

use {
    super::{
        notice::Notice,
        store_polls::{PollPlace, PollTimes},
    },
    cactusspur_core::{
        DurationMs, TimeMs, VecMap, WorkerId,
        gateway::{LimitShare, RequestRate, ServiceKey, SlotShare, rendezvous_score},
    },
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        net::{IpAddr, SocketAddr},
    },
};

/// Running peers of another failure domain from which on one of them relays notices to the others.
/// With fewer peers a relay saves little traffic and adds a point of failure.
const MIN_RELAYED_PEERS: usize = 3;
/// Gateways up to which each notice is sent to everyone, which is the fastest way. In a larger fleet
/// notices are merged into digests, since the number of messages would grow with the square of the
/// fleet's size.
const MAX_DIRECT_GATEWAYS: usize = 96;
/// The time until others hear of a request, in a small fleet and in one that merges notices.
const NEWS_MS: DurationMs = DurationMs(60);
const LARGE_NEWS_MS: DurationMs = DurationMs(250);
/// How long a peer counts as running after its last notice.
const PEER_TIMEOUT_MS: DurationMs = DurationMs(4_000);
/// How long a peer counts as a member that may call the store after its last notice.
const MEMBER_TIMEOUT_MS: DurationMs = DurationMs(1_600);
/// The same in a large fleet, where a member's notice arrives by way of a digest.
const LARGE_MEMBER_TIMEOUT_MS: DurationMs = DurationMs(2_600);
/// How long a silent peer is remembered. A peer behind a network partition may continue to spend
/// its share of a common budget.
const FORGET_AFTER_MS: DurationMs = DurationMs(60_000);
/// How long a summary of another domain is valid.
const SUMMARY_TIMEOUT_MS: DurationMs = DurationMs(10_000);
/// The age of a count of members that no member of the domain made. Those that members made go before
/// it.
const INDIRECT_COUNT_AGE_MS: DurationMs = DurationMs(5_000);
/// How long without a digest until another member is asked to merge notices. Digests are sent at
/// least twice in this time.
const DIGEST_TIMEOUT_MS: DurationMs = DurationMs(1_200);
/// How long a member that sent no digests isn't asked again.
const SUSPECT_MS: DurationMs = DurationMs(4_000);
/// The time after which a second suspicion counts as a first one again.
const REPEATED_SUSPICION_MS: DurationMs = DurationMs(15_000);
/// Members of each failure domain that all gateways of other domains know.
const DELEGATES: usize = 3;
/// Members that a gateway hands a changed table to.
const TREE_CHILDREN: usize = 4;
/// Members that are sent a digest by the gateway that merged it. They pass it on to the rest.
const FAN_OUT: usize = 8;
/// Gateways of a failure domain that take over the requests of one that is cut off from servers. With fewer,
/// those of other domains help, though traffic between domains is charged for.
const MIN_LOCAL_HELPERS: usize = 2;
/// The key of the order of a failure domain's members.
const DOMAIN_ORDER_KEY: u64 = 0;
/// Gateways of a failure domain that poll the store. While one is replaced, the domain gets changes from other
/// domains.
const MAX_WATCHERS: usize = 1;

/// A fraction of 2^32 for an address. Those of addresses in a row are spread evenly (Fibonacci hashing).
fn spread_evenly(address: SocketAddr) -> u64 {
    const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
    let append = |key: u64, byte: &u8| (key << u8::BITS) | u64::from(*byte);
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.octets().iter().fold(0, append),
        IpAddr::V6(ip) => ip.octets().iter().fold(0, append),
    };
    ip.wrapping_add(address.port().into())
        .wrapping_mul(GOLDEN_RATIO)
        >> u32::BITS
}

/// Returns the rank of a gateway, which all gateways compute alike without communication; the
/// highest rank comes first. Each `key` gives another order.
#[must_use]
pub fn gateway_rank(name: &str, key: u64) -> u64 {
    rendezvous_score(key, WorkerId::from_name(name))
}

/// The peers that a notice is sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receivers {
    /// Peers that don't relay the notice, ordered by address.
    pub direct: Vec<SocketAddr>,
    /// Peers that relay the notice within their failure domains, one for each domain.
    pub relays: Vec<SocketAddr>,
}

/// A member of a failure domain, as one gateway describes it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address at which the member listens for peers.
    pub address: SocketAddr,
    /// The member's name.
    pub name: String,
    /// The time since the member's last notice.
    pub age_ms: DurationMs,
    /// The time since the store last answered the member; `None` if it never did.
    pub store_age_ms: Option<DurationMs>,
    /// Whether the member is shutting down.
    pub is_stopping: bool,
    /// The services whose servers the member doesn't reach.
    pub out_of_reach: Vec<ServiceKey>,
}

/// What gateways of other failure domains know of a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The domain's name.
    pub domain: String,
    /// The time since a member of the domain counted its members.
    pub age_ms: DurationMs,
    /// The members that share common budgets: running ones, and silent ones that may still spend.
    pub known: usize,
    /// The members' requests in progress that mostly decode.
    pub decode_heavy_requests: u64,
    /// The running members that come first in the domain's order.
    pub delegates: Vec<Member>,
}

/// The gateway that owns a table of peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnIdentity {
    /// The gateway's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The address at which it listens for peers.
    pub address: SocketAddr,
}

/// What a gateway knows of the members of its failure domain that poll the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainPollers {
    /// The number of members that should poll.
    pub needed: usize,
    /// The other members that do.
    pub running: usize,
    /// Those of them that come before this gateway in the domain's order.
    pub ahead: usize,
    /// All members that were heard lately, this gateway included.
    pub members: usize,
    /// The time until none of the others counts as polling, unless one is heard.
    pub lapse_ms: DurationMs,
}

/// A group of receivers of a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// The member that is sent the digest.
    pub first: SocketAddr,
    /// The members that it passes the digest on to.
    pub rest: Vec<SocketAddr>,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    name: String,
    last_notice_at_ms: Option<TimeMs>,
    is_stopping: bool,
    out_of_reach: Vec<ServiceKey>,
    decode_heavy_requests: u64,
    domain: String,
    store_answered_at_ms: Option<TimeMs>,
    suspicion: Suspicion,
}

/// That a member sent no digests though it was asked to.
#[derive(Clone, Copy, Debug, Default)]
struct Suspicion {
    /// When it was suspected last.
    since_ms: Option<TimeMs>,
    until_ms: TimeMs,
    /// Whether it was suspected again soon after the last time.
    is_repeated: bool,
}

impl Suspicion {
    fn renew(&mut self, now: TimeMs) {
        let is_recent = |at_ms: TimeMs| now.since(at_ms) < REPEATED_SUSPICION_MS;
        self.is_repeated = self.since_ms.is_some_and(is_recent);
        self.since_ms = Some(now);
        self.until_ms = now.after(SUSPECT_MS);
    }

    /// Ends a first suspicion of a member that others have heard of since. The request to merge may
    /// have been lost, and then the member doesn't know whom to send digests to.
    fn clear_by_report(&mut self, heard_at_ms: TimeMs) {
        if !self.is_repeated && self.since_ms < Some(heard_at_ms) {
            self.until_ms = TimeMs(0);
        }
    }
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            name: String::new(),
            last_notice_at_ms: None,
            is_stopping: false,
            out_of_reach: Vec::new(),
            decode_heavy_requests: 0,
            domain: String::new(),
            store_answered_at_ms: None,
            suspicion: Suspicion::default(),
        }
    }

    fn was_heard_within(&self, limit: DurationMs, now: TimeMs) -> bool {
        self.last_notice_at_ms
            .is_some_and(|last_ms| now.since(last_ms) < limit)
    }

    fn is_running(&self, now: TimeMs) -> bool {
        self.was_heard_within(PEER_TIMEOUT_MS, now) && !self.is_stopping
    }

    /// Whether the peer polls the store, as far as known.
    fn is_polling(&self, times: PollTimes, now: TimeMs) -> bool {
        let is_answered = self
            .store_answered_at_ms
            .is_some_and(|at_ms| now.since(at_ms) < times.watcher_answer_ms());
        is_answered && !self.is_stopping && self.was_heard_within(times.heartbeat_timeout_ms(), now)
    }

    fn is_trusted(&self, now: TimeMs) -> bool {
        self.is_running(now) && now >= self.suspicion.until_ms && !self.name.is_empty()
    }

    fn describe(&self, now: TimeMs) -> Option<Member> {
        Some(Member {
            address: self.address,
            name: self.name.clone(),
            age_ms: now.since(self.last_notice_at_ms?),
            store_age_ms: self.store_answered_at_ms.map(|at_ms| now.since(at_ms)),
            is_stopping: self.is_stopping,
            out_of_reach: self.out_of_reach.clone(),
        })
    }
}

#[derive(Clone, Debug)]
struct KnownSummary {
    known: usize,
    decode_heavy_requests: u64,
    counted_at_ms: TimeMs,
}

/// The member that notices are sent to for merging.
#[derive(Clone, Copy, Debug)]
struct Aggregator {
    address: SocketAddr,
    since_ms: TimeMs,
}

/// The known other gateways, ordered by address.
#[derive(Clone, Debug)]
pub struct Peers {
    own: OwnIdentity,
    rows: Vec<Peer>,
    summaries: VecMap<String, KnownSummary>,
    aggregator: Option<Aggregator>,
    last_digest_at_ms: TimeMs,
    is_own_stopping: bool,
    own_store_answered_at_ms: Option<TimeMs>,
}

impl Peers {
    /// Creates a table without peers.
    #[must_use]
    pub fn new(own: OwnIdentity) -> Self {
        Self {
            own,
            rows: Vec::new(),
            summaries: VecMap::default(),
            aggregator: None,
            last_digest_at_ms: TimeMs(0),
            is_own_stopping: false,
            own_store_answered_at_ms: None,
        }
    }

    /// The gateway that owns this table.
    #[must_use]
    pub const fn own(&self) -> &OwnIdentity {
        &self.own
    }

    /// Records that this gateway is shutting down. It takes over no more duties.
    pub fn set_stopping(&mut self) {
        self.is_own_stopping = true;
    }

    /// Adds an address at which a peer may listen.
    pub fn add(&mut self, address: SocketAddr) {
        if address != self.own.address
            && let Err(index) = self.position(address)
        {
            self.rows.insert(index, Peer::new(address));
        }
    }

    /// Records a notice from a peer. Returns whether the peer was not running before.
    pub fn record_notice(&mut self, address: SocketAddr, notice: &Notice, now: TimeMs) -> bool {
        self.add(address);
        let Ok(index) = self.position(address) else {
            return false;
        };
        let peer = &mut self.rows[index];
        let was_running = peer.was_heard_within(PEER_TIMEOUT_MS, now);
        peer.last_notice_at_ms = Some(now);
        peer.decode_heavy_requests = notice.decode_heavy_requests;
        if let Some(status) = &notice.status {
            let store_age_ms = status.store_age_ms;
            peer.store_answered_at_ms = store_age_ms.map(|age| TimeMs(now.0.saturating_sub(age.0)));
            peer.is_stopping = status.is_stopping;
            peer.out_of_reach.clone_from(&status.out_of_reach);
            peer.domain.clone_from(&status.domain);
            peer.name.clone_from(&status.name);
        }
        !was_running
    }

    /// Records what another gateway says of a member of a domain, unless more recent news of that
    /// member is known.
    pub fn record_member(&mut self, domain: &str, member: &Member, now: TimeMs) {
        let heard_at_ms = TimeMs(now.0.saturating_sub(member.age_ms.0));
        if member.address == self.own.address || member.age_ms >= FORGET_AFTER_MS {
            return;
        }
        self.add(member.address);
        let Ok(index) = self.position(member.address) else {
            return;
        };
        let peer = &mut self.rows[index];
        if peer.last_notice_at_ms >= Some(heard_at_ms) {
            return;
        }
        peer.last_notice_at_ms = Some(heard_at_ms);
        peer.suspicion.clear_by_report(heard_at_ms);
        peer.is_stopping = member.is_stopping;
        peer.out_of_reach.clone_from(&member.out_of_reach);
        peer.store_answered_at_ms = member
            .store_age_ms
            .map(|age| TimeMs(now.0.saturating_sub(age.0)));
        peer.domain.clear();
        peer.domain.push_str(domain);
        peer.name.clone_from(&member.name);
    }

    /// Records another gateway's summary of a domain. Of its own domain a gateway takes in the
    /// members only.
    pub fn record_summary(&mut self, summary: &DomainSummary, now: TimeMs) {
        for member in &summary.delegates {
            self.record_member(&summary.domain, member, now);
        }
        let counted_at_ms = TimeMs(now.0.saturating_sub(summary.age_ms.0));
        let earlier = self.summaries.get(&summary.domain);
        let is_newer = earlier.is_none_or(|earlier| earlier.counted_at_ms < counted_at_ms);
        if summary.domain != self.own.domain && is_newer {
            let known = KnownSummary {
                known: summary.known,
                decode_heavy_requests: summary.decode_heavy_requests,
                counted_at_ms,
            };
            self.summaries.insert(summary.domain.clone(), known);
        }
    }

    /// Records that a digest arrived.
    pub fn record_digest(&mut self, now: TimeMs) {
        self.last_digest_at_ms = now;
    }

    /// Removes peers that have been silent for long.
    pub fn forget_silent(&mut self, now: TimeMs) {
        self.rows.retain(|peer| {
            let last_ms = peer.last_notice_at_ms;
            last_ms.is_none_or(|last_ms| now.since(last_ms) < FORGET_AFTER_MS)
        });
    }

    /// The addresses of all peers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.iter().map(|peer| peer.address)
    }

    /// Returns the receivers of a notice in a small fleet: the peers of this failure domain, and one
    /// peer of each other domain as a relay, since traffic between failure domains is charged for.
    /// `random` selects the relays, so that an undetected failure of a peer loses few notices.
    #[must_use]
    pub fn receivers(&self, random: u64, now: TimeMs) -> Receivers {
        let mut receivers = Receivers::default();
        for domain in self.domains() {
            let domain_peers = self.rows.iter().filter(|peer| peer.domain == domain);
            let running: Vec<&Peer> = domain_peers
                .clone()
                .filter(|peer| peer.is_running(now))
                .collect();
            let is_direct = domain.is_empty() || domain == self.own.domain;
            if is_direct || running.len() < MIN_RELAYED_PEERS {
                receivers
                    .direct
                    .extend(domain_peers.map(|peer| peer.address));
                continue;
            }
            let relay = random.checked_rem(running.len() as u64).unwrap_or_default();
            let relay = usize::try_from(relay).unwrap_or_default();
            receivers.relays.push(running[relay].address);
        }
        receivers.direct.sort_unstable();
        receivers
    }

    /// Whether notices are merged into digests.
    #[must_use]
    pub fn is_large_fleet(&self, now: TimeMs) -> bool {
        self.budget_sharers(now) > MAX_DIRECT_GATEWAYS
    }

    /// The member that merges the notices of this failure domain; `None` if it is this gateway.
    ///
    /// A member that sends no digests though it was asked to is passed over for a while.
    pub fn aggregator(&mut self, now: TimeMs) -> Option<SocketAddr> {
        let first = self.first_member(now);
        let Some(current) = self.aggregator else {
            self.set_aggregator(first, now);
            return first;
        };
        if first != Some(current.address) {
            self.set_aggregator(first, now);
            return first;
        }
        let waiting_since_ms = current.since_ms.max(self.last_digest_at_ms);
        if now.since(waiting_since_ms) < DIGEST_TIMEOUT_MS {
            return first;
        }
        if let Ok(index) = self.position(current.address) {
            self.rows[index].suspicion.renew(now);
        }
        let next = self.first_member(now);
        self.set_aggregator(next, now);
        next
    }

    fn set_aggregator(&mut self, address: Option<SocketAddr>, now: TimeMs) {
        self.aggregator = address.map(|address| Aggregator {
            address,
            since_ms: now,
        });
    }

    /// The first member of this domain's order; `None` if it is this gateway.
    fn first_member(&self, now: TimeMs) -> Option<SocketAddr> {
        let first = self.trusted_in(&self.own.domain, now);
        let first = first.max_by_key(|peer| gateway_rank(&peer.name, DOMAIN_ORDER_KEY))?;
        let is_own = !self.is_own_stopping
            && gateway_rank(&self.own.name, DOMAIN_ORDER_KEY)
                > gateway_rank(&first.name, DOMAIN_ORDER_KEY);
        (!is_own).then_some(first.address)
    }

    /// The members that merge notices in the other failure domains. Of a domain without running
    /// members, as far as known, one that `random` draws: the domain may be back after a network
    /// partition.
    #[must_use]
    pub fn remote_aggregators(&self, random: u64, now: TimeMs) -> Vec<SocketAddr> {
        let domains = self.domains().into_iter();
        let others = domains.filter(|domain| !domain.is_empty() && *domain != self.own.domain);
        let found = others.filter_map(|domain| {
            let members = self.trusted_in(domain, now);
            let first = members.max_by_key(|peer| gateway_rank(&peer.name, DOMAIN_ORDER_KEY));
            let known = self.rows.iter().filter(|peer| peer.domain == domain);
            first.or_else(|| known.max_by_key(|peer| gateway_rank(&peer.name, random)))
        });
        found.map(|peer| peer.address).collect()
    }

    /// A silent peer, drawn by `random`, that this gateway should ask for the others it knows. After a
    /// network partition each side thus finds the other one again.
    #[must_use]
    pub fn silent_peer(&self, random: u64, now: TimeMs) -> Option<SocketAddr> {
        let silent = self.rows.iter().filter(|peer| !peer.is_running(now));
        let drawn = silent.max_by_key(|peer| {
            rendezvous_score(random, WorkerId::from_name(&peer.address.to_string()))
        });
        drawn.map(|peer| peer.address)
    }

    /// Divides the other members of this failure domain into a bounded number of groups, each with
    /// a member that passes a digest on to the rest. `random` draws another division each time, so
    /// that an undetected failure of a member loses few digests for any other one.
    #[must_use]
    pub fn branches(&self, random: u64, now: TimeMs) -> Vec<Branch> {
        let members = self.rows.iter();
        let members = members.filter(|peer| peer.domain == self.own.domain && peer.is_running(now));
        let mut members: Vec<&Peer> = members.collect();
        members.sort_by_key(|peer| gateway_rank(&peer.name, random));
        let size = members.len().div_ceil(FAN_OUT).max(1);
        let groups = members.chunks(size).map(|group| Branch {
            first: group[0].address,
            rest: group[1..].iter().map(|peer| peer.address).collect(),
        });
        groups.collect()
    }

    /// The members of this failure domain to which this gateway hands a table that has changed: its
    /// children in a tree of all members, and the tree's root with its children if the change comes from outside
    /// of the domain, whichever member it reaches first.
    #[must_use]
    pub fn children(&self, is_from_outside: bool, now: TimeMs) -> Vec<SocketAddr> {
        let members = self.trusted_in(&self.own.domain, now);
        let mut order: Vec<(Reverse<u64>, Option<SocketAddr>)> = members
            .map(|peer| {
                let rank = gateway_rank(&peer.name, DOMAIN_ORDER_KEY);
                (Reverse(rank), Some(peer.address))
            })
            .collect();
        let own_rank = Reverse(gateway_rank(&self.own.name, DOMAIN_ORDER_KEY));
        order.push((own_rank, None));
        order.sort_unstable();
        let own_position = order.iter().position(|row| row.1.is_none()).unwrap_or(0);
        let first_child = MAX_WATCHERS + own_position * TREE_CHILDREN;
        let first_levels = if is_from_outside {
            MAX_WATCHERS + TREE_CHILDREN
        } else {
            0
        };
        let receivers = order.iter().enumerate().filter(|(position, _)| {
            let is_child = (first_child..first_child + TREE_CHILDREN).contains(position);
            is_child || *position < first_levels
        });
        receivers.filter_map(|(_, row)| row.1).collect()
    }

    /// Describes all members of this failure domain, this gateway included.
    #[must_use]
    pub fn members(&self, own: &Member, now: TimeMs) -> Vec<Member> {
        let members = self.rows.iter();
        let members = members.filter(|peer| peer.domain == self.own.domain);
        let members = members.filter(|peer| peer.was_heard_within(PEER_TIMEOUT_MS, now));
        members
            .filter_map(|peer| peer.describe(now))
            .chain([own.clone()])
            .collect()
    }

    /// Summarizes every known failure domain.
    #[must_use]
    pub fn summaries(
        &self,
        own: &Member,
        own_decode_heavy: u64,
        now: TimeMs,
    ) -> Vec<DomainSummary> {
        let mut domains = self.domains();
        domains.push(&self.own.domain);
        domains.sort_unstable();
        domains.dedup();
        domains.retain(|domain| !domain.is_empty());
        domains
            .into_iter()
            .map(|domain| self.summary(domain, own, own_decode_heavy, now))
            .collect()
    }

    fn summary(
        &self,
        domain: &str,
        own: &Member,
        own_decode_heavy: u64,
        now: TimeMs,
    ) -> DomainSummary {
        let is_own = domain == self.own.domain;
        let mut delegates: Vec<Member> = self
            .running_in(domain, now)
            .filter_map(|peer| peer.describe(now))
            .chain((is_own && !own.is_stopping).then(|| own.clone()))
            .collect();
        delegates.sort_by_key(|member| Reverse(gateway_rank(&member.name, DOMAIN_ORDER_KEY)));
        delegates.truncate(DELEGATES);
        let summary = self.current_summary(domain, now);
        let known = self.rows.iter().filter(|peer| peer.domain == domain);
        let running = self.running_in(domain, now);
        let decode_heavy: u64 = running.map(|peer| peer.decode_heavy_requests).sum();
        let age_ms = match summary {
            Some(summary) => now.since(summary.counted_at_ms),
            None if is_own => DurationMs(0),
            None => INDIRECT_COUNT_AGE_MS,
        };
        DomainSummary {
            domain: domain.to_owned(),
            age_ms,
            known: summary.map_or_else(|| known.count() + usize::from(is_own), |row| row.known),
            decode_heavy_requests: summary.map_or_else(
                || decode_heavy + if is_own { own_decode_heavy } else { 0 },
                |row| row.decode_heavy_requests,
            ),
            delegates,
        }
    }

    /// The addresses of the running peers.
    pub fn running_addresses(&self, now: TimeMs) -> impl Iterator<Item = SocketAddr> {
        let running = self.rows.iter().filter(move |peer| peer.is_running(now));
        running.map(|peer| peer.address)
    }

    /// The names of the running peers.
    pub fn running(&self, now: TimeMs) -> impl Iterator<Item = &str> {
        let running = self.rows.iter().filter(move |peer| peer.is_running(now));
        running.map(|peer| peer.name.as_str())
    }

    /// The number of running gateways that come before this one for a duty. All gateways that are
    /// delegates of their domains come first, in an order that depends on `key`, since every gateway
    /// knows them; then the other members of each domain.
    #[must_use]
    pub fn count_running_before(&self, key: u64, now: TimeMs) -> usize {
        let mut domains = self.domains();
        domains.push(&self.own.domain);
        domains.sort_unstable();
        domains.dedup();
        let mut delegates: Vec<&str> = Vec::new();
        let mut others_before = 0;
        let mut is_own_delegate = false;
        for domain in domains {
            let is_own_domain = domain == self.own.domain;
            let running = self.running_in(domain, now).map(|peer| peer.name.as_str());
            let own_name = is_own_domain.then_some(self.own.name.as_str());
            let mut order: Vec<&str> = running.chain(own_name).collect();
            order.sort_by_key(|name| Reverse(gateway_rank(name, DOMAIN_ORDER_KEY)));
            let (first, rest) = order.split_at(order.len().min(DELEGATES));
            delegates.extend(first);
            if is_own_domain {
                is_own_delegate = first.contains(&self.own.name.as_str());
                let own_position = rest.iter().position(|name| *name == self.own.name);
                others_before = own_position.unwrap_or(0);
            }
        }
        if !is_own_delegate {
            return delegates.len() + others_before;
        }
        let own_rank = gateway_rank(&self.own.name, key);
        let before = delegates
            .iter()
            .filter(|name| **name != self.own.name && gateway_rank(name, key) > own_rank);
        before.count()
    }

    /// The part of this gateway in the rate of requests that a server takes from all gateways.
    #[must_use]
    pub fn limit_share(&self, worker: WorkerId, rate: RequestRate, now: TimeMs) -> LimitShare {
        let entry_vms = self.budget_sharers(now) as u64;
        // Of each domain only the delegates have distinct places in an order that all compute alike.
        let mut domains = self.domains();
        domains.push(&self.own.domain);
        domains.sort_unstable();
        domains.dedup();
        let ordered: usize = domains
            .into_iter()
            .map(|domain| {
                let is_own = usize::from(domain == self.own.domain);
                (self.running_in(domain, now).count() + is_own).min(DELEGATES)
            })
            .sum();
        let sharers = LimitShare::sharers(rate, entry_vms, ordered as u64);
        let is_sharer =
            sharers >= entry_vms || (self.count_running_before(worker.0, now) as u64) < sharers;
        LimitShare {
            sharers,
            is_sharer,
            entry_vms,
        }
    }

    /// The part of this gateway in the slots of a server that all gateways share. The places of a domain's
    /// members follow those of the domains before it, whose sizes all gateways know.
    #[must_use]
    pub fn slot_share(&self, server: SocketAddr, now: TimeMs) -> SlotShare {
        let own_domain = self.own.domain.as_str();
        let mut domains = self.domains();
        if domains.iter().any(|domain| !domain.is_empty()) {
            // Peers that were never heard have no place, and not all gateways list the same ones.
            domains.retain(|domain| !domain.is_empty());
        }
        let known: usize = domains.iter().map(|row| self.known_in(row, now)).sum();
        let entry_vms = 1 + known as u64;
        let earlier = domains.into_iter().filter(|domain| *domain < own_domain);
        let before: usize = earlier.map(|domain| self.known_in(domain, now)).sum();
        let own_rank = gateway_rank(&self.own.name, DOMAIN_ORDER_KEY);
        let members = self.rows.iter().filter(|peer| peer.domain == own_domain);
        let ahead = members.filter(|peer| gateway_rank(&peer.name, DOMAIN_ORDER_KEY) > own_rank);
        // Each server's slots are divided from another place on, which moves little with the count.
        let first = (spread_evenly(server) * entry_vms) >> u32::BITS;
        SlotShare {
            entry_vms,
            place: (before + ahead.count()) as u64 + first,
            news_ms: if self.is_large_fleet(now) {
                LARGE_NEWS_MS
            } else {
                NEWS_MS
            },
        }
    }

    /// The addresses of peers in this gateway's failure domain.
    pub fn domain_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let members = self.rows.iter();
        let members = members.filter(|peer| peer.domain == self.own.domain);
        members.map(|peer| peer.address)
    }

    /// Whether an address is that of a peer in this gateway's failure domain.
    #[must_use]
    pub fn is_in_domain(&self, address: SocketAddr) -> bool {
        let found = self.position(address).map(|index| &self.rows[index]);
        found.is_ok_and(|peer| peer.domain == self.own.domain)
    }

    /// Whether any peer has been heard of lately.
    #[must_use]
    pub fn has_running(&self, now: TimeMs) -> bool {
        self.rows.iter().any(|peer| peer.is_running(now))
    }

    /// Records that the store answered this gateway.
    pub fn record_store_answer(&mut self, now: TimeMs) {
        self.own_store_answered_at_ms = Some(now);
    }

    /// The time since the store last answered any gateway, as far as known; `None` if it never did.
    #[must_use]
    pub fn store_answer_age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        let peers = self
            .rows
            .iter()
            .filter_map(|peer| peer.store_answered_at_ms);
        let newest_ms = peers.chain(self.own_store_answered_at_ms).max()?;
        Some(now.since(newest_ms))
    }

    /// The addresses of the running gateways that the store has answered last, at most `count`.
    #[must_use]
    pub fn answered_by_store(&self, count: usize, now: TimeMs) -> Vec<SocketAddr> {
        let running = self.rows.iter().filter(|peer| peer.is_running(now));
        let mut answered: Vec<(TimeMs, SocketAddr)> = running
            .filter_map(|peer| Some((peer.store_answered_at_ms?, peer.address)))
            .collect();
        answered.sort_unstable_by_key(|row| Reverse(*row));
        answered.into_iter().map(|row| row.1).take(count).collect()
    }

    /// Whether a gateway was heard after a time.
    #[must_use]
    pub fn was_heard_since(&self, address: SocketAddr, since_ms: TimeMs) -> bool {
        let peer = self.position(address).map(|index| &self.rows[index]);
        peer.is_ok_and(|peer| peer.last_notice_at_ms > Some(since_ms))
    }

    /// The running gateways that reach a service, as far as known, and that `is_usable`: those of this
    /// failure domain, and those of others unless enough of this one do.
    #[must_use]
    pub fn reaching<F>(&self, service: ServiceKey, now: TimeMs, is_usable: F) -> Vec<SocketAddr>
    where
        F: Fn(SocketAddr) -> bool,
    {
        let reaching = self.rows.iter().filter(|peer| {
            peer.is_running(now)
                && !peer.name.is_empty()
                && !peer.out_of_reach.contains(&service)
                && is_usable(peer.address)
        });
        let (local, remote): (Vec<&Peer>, Vec<&Peer>) =
            reaching.partition(|peer| peer.domain == self.own.domain);
        let is_local_enough = local.len() >= MIN_LOCAL_HELPERS;
        let remote = remote.into_iter().filter(|_| !is_local_enough);
        let chosen = local.iter().copied().chain(remote);
        chosen.map(|peer| peer.address).collect()
    }

    /// What this gateway knows of the members of its failure domain that poll the store.
    #[must_use]
    pub fn domain_pollers(&self, times: PollTimes, now: TimeMs) -> DomainPollers {
        let own_rank = gateway_rank(&self.own.name, DOMAIN_ORDER_KEY);
        let pollers = self
            .rows
            .iter()
            .filter(|peer| peer.domain == self.own.domain && peer.is_polling(times, now));
        let heard = pollers.clone().filter_map(|peer| peer.last_notice_at_ms);
        let is_ahead = |peer: &&Peer| gateway_rank(&peer.name, DOMAIN_ORDER_KEY) > own_rank;
        let timeout_ms = if self.is_large_fleet(now) {
            LARGE_MEMBER_TIMEOUT_MS
        } else {
            MEMBER_TIMEOUT_MS
        };
        let members = self.rows.iter().filter(|peer| {
            peer.domain == self.own.domain
                && peer.was_heard_within(timeout_ms, now)
                && !peer.is_stopping
        });
        let heard_at_ms = heard.max().unwrap_or(now);
        DomainPollers {
            needed: MAX_WATCHERS,
            running: pollers.clone().count(),
            ahead: pollers.filter(is_ahead).count(),
            members: members.count() + 1,
            lapse_ms: heard_at_ms.after(times.heartbeat_timeout_ms()).since(now),
        }
    }

    /// Whether a peer polls the store, as far as known.
    #[must_use]
    pub fn is_polling(&self, address: SocketAddr, times: PollTimes, now: TimeMs) -> bool {
        let peer = self.position(address).map(|index| &self.rows[index]);
        peer.is_ok_and(|peer| peer.is_polling(times, now))
    }

    /// The place of this gateway's failure domain among all known ones, by their names.
    #[must_use]
    pub fn poll_place(&self) -> PollPlace {
        let mut domains = self.domains();
        domains.push(&self.own.domain);
        domains.sort_unstable();
        domains.dedup();
        domains.retain(|domain| !domain.is_empty());
        let own = domains.iter().position(|domain| *domain == self.own.domain);
        PollPlace {
            number: own.unwrap_or(0) as u64,
            count: domains.len().max(1) as u64,
        }
    }

    /// Running peers of other failure domains that are told of changes, drawn by `random`: at most
    /// `per_domain` of each domain.
    #[must_use]
    pub fn remote_receivers(&self, per_domain: usize, random: u64, now: TimeMs) -> Vec<SocketAddr> {
        let domains = self.domains().into_iter();
        let others = domains.filter(|domain| !domain.is_empty() && *domain != self.own.domain);
        let drawn = others.flat_map(|domain| {
            let mut running: Vec<&Peer> = self.running_in(domain, now).collect();
            running.sort_by_key(|peer| gateway_rank(&peer.name, random));
            running.truncate(per_domain);
            running
        });
        drawn.map(|peer| peer.address).collect()
    }

    /// The number of members of this domain, as far as known, that come before this gateway in the
    /// domain's order.
    #[must_use]
    pub fn domain_position(&self, now: TimeMs) -> usize {
        let own_rank = gateway_rank(&self.own.name, DOMAIN_ORDER_KEY);
        let before = self.running_in(&self.own.domain, now);
        before
            .filter(|peer| gateway_rank(&peer.name, DOMAIN_ORDER_KEY) > own_rank)
            .count()
    }

    /// The other gateways' requests in progress that mostly decode.
    #[must_use]
    pub fn decode_heavy_requests(&self, now: TimeMs) -> u64 {
        let mut total = 0;
        for domain in self.domains() {
            let peers = self.rows.iter().filter(|peer| peer.domain == domain);
            let heard = peers.filter(|peer| peer.was_heard_within(PEER_TIMEOUT_MS, now));
            total += self.current_summary(domain, now).map_or_else(
                || heard.map(|peer| peer.decode_heavy_requests).sum(),
                |summary| summary.decode_heavy_requests,
            );
        }
        total
    }

    /// Records the decode-heavy requests of a member of this domain, as a digest reports them.
    pub fn record_decode_heavy(&mut self, address: SocketAddr, requests: u64) {
        if let Ok(index) = self.position(address) {
            self.rows[index].decode_heavy_requests = requests;
        }
    }

    /// The number of gateways that share a common budget, this one included. Silent peers count too
    /// for a while, since a peer behind a network partition may continue to spend.
    #[must_use]
    pub fn budget_sharers(&self, now: TimeMs) -> usize {
        let domains = self.domains().into_iter();
        let counts = domains.map(|domain| self.known_in(domain, now));
        1 + counts.sum::<usize>()
    }

    /// The peers of a domain that share a common budget.
    fn known_in(&self, domain: &str, now: TimeMs) -> usize {
        self.current_summary(domain, now).map_or_else(
            || {
                let members = self.rows.iter();
                members.filter(|peer| peer.domain == domain).count()
            },
            |summary| summary.known,
        )
    }

    /// Peers that were never heard.
    #[must_use]
    pub fn unheard(&self) -> usize {
        let unheard = self
            .rows
            .iter()
            .filter(|peer| peer.last_notice_at_ms.is_none());
        unheard.count()
    }

    /// The gateways that share a common budget and were heard lately, this one included. Of other
    /// domains in a large fleet only their summaries are heard.
    #[must_use]
    pub fn heard_sharers(&self, now: TimeMs) -> usize {
        let counts = self.domains().into_iter().map(|domain| {
            let running = self.running_in(domain, now).count();
            let members = self.rows.iter().filter(|peer| peer.domain == domain);
            let summary = self.current_summary(domain, now);
            summary
                .filter(|summary| summary.known > members.count())
                .map_or(running, |summary| summary.known)
        });
        1 + counts.sum::<usize>()
    }

    /// The valid summary of another domain.
    fn current_summary(&self, domain: &str, now: TimeMs) -> Option<&KnownSummary> {
        let summary = self.summaries.get(&domain.to_owned())?;
        (now.since(summary.counted_at_ms) < SUMMARY_TIMEOUT_MS).then_some(summary)
    }

    /// The names of the domains of all peers; empty for peers whose domain is not known yet.
    fn domains(&self) -> Vec<&str> {
        let mut domains: Vec<&str> = self.rows.iter().map(|peer| peer.domain.as_str()).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    fn running_in(&self, domain: &str, now: TimeMs) -> impl Iterator<Item = &Peer> {
        let members = self.rows.iter();
        members.filter(move |peer| peer.domain == domain && peer.is_running(now))
    }

    fn trusted_in(&self, domain: &str, now: TimeMs) -> impl Iterator<Item = &Peer> {
        self.running_in(domain, now)
            .filter(move |peer| peer.is_trusted(now))
    }

    fn position(&self, address: SocketAddr) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|peer| peer.address.cmp(&address))
    }
}
