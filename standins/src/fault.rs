//! Faults that a stand-in takes at `POST /standin/faults`.

mod connection;

pub(crate) use connection::{Connection, Connections, hang_up};

use {
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    ntex::{http::StatusCode, web::HttpResponse},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Map, Value},
    std::{cell::Cell, time::Duration},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// One in a thousand, as the denominator of shares and factors.
pub(crate) const PERMILLE: u64 = 1_000;

/// Faults of an engine or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
pub struct WorkerFaults {
    /// Once: all connections break, all work and cache is lost, another incarnation starts.
    pub crash_to_empty: bool,
    /// Once: the connections that are open now never answer again.
    pub silent_connections: bool,
    /// Nothing is answered and nothing computed; connections are accepted.
    pub frozen: bool,
    /// Each connection breaks at its next request, which is not run.
    pub refuse_connections: bool,
    /// New work is refused with 503, and load reports say so.
    pub leaving: bool,
    /// New work is refused at once with this HTTP status; zero for none.
    pub fail_fast_status: u16,
    /// How much longer all work takes, in thousandths.
    pub slow_factor_permille: u64,
    /// How late load reports are.
    pub load_lag_ms: u64,
    /// How late cache events are.
    pub cache_lag_ms: u64,
    /// The share of cache events that are lost.
    pub drop_cache_events_permille: u64,
    /// The share of pieces that are sent twice.
    pub duplicate_pieces_permille: u64,
    /// The share of pieces that follow a piece of another, earlier attempt.
    pub late_pieces_permille: u64,
    /// The share of a plain service's calls that run and are then not answered.
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
    /// The refusal of new work that the faults ask for.
    pub(crate) fn refusal(&self) -> Option<HttpResponse> {
        if let Ok(status) = StatusCode::from_u16(self.fail_fast_status) {
            return Some(refuse(status, "fail_fast"));
        }
        self.leaving
            .then(|| refuse(StatusCode::SERVICE_UNAVAILABLE, "leaving"))
    }

    /// A length of time, stretched by the slow factor.
    pub(crate) fn stretch(&self, time: Duration) -> Duration {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(time_us.saturating_mul(self.slow_factor_permille) / PERMILLE)
    }
}

/// Faults of one of the platform's stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// All calls are answered with 503 and have no effect.
    pub down: bool,
    /// How long each call waits before it takes effect.
    pub slow_ms: u64,
    /// The share of writes that take effect and are then not answered.
    pub lose_answer_permille: u64,
    /// Writes are not answered, and take effect this much later; zero for never.
    pub late_write_ms: u64,
}

/// Faults of the platform: of the table service by themselves, of the others with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
pub struct PlatformFaults {
    /// The table service answers all calls with 503, and they have no effect.
    pub down: bool,
    /// How long each call of the table service waits before it takes effect.
    pub slow_ms: u64,
    /// The share of the table's writes that take effect and are then not answered.
    pub lose_answer_permille: u64,
    /// The table's writes are not answered, and take effect this much later; zero for never.
    pub late_write_ms: u64,
    /// As `down`, for the object store.
    pub objects_down: bool,
    /// As `slow_ms`, for the object store.
    pub objects_slow_ms: u64,
    /// As `lose_answer_permille`, for the object store.
    pub objects_lose_answer_permille: u64,
    /// As `late_write_ms`, for the object store.
    pub objects_late_write_ms: u64,
    /// The list of VMs is answered with 503.
    pub vms_down: bool,
    /// How late changes of the list of VMs show.
    pub vms_lag_ms: u64,
    /// The store of kept KV cache is answered with 503.
    pub kept_down: bool,
    /// Once: the connections that are open now never answer again.
    pub silent_connections: bool,
    /// Nothing is answered; connections are accepted.
    pub frozen: bool,
    /// Each connection breaks at its next request, which has no effect.
    pub refuse_connections: bool,
}

impl PlatformFaults {
    /// The faults of the table service.
    #[must_use]
    pub const fn table(&self) -> StoreFaults {
        StoreFaults {
            down: self.down,
            slow_ms: self.slow_ms,
            lose_answer_permille: self.lose_answer_permille,
            late_write_ms: self.late_write_ms,
        }
    }

    /// The faults of the object store.
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

/// A change of faults is not an object of known fields.
#[derive(Debug, Display, Error)]
#[display("not a change of faults")]
pub struct FaultError;

/// The faults after a change: fields that `change` doesn't name stay.
///
/// # Errors
/// When `change` is not a JSON object or has an unknown field or a wrong type.
pub fn update<F>(faults: &F, change: &[u8]) -> Result<F, Report<FaultError>>
where
    F: Serialize + DeserializeOwned,
{
    let change: Map<String, Value> = serde_json::from_slice(change).change_context(FaultError)?;
    let mut whole = serde_json::to_value(faults).change_context(FaultError)?;
    let fields = whole.as_object_mut().ok_or(FaultError)?;
    fields.extend(change);
    serde_json::from_value(whole).change_context(FaultError)
}

/// An answer that refuses, with its cause as code.
pub(crate) fn refuse(status: StatusCode, code: &str) -> HttpResponse {
    HttpResponse::build(status).json(&serde_json::json!({"error": {"code": code}}))
}

/// Draws that are the same for the same seed.
#[derive(Debug)]
pub(crate) struct Draws {
    seed: u64,
    drawn: Cell<u64>,
}

impl Draws {
    pub(crate) const fn open(seed: u64) -> Self {
        Self {
            seed,
            drawn: Cell::new(0),
        }
    }

    /// Whether the next draw falls within a share.
    pub(crate) fn hits(&self, share_permille: u64) -> bool {
        let drawn = self.drawn.get();
        self.drawn.set(drawn + 1);
        xxh3_64_with_seed(&drawn.to_le_bytes(), self.seed) % PERMILLE < share_permille
    }
}
