//! Notices that gateways send each other, and the known peers.

use {
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion, WorkerId,
        gateway::{Load, Pace, PartUpdate, rendezvous_score},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A message to all peers. It is small, since every request causes some notices.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The address at which the sender listens for peers.
    pub address: Option<SocketAddr>,
    /// Changes of the prompt parts that backend servers prefill, cache or have stored.
    pub parts: Vec<PartUpdate>,
    /// The sender's requests in progress that mostly decode.
    pub decode_heavy_requests: u64,
    /// Engines that were sent requests since the last notice, with the prefill time of each request.
    pub sent_requests: Vec<(WorkerId, DurationMs)>,
    /// The loads that backend servers reported since the last notice.
    pub loads: Vec<(WorkerId, Load)>,
    /// Pace samples of engines since the last notice.
    pub paces: Vec<(WorkerId, Pace)>,
    /// The state of the rollout that the sender runs as the holder of the order lease.
    pub rollout: Option<RolloutNotice>,
    /// The sender's status, included periodically and after a change.
    pub status: Option<StatusNotice>,
    /// Whether the receiver must relay the notice to the other gateways of its failure domain.
    pub should_relay: bool,
}

/// The peers that a notice is sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receivers {
    /// Peers that don't relay the notice, ordered by address.
    pub direct: Vec<SocketAddr>,
    /// Peers that relay the notice within their failure domains, one for each domain.
    pub relays: Vec<SocketAddr>,
}

/// The status of a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusNotice {
    /// The name of the gateway.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The addresses of some other gateways.
    pub known_peers: Vec<SocketAddr>,
    /// The time since the store last answered the gateway; `None` if it never did.
    pub store_age_ms: Option<DurationMs>,
    /// The version of the newest known change of each watched table.
    pub newest_versions: Vec<(String, u64)>,
    /// The announced weights versions that it knows.
    pub weights: Vec<WeightsNotice>,
    /// The KV cache stores that it polls, with their incarnations; `None` for one that doesn't answer.
    pub kept_stores: Vec<(SocketAddr, Option<u64>)>,
    /// Whether it is shutting down.
    pub is_stopping: bool,
}

/// A weights version that was announced for a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsNotice {
    /// The name of the model.
    pub model: String,
    /// The announced version.
    pub version: WeightsVersion,
    /// The time since the sender learned of the version.
    pub age_ms: DurationMs,
}

/// The state of a rollout, sent by the holder of the order lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutNotice {
    /// The name of the model.
    pub model: String,
    /// The weights version that is rolled out.
    pub version: WeightsVersion,
    /// Engines that should receive no new requests, since they load the weights next.
    pub draining: Vec<WorkerId>,
    /// Engines that are loading the weights and reject new requests.
    pub loading: Vec<WorkerId>,
    /// Engines that have loaded the weights.
    pub updated: Vec<WorkerId>,
}

/// Returns the rank of a gateway, which all gateways compute alike without communication; the
/// highest rank comes first. Each `key` gives another order.
#[must_use]
pub fn gateway_rank(name: &str, key: u64) -> u64 {
    rendezvous_score(key, WorkerId::from_name(name))
}

/// The known other gateways, ordered by address.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    name: String,
    last_notice_at_ms: Option<TimeMs>,
    is_stopping: bool,
    decode_heavy_requests: u64,
    domain: String,
    store_answered_at_ms: Option<TimeMs>,
}

/// Running peers of another failure domain from which on one of them relays notices to the others.
/// With fewer peers a relay saves little traffic and adds a point of failure.
const MIN_RELAYED_PEERS: usize = 3;
/// How long a peer counts as running after its last notice.
const PEER_TIMEOUT_MS: DurationMs = DurationMs(4_000);
/// How long a peer counts as a watcher of the store after its last notice. Shorter than
/// [`PEER_TIMEOUT_MS`], since a change must be in force everywhere within two seconds.
const WATCHER_TIMEOUT_MS: DurationMs = DurationMs(1_600);
/// How long a peer counts as a watcher after the store last answered it: the longest poll plus the
/// delay of the notice that reports the answer.
const STORE_ANSWER_TIMEOUT_MS: DurationMs = DurationMs(4_500);

impl Peer {
    fn is_running(&self, now: TimeMs) -> bool {
        let last_notice_at_ms = self.last_notice_at_ms;
        last_notice_at_ms.is_some_and(|last_ms| now.since(last_ms) < PEER_TIMEOUT_MS)
            && !self.is_stopping
    }

    fn apply_status(&mut self, status: &StatusNotice, now: TimeMs) {
        let store_age_ms = status.store_age_ms;
        self.store_answered_at_ms = store_age_ms.map(|age| TimeMs(now.0.saturating_sub(age.0)));
        self.is_stopping = status.is_stopping;
        self.domain.clone_from(&status.domain);
        self.name.clone_from(&status.name);
    }
}

