//! Notices that gateways send each other.

use {
    super::{brittle::BrittleService, replica::StoreVersion},
    cactusspur_core::{
        DurationMs, WeightsVersion, WorkerId,
        gateway::{
            Load, Pace, PartUpdate, PastVersion, QuarantineReport, ServiceKey, StreamOrigin,
            UsageRow, VersionRecord,
        },
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
    /// Streams that began since the last notice, or that the receiver asked for.
    pub streams: Vec<StreamOrigin>,
    /// What the sender knows of crashes of servers.
    pub quarantine: QuarantineReport,
    /// What gateways used and were asked for of customers' caps.
    pub usage: Vec<UsageRow>,
    /// The sender's status, included periodically and after a change.
    pub status: Option<StatusNotice>,
    /// Whether the receiver must relay the notice to the other gateways of its failure domain.
    pub should_relay: bool,
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
    pub newest_versions: Vec<(String, StoreVersion)>,
    /// The announced weights versions that it knows.
    pub weights: Vec<WeightsNotice>,
    /// Software versions that services had and no longer have.
    pub past_versions: Vec<PastVersion>,
    /// The services whose servers are brittle.
    pub brittle_services: Vec<BrittleService>,
    /// What the store holds of the versions of services, as far as known.
    pub version_records: Vec<VersionRecord>,
    /// The KV cache stores that it polls, with their incarnations; `None` for one that doesn't answer.
    pub kept_stores: Vec<(SocketAddr, Option<u64>)>,
    /// Whether it is shutting down.
    pub is_stopping: bool,
    /// The services whose servers it doesn't reach.
    pub out_of_reach: Vec<ServiceKey>,
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
