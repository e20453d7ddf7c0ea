//! The KV cache store. It only records which pieces it holds.

use {
    super::Shared,
    crate::fault::error_response,
    cactusspur_core::{PieceHash, VecMap},
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{HttpRequest, HttpResponse},
    },
    serde::Deserialize,
    serde_json::json,
    std::collections::VecDeque,
};

/// The stored pieces. At capacity the oldest piece is evicted.
#[derive(Debug)]
pub(super) struct KvStore {
    capacity: usize,
    pieces: VecMap<PieceHash, ()>,
    oldest_first: VecDeque<PieceHash>,
}

impl KvStore {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            pieces: VecMap::default(),
            oldest_first: VecDeque::new(),
        }
    }

    fn put(&mut self, piece: PieceHash) {
        if self.pieces.insert(piece, ()).is_some() {
            return;
        }
        self.oldest_first.push_back(piece);
        if self.oldest_first.len() <= self.capacity {
            return;
        }
        if let Some(oldest) = self.oldest_first.pop_front() {
            self.pieces.remove(&oldest);
        }
    }

    /// Returns how many pieces at the start of the list are stored.
    fn lookup(&self, pieces: &[PieceHash]) -> usize {
        pieces
            .iter()
            .take_while(|piece| self.pieces.contains(piece))
            .count()
    }
}

/// Body of a request: the pieces, shortest prefix first.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Pieces {
    pieces: Vec<PieceHash>,
}

pub(super) async fn lookup(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let handler = async {
        match pieces(&platform, &body) {
            Ok(pieces) => {
                let kept = platform.kv_store.borrow().lookup(&pieces);
                HttpResponse::Ok().json(&json!({"kept": kept}))
            }
            Err(refusal) => refusal,
        }
    };
    platform.connections.respond(&request, handler).await
}

pub(super) async fn put(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let handler = async {
        match pieces(&platform, &body) {
            Ok(pieces) => {
                let mut kv_store = platform.kv_store.borrow_mut();
                for piece in pieces {
                    kv_store.put(piece);
                }
                HttpResponse::Ok().finish()
            }
            Err(refusal) => refusal,
        }
    };
    platform.connections.respond(&request, handler).await
}

fn pieces(platform: &Shared, body: &[u8]) -> Result<Vec<PieceHash>, HttpResponse> {
    if platform.faults.borrow().kept_down {
        return Err(error_response(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    let body: Pieces = serde_json::from_slice(body)
        .map_err(|_| error_response(StatusCode::BAD_REQUEST, "body"))?;
    Ok(body.pieces)
}