impl Peers {
    /// Adds an address at which a peer may listen.
    pub fn add(&mut self, address: SocketAddr) {
        if let Err(index) = self.position(address) {
            self.peers.insert(
                index,
                Peer {
                    address,
                    name: String::new(),
                    last_notice_at_ms: None,
                    is_stopping: false,
                    decode_heavy_requests: 0,
                    domain: String::new(),
                    store_answered_at_ms: None,
                },
            );
        }
    }

    /// Records a notice from a peer. Returns whether the peer was not running before.
    pub fn record_notice(&mut self, address: SocketAddr, notice: &Notice, now: TimeMs) -> bool {
        self.add(address);
        let mut was_running = false;
        if let Ok(index) = self.position(address) {
            let peer = &mut self.peers[index];
            was_running = peer
                .last_notice_at_ms
                .is_some_and(|last_ms| now.since(last_ms) < PEER_TIMEOUT_MS);
            peer.last_notice_at_ms = Some(now);
            peer.decode_heavy_requests = notice.decode_heavy_requests;
            if let Some(status) = &notice.status {
                peer.apply_status(status, now);
            }
        }
        !was_running
    }

    /// The addresses of all peers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.iter().map(|peer| peer.address)
    }

    /// Returns the receivers of a notice: the peers of this failure domain, and one peer of each
    /// other domain as a relay, since traffic between failure domains is charged for. `random`
    /// selects the relays, so that an undetected failure of a peer loses few notices.
    #[must_use]
    pub fn receivers(&self, own_domain: &str, random: u64, now: TimeMs) -> Receivers {
        let mut domains: Vec<&str> = self.peers.iter().map(|peer| peer.domain.as_str()).collect();
        domains.sort_unstable();
        domains.dedup();
        let mut receivers = Receivers::default();
        for domain in domains {
            let domain_peers = self.peers.iter().filter(|peer| peer.domain == domain);
            let running: Vec<&Peer> = domain_peers
                .clone()
                .filter(|peer| peer.is_running(now))
                .collect();
            let is_direct = domain.is_empty() || domain == own_domain;
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

    /// The names of the running peers.
    pub fn running(&self, now: TimeMs) -> impl Iterator<Item = &str> {
        let running = self.peers.iter().filter(move |peer| peer.is_running(now));
        running.map(|peer| peer.name.as_str())
    }

    /// The number of running peers that rank before a gateway in the order for a key.
    #[must_use]
    pub fn count_running_before(&self, own_name: &str, key: u64, now: TimeMs) -> usize {
        let own_rank = gateway_rank(own_name, key);
        let ranked_before = self
            .running(now)
            .filter(|name| gateway_rank(name, key) > own_rank);
        ranked_before.count()
    }

    /// The addresses of peers in a failure domain.
    pub fn addresses_in(&self, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let domain_peers = self.peers.iter().filter(move |peer| peer.domain == domain);
        domain_peers.map(|peer| peer.address)
    }

    /// Whether an address is that of a peer in a failure domain.
    #[must_use]
    pub fn is_in(&self, address: SocketAddr, domain: &str) -> bool {
        let found = self.position(address).map(|index| &self.peers[index]);
        found.is_ok_and(|peer| peer.domain == domain)
    }

    /// The names of the running peers in a failure domain that the store answers.
    pub fn store_watchers(&self, domain: &str, now: TimeMs) -> impl Iterator<Item = &str> {
        let watching = self.peers.iter().filter(move |peer| {
            let is_running = peer
                .last_notice_at_ms
                .is_some_and(|last_ms| now.since(last_ms) < WATCHER_TIMEOUT_MS);
            let has_store_answers = peer
                .store_answered_at_ms
                .is_some_and(|last_ms| now.since(last_ms) < STORE_ANSWER_TIMEOUT_MS);
            is_running && has_store_answers && !peer.is_stopping && peer.domain == domain
        });
        watching.map(|peer| peer.name.as_str())
    }

    /// The peers' requests in progress that mostly decode.
    #[must_use]
    pub fn decode_heavy_requests(&self, now: TimeMs) -> u64 {
        let running = self.peers.iter().filter(|peer| {
            peer.last_notice_at_ms
                .is_some_and(|last_ms| now.since(last_ms) < PEER_TIMEOUT_MS)
        });
        running.map(|peer| peer.decode_heavy_requests).sum()
    }

    /// The number of gateways that share a common budget, this one included. Silent peers count too,
    /// since a peer behind a network partition may continue to spend.
    #[must_use]
    pub const fn budget_sharers(&self) -> usize {
        1 + self.peers.len()
    }

    fn position(&self, address: SocketAddr) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.address.cmp(&address))
    }
}
