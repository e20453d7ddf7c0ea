//! The weight store: loads share its rate, so that they take longer when more than two run.

use {
    super::Shared,
    crate::fault::refuse,
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{HttpRequest, HttpResponse},
    },
    serde::Deserialize,
    serde_json::json,
    std::time::{Duration, Instant},
};

/// The loads that the store serves without slowing any.
const FULL_RATE_LOADS: u64 = 2;

/// Loads in progress.
#[derive(Debug, Default)]
pub(super) struct WeightStore {
    ends: Vec<Instant>,
    peak: u64,
}

impl WeightStore {
    /// Starts a load that takes `takes_ms` at full rate. Gives how long it takes in fact.
    fn start(&mut self, takes_ms: u64) -> u64 {
        let loading = self.loading() + 1;
        self.peak = self.peak.max(loading);
        let slowed_ms = takes_ms.saturating_mul(loading.max(FULL_RATE_LOADS)) / FULL_RATE_LOADS;
        self.ends
            .push(Instant::now() + Duration::from_millis(slowed_ms));
        slowed_ms
    }

    fn loading(&mut self) -> u64 {
        let now = Instant::now();
        self.ends.retain(|end| *end > now);
        self.ends.len() as u64
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadBody {
    takes_ms: u64,
}

pub(super) async fn load(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let answer = async {
        let Ok(LoadBody { takes_ms }) = serde_json::from_slice(&body) else {
            return refuse(StatusCode::BAD_REQUEST, "body");
        };
        let mut weights = platform.weights.borrow_mut();
        let takes_ms = weights.start(takes_ms);
        HttpResponse::Ok().json(&json!({"loading": weights.loading(), "takes_ms": takes_ms}))
    };
    platform.connections.answer(&request, answer).await
}

pub(super) async fn get(request: HttpRequest, platform: Shared) -> HttpResponse {
    let answer = async {
        let mut weights = platform.weights.borrow_mut();
        let loading = weights.loading();
        HttpResponse::Ok().json(&json!({"loading": loading, "peak": weights.peak}))
    };
    platform.connections.answer(&request, answer).await
}
