//! Client for the platform's KV cache store and weight store.

use {
    cactusspur_core::PieceHash,
    ntex::client::Client,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::net::SocketAddr,
    tokio::sync::OnceCell,
};

/// A client of the platform. Without an address, and when a call fails, lookups find nothing and
/// weights load at full rate.
pub(super) struct PlatformClient {
    address: Option<SocketAddr>,
    client: OnceCell<Client>,
}

#[derive(Deserialize)]
struct LookupAnswer {
    kept: usize,
}

#[derive(Deserialize)]
struct WeightLoad {
    takes_ms: u64,
}

impl PlatformClient {
    pub(super) fn new(address: Option<SocketAddr>) -> Self {
        Self {
            address,
            client: OnceCell::new(),
        }
    }

    /// Returns how many pieces at the start of the list the KV cache store holds.
    pub(super) async fn lookup_pieces(&self, pieces: &[PieceHash]) -> usize {
        let body = json!({"pieces": pieces});
        let answer: Option<LookupAnswer> = self.post("/kept/lookup", &body).await;
        answer.map_or(0, |answer| answer.kept.min(pieces.len()))
    }

    /// Writes pieces to the KV cache store.
    pub(super) async fn store_pieces(&self, pieces: &[PieceHash]) {
        let body = json!({"pieces": pieces});
        let _: Option<Value> = self.post("/kept/put", &body).await;
    }

    /// Starts a weight load and returns its duration in milliseconds.
    pub(super) async fn start_weight_load(&self, full_rate_ms: u64) -> u64 {
        let body = json!({"takes_ms": full_rate_ms});
        let answer: Option<WeightLoad> = self.post("/weights/load", &body).await;
        answer.map_or(full_rate_ms, |answer| answer.takes_ms)
    }

    async fn post<B, A>(&self, path: &str, body: &B) -> Option<A>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let address = self.address?;
        let client = self.client.get_or_init(Client::new).await;
        let url = format!("http://{address}{path}");
        let response = client.post(url).send_json(body).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let answer = response.body().await.ok()?;
        serde_json::from_slice(&answer).ok()
    }
}
