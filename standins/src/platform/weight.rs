//! The weight store. Loads share its bandwidth, so that each takes longer if more than two run.

use {
    super::Shared,
    crate::fault::error_response,
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{HttpRequest, HttpResponse},
    },
    serde::Deserialize,
    serde_json::json,
    std::time::{Duration, Instant},
};

/// Number of concurrent loads that the store serves at full rate.
const FULL_RATE_LOADS: u64 = 2;

/// The loads in progress.
#[derive(Debug, Default)]
pub(super) struct WeightStore {
    load_ends: Vec<Instant>,
    peak_loads: u64,
}

impl WeightStore {
    /// Starts a load that takes `takes_ms` at full rate and returns its actual duration in
    /// milliseconds.
    fn start(&mut self, takes_ms: u64) -> u64 {
        let loading = self.loading() + 1;
        self.peak_loads = self.peak_loads.max(loading);
        let actual_ms = takes_ms.saturating_mul(loading.max(FULL_RATE_LOADS)) / FULL_RATE_LOADS;
        self.load_ends
            .push(Instant::now() + Duration::from_millis(actual_ms));
        actual_ms
    }

    fn loading(&mut self) -> u64 {
        let now = Instant::now();
        self.load_ends.retain(|end| *end > now);
        self.load_ends.len() as u64
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadBody {
    takes_ms: u64,
}

pub(super) async fn load(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let handler = async {
        let Ok(LoadBody { takes_ms }) = serde_json::from_slice(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "body");
        };
        let mut weights = platform.weights.borrow_mut();
        let takes_ms = weights.start(takes_ms);
        HttpResponse::Ok().json(&json!({"loading": weights.loading(), "takes_ms": takes_ms}))
    };
    platform.connections.respond(&request, handler).await
}

pub(super) async fn get(request: HttpRequest, platform: Shared) -> HttpResponse {
    let handler = async {
        let mut weights = platform.weights.borrow_mut();
        let loading = weights.loading();
        HttpResponse::Ok().json(&json!({"loading": loading, "peak": weights.peak_loads}))
    };
    platform.connections.respond(&request, handler).await
}
