//! What gateways tell each other without being asked.

use {
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion, WorkerId,
        gateway::{Load, Pace, PartUpdate, rendezvous_score},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a gateway tells its peers. Short, since each request leads to some.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Where the sender listens for peers.
    pub address: Option<SocketAddr>,
    /// Parts of prompts that backend servers hold or are reading.
    pub parts: Vec<PartUpdate>,
    /// The sender's requests in progress that mostly write.
    pub decode_heavy_requests: u64,
    /// Requests that were sent to engines since the last notice, and what their prompts take to be
    /// read.
    pub sent_requests: Vec<(WorkerId, DurationMs)>,
    /// The loads that backend servers have told since the last notice.
    pub loads: Vec<(WorkerId, Load)>,
    /// The paces that engines have shown since then.
    pub paces: Vec<(WorkerId, Pace)>,
    /// What the sender is doing as the holder of the lease on orders.
    pub rollout: Option<RolloutNotice>,
    /// What the sender is and knows, from time to time and when that has changed.
    pub status: Option<StatusNotice>,
    /// Whether the receiver is to pass it on to the other gateways of its failure domain.
    pub should_relay: bool,
}

/// Whom a notice goes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receivers {
    /// Peers for themselves, in the order of their addresses.
    pub direct: Vec<SocketAddr>,
    /// Peers that pass it on in their failure domains.
    pub relays: Vec<SocketAddr>,
}

/// What a gateway is and knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusNotice {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Some other gateways that it knows.
    pub known_peers: Vec<SocketAddr>,
    /// How long ago the store answered it; none if it never did.
    pub store_age_ms: Option<DurationMs>,
    /// The newest change that it knows of each watched table.
    pub newest_versions: Vec<(String, u64)>,
    /// The weights that it knows to be named, and for how long.
    pub weights: Vec<WeightsNotice>,
    /// The lives of the stores of kept KV cache that it asks; none of one that doesn't answer.
    pub kept_stores: Vec<(SocketAddr, Option<u64>)>,
    /// Whether it is shutting down.
    pub is_stopping: bool,
}

/// Weights that were named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsNotice {
    /// The model.
    pub model: String,
    /// Their version.
    pub version: WeightsVersion,
    /// How long ago the sender heard of them.
    pub age_ms: DurationMs,
}

/// What the holder of the lease on orders tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutNotice {
    /// The model.
    pub model: String,
    /// The weights that are rolled out.
    pub version: WeightsVersion,
    /// Engines that are about to change their weights.
    pub draining: Vec<WorkerId>,
    /// Engines that change their weights and turn new requests down.
    pub loading: Vec<WorkerId>,
    /// Engines that have them.
    pub updated: Vec<WorkerId>,
}

/// A gateway's place in an order on which all agree without talking; the highest is the first. Each
/// `key` makes another order.
#[must_use]
pub fn gateway_rank(name: &str, key: u64) -> u64 {
    rendezvous_score(key, WorkerId::from_name(name))
}

/// Other gateways that are known.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    name: String,
    heard_at_ms: Option<TimeMs>,
    is_stopping: bool,
    decode_heavy_requests: u64,
    domain: String,
    store_heard_at_ms: Option<TimeMs>,
}

/// Running peers of another failure domain from which on one of them passes notices on to the
/// others. With fewer it saves little, and each is one more that can fail on the way.
const MIN_PASSING_ON: usize = 3;
/// How long a peer counts as running after it was last heard.
const RUNNING_MS: DurationMs = DurationMs(4_000);
/// How long a peer is relied on to tell what the store does, after it was last heard. Shorter,
/// since a change must be in force everywhere within two seconds.
const WATCHER_RUNNING_MS: DurationMs = DurationMs(1_600);
/// How long ago the store may have answered a peer that is relied on: the longest poll, and what a
/// notice takes to tell of it.
const STORE_HEARD_MS: DurationMs = DurationMs(4_500);

impl Peer {
    fn runs(&self, now: TimeMs) -> bool {
        let heard = self.heard_at_ms;
        heard.is_some_and(|at| now.since(at) < RUNNING_MS) && !self.is_stopping
    }

    fn apply_status(&mut self, status: &StatusNotice, now: TimeMs) {
        let store_age_ms = status.store_age_ms;
        self.store_heard_at_ms = store_age_ms.map(|age| TimeMs(now.0.saturating_sub(age.0)));
        self.is_stopping = status.is_stopping;
        self.domain.clone_from(&status.domain);
        self.name.clone_from(&status.name);
    }
}

