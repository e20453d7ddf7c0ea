//! The store of kept KV cache: which pieces it has.

use {
    super::Shared,
    crate::fault::refuse,
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

/// The pieces that are kept.
#[derive(Debug)]
pub(super) struct KeptStore {
    capacity: usize,
    pieces: VecMap<PieceHash, ()>,
    oldest_first: VecDeque<PieceHash>,
}

impl KeptStore {
    pub(super) fn open(capacity: usize) -> Self {
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

    /// How many pieces at the start of the list are kept.
    fn lookup(&self, pieces: &[PieceHash]) -> usize {
        pieces
            .iter()
            .take_while(|piece| self.pieces.contains(piece))
            .count()
    }
}

/// Pieces, shortest prefix first.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Pieces {
    pieces: Vec<PieceHash>,
}

pub(super) async fn lookup(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let answer = async {
        match pieces(&platform, &body) {
            Ok(pieces) => {
                let kept = platform.kept.borrow().lookup(&pieces);
                HttpResponse::Ok().json(&json!({"kept": kept}))
            }
            Err(refusal) => refusal,
        }
    };
    platform.connections.answer(&request, answer).await
}

pub(super) async fn put(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let answer = async {
        match pieces(&platform, &body) {
            Ok(pieces) => {
                let mut kept = platform.kept.borrow_mut();
                for piece in pieces {
                    kept.put(piece);
                }
                HttpResponse::Ok().finish()
            }
            Err(refusal) => refusal,
        }
    };
    platform.connections.answer(&request, answer).await
}

fn pieces(platform: &Shared, body: &[u8]) -> Result<Vec<PieceHash>, HttpResponse> {
    if platform.faults.borrow().kept_down {
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    let body: Pieces =
        serde_json::from_slice(body).map_err(|_| refuse(StatusCode::BAD_REQUEST, "body"))?;
    Ok(body.pieces)
}
