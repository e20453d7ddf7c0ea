//! Faults that can be set through `POST /standin/faults`.

mod connection;

pub(crate) use connection::{Connection, Connections, break_connection};

use {
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    ntex::{http::StatusCode, web::HttpResponse},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Map, Value},
    std::{cell::Cell, time::Duration},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Denominator of shares and factors given in thousandths.
pub(crate) const PERMILLE: u64 = 1_000;

/// Faults of an engine or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
pub struct WorkerFaults {
    /// Triggers once: all connections break, all work and the cache are lost and a new incarnation
    /// starts.
    pub crash_to_empty: bool,
    /// Triggers once: the connections open at this moment never respond again.
    pub silent_connections: bool,
    /// Connections are accepted, but no response is sent and nothing is computed.
    pub frozen: bool,
    /// Each connection breaks at its next request, which isn't run.
    pub refuse_connections: bool,
    /// New work is rejected with 503, and load reports announce that the worker is leaving.
    pub leaving: bool,
    /// HTTP status with which new work is rejected immediately; zero disables the fault.
    pub fail_fast_status: u16,
    /// Factor on the duration of all work, in thousandths.
    pub slow_factor_permille: u64,
    /// Delay of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub cache_lag_ms: u64,
    /// Share of cache events that are lost, in thousandths.
    pub drop_cache_events_permille: u64,
    /// Share of answer pieces that are sent twice, in thousandths.
    pub duplicate_pieces_permille: u64,
    /// Share of answer pieces before which a piece of another, earlier attempt is sent, in
    /// thousandths.
    pub late_pieces_permille: u64,
    /// Share of a plain service's calls that run without a response, in thousandths.
    pub lose_answer_permille: u64,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            crash_to_empty: false,
            silent_connections: false,
            frozen: false,
            refuse_connections: false,
            leaving: false,
            fail_fast_status: 0,
            slow_factor_permille: PERMILLE,
            load_lag_ms: 0,
            cache_lag_ms: 0,
            drop_cache_events_permille: 0,
            duplicate_pieces_permille: 0,
            late_pieces_permille: 0,
            lose_answer_permille: 0,
        }
    }
}

impl WorkerFaults {
    /// Returns the refusal of new work if a fault demands one.
    pub(crate) fn refusal(&self) -> Option<HttpResponse> {
        if let Ok(status) = StatusCode::from_u16(self.fail_fast_status) {
            return Some(error_response(status, "fail_fast"));
        }
        self.leaving
            .then(|| error_response(StatusCode::SERVICE_UNAVAILABLE, "leaving"))
    }

    /// Multiplies a duration by the slow factor.
    pub(crate) fn apply_slowdown(&self, time: Duration) -> Duration {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(time_us.saturating_mul(self.slow_factor_permille) / PERMILLE)
    }
}

/// Faults of one of the platform's stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// All calls are rejected with 503 and have no effect.
    pub down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes that take effect without a response, in thousandths.
    pub lose_answer_permille: u64,
    /// Delay after which writes take effect, without a response, in milliseconds; zero disables the
    /// fault.
    pub late_write_ms: u64,
}

/// Faults of the platform. Fields for services other than the table service have a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
pub struct PlatformFaults {
    /// The table service rejects all calls with 503, and they have no effect.
    pub down: bool,
    /// Delay before each call to the table service takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes to the table that take effect without a response, in thousandths.
    pub lose_answer_permille: u64,
    /// Delay after which writes to the table take effect, without a response, in milliseconds; zero
    /// disables the fault.
    pub late_write_ms: u64,
    /// Like `down`, for the object store.
    pub objects_down: bool,
    /// Like `slow_ms`, for the object store.
    pub objects_slow_ms: u64,
    /// Like `lose_answer_permille`, for the object store.
    pub objects_lose_answer_permille: u64,
    /// Like `late_write_ms`, for the object store.
    pub objects_late_write_ms: u64,
    /// Requests for the list of VMs are rejected with 503.
    pub vms_down: bool,
    /// Delay before changes of the list of VMs become visible, in milliseconds.
    pub vms_lag_ms: u64,
    /// The KV cache store rejects all calls with 503.
    pub kept_down: bool,
    /// Triggers once: the connections open at this moment never respond again.
    pub silent_connections: bool,
    /// Connections are accepted, but no response is sent.
    pub frozen: bool,
    /// Each connection breaks at its next request, which has no effect.
    pub refuse_connections: bool,
}

impl PlatformFaults {
    /// Returns the faults of the table service.
    #[must_use]
    pub const fn table(&self) -> StoreFaults {
        StoreFaults {
            down: self.down,
            slow_ms: self.slow_ms,
            lose_answer_permille: self.lose_answer_permille,
            late_write_ms: self.late_write_ms,
        }
    }

    /// Returns the faults of the object store.
    #[must_use]
    pub const fn objects(&self) -> StoreFaults {
        StoreFaults {
            down: self.objects_down,
            slow_ms: self.objects_slow_ms,
            lose_answer_permille: self.objects_lose_answer_permille,
            late_write_ms: self.objects_late_write_ms,
        }
    }
}

/// A change of faults isn't a JSON object with known fields of the right types.
#[derive(Debug, Display, Error)]
#[display("invalid change of faults")]
pub struct FaultError;

/// Returns `faults` with the fields that `change` contains replaced.
///
/// # Errors
/// Returns an error if `change` isn't a JSON object, has an unknown field or a wrong type.
pub fn update<F>(faults: &F, change: &[u8]) -> Result<F, Report<FaultError>>
where
    F: Serialize + DeserializeOwned,
{
    let change: Map<String, Value> = serde_json::from_slice(change).change_context(FaultError)?;
    let mut merged = serde_json::to_value(faults).change_context(FaultError)?;
    let fields = merged.as_object_mut().ok_or(FaultError)?;
    fields.extend(change);
    serde_json::from_value(merged).change_context(FaultError)
}

/// Builds an error response whose body holds the cause as a code.
pub(crate) fn error_response(status: StatusCode, code: &str) -> HttpResponse {
    HttpResponse::build(status).json(&serde_json::json!({"error": {"code": code}}))
}

/// Deterministic random sampling from a seed.
#[derive(Debug)]
pub(crate) struct FaultSampler {
    seed: u64,
    sample_count: Cell<u64>,
}

impl FaultSampler {
    pub(crate) const fn new(seed: u64) -> Self {
        Self {
            seed,
            sample_count: Cell::new(0),
        }
    }

    /// Draws the next sample and returns whether it falls within a share.
    pub(crate) fn sample(&self, share_permille: u64) -> bool {
        let sample_count = self.sample_count.get();
        self.sample_count.set(sample_count + 1);
        xxh3_64_with_seed(&sample_count.to_le_bytes(), self.seed) % PERMILLE < share_permille
    }
}