impl Peers {
    /// Notes an address at which a peer may listen.
    pub fn add(&mut self, address: SocketAddr) {
        if let Err(at) = self.search(address) {
            self.peers.insert(
                at,
                Peer {
                    address,
                    name: String::new(),
                    heard_at_ms: None,
                    is_stopping: false,
                    decode_heavy_requests: 0,
                    domain: String::new(),
                    store_heard_at_ms: None,
                },
            );
        }
    }

    /// Notes that a peer was heard. Gives back whether it was not running before.
    pub fn record_notice(&mut self, address: SocketAddr, notice: &Notice, now: TimeMs) -> bool {
        self.add(address);
        let mut was_running = false;
        if let Ok(at) = self.search(address) {
            let peer = &mut self.peers[at];
            was_running = peer
                .heard_at_ms
                .is_some_and(|at| now.since(at) < RUNNING_MS);
            peer.heard_at_ms = Some(now);
            peer.decode_heavy_requests = notice.decode_heavy_requests;
            if let Some(status) = &notice.status {
                peer.apply_status(status, now);
            }
        }
        !was_running
    }

    /// All addresses.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.iter().map(|peer| peer.address)
    }

    /// Whom a notice goes to: the peers of this failure domain, and of each other one a peer that
    /// passes it on. Bytes between failure domains are paid for. `draw` chooses another peer each
    /// time, so that one that has failed unnoticed costs few notices.
    #[must_use]
    pub fn receivers(&self, own_domain: &str, draw: u64, now: TimeMs) -> Receivers {
        let mut domains: Vec<&str> = self.peers.iter().map(|peer| peer.domain.as_str()).collect();
        domains.sort_unstable();
        domains.dedup();
        let mut receivers = Receivers::default();
        for domain in domains {
            let members = self.peers.iter().filter(|peer| peer.domain == domain);
            let running: Vec<&Peer> = members.clone().filter(|peer| peer.runs(now)).collect();
            let is_direct = domain.is_empty() || domain == own_domain;
            if is_direct || running.len() < MIN_PASSING_ON {
                receivers.direct.extend(members.map(|peer| peer.address));
                continue;
            }
            let drawn = draw.checked_rem(running.len() as u64).unwrap_or_default();
            let drawn = usize::try_from(drawn).unwrap_or_default();
            receivers.relays.push(running[drawn].address);
        }
        receivers.direct.sort_unstable();
        receivers
    }

    /// The names of peers that run.
    pub fn running(&self, now: TimeMs) -> impl Iterator<Item = &str> {
        let running = self.peers.iter().filter(move |peer| peer.runs(now));
        running.map(|peer| peer.name.as_str())
    }

    /// How many running peers come before a gateway in the order for a key.
    #[must_use]
    pub fn count_running_before(&self, own_name: &str, key: u64, now: TimeMs) -> usize {
        let own = gateway_rank(own_name, key);
        let before = self
            .running(now)
            .filter(|name| gateway_rank(name, key) > own);
        before.count()
    }

    /// The addresses of peers in a failure domain.
    pub fn addresses_in(&self, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let near = self.peers.iter().filter(move |peer| peer.domain == domain);
        near.map(|peer| peer.address)
    }

    /// Whether an address is that of a peer in a failure domain.
    #[must_use]
    pub fn is_in(&self, address: SocketAddr, domain: &str) -> bool {
        let found = self.search(address).map(|at| &self.peers[at]);
        found.is_ok_and(|peer| peer.domain == domain)
    }

    /// The names of peers in a failure domain that run and hear from the store.
    pub fn store_watchers(&self, domain: &str, now: TimeMs) -> impl Iterator<Item = &str> {
        let watching = self.peers.iter().filter(move |peer| {
            let is_running = peer
                .heard_at_ms
                .is_some_and(|at| now.since(at) < WATCHER_RUNNING_MS);
            let hears = peer
                .store_heard_at_ms
                .is_some_and(|at| now.since(at) < STORE_HEARD_MS);
            is_running && hears && !peer.is_stopping && peer.domain == domain
        });
        watching.map(|peer| peer.name.as_str())
    }

    /// The requests in progress of peers that mostly write.
    #[must_use]
    pub fn decode_heavy_requests(&self, now: TimeMs) -> u64 {
        let running = self.peers.iter().filter(|peer| {
            peer.heard_at_ms
                .is_some_and(|at| now.since(at) < RUNNING_MS)
        });
        running.map(|peer| peer.decode_heavy_requests).sum()
    }

    /// The gateways that share a common budget, this one included. One that isn't heard any more
    /// counts, since it may go on spending behind a cut.
    #[must_use]
    pub const fn budget_sharers(&self) -> usize {
        1 + self.peers.len()
    }

    fn search(&self, address: SocketAddr) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.address.cmp(&address))
    }
}
