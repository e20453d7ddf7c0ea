//! Request and response bodies of an engine's HTTP API.

use {
    bytes::Bytes,
    cactusspur_core::{
        AttemptId, CacheChange, CacheSequence, CustomerId, FencingNumber, Incarnation, Model,
        PieceHash, PrefixScope, WeightsVersion,
    },
    serde::{Deserialize, Serialize},
};

/// A chat completion request.
#[derive(Debug, Deserialize)]
pub(super) struct ChatRequest {
    pub(super) model: String,
    pub(super) messages: Vec<Message>,
    pub(super) max_tokens: Option<u64>,
    pub(super) attempt_id: AttemptId,
    pub(super) customer: CustomerId,
    #[serde(default)]
    pub(super) adapter: Option<String>,
    pub(super) weights_version: WeightsVersion,
    #[serde(default)]
    pub(super) priority: u32,
    #[serde(default)]
    pub(super) resume_offset_bytes: usize,
    #[serde(default)]
    pub(super) delivered: Option<String>,
    #[serde(default)]
    pub(super) import_pieces: Vec<PieceHash>,
    #[serde(default)]
    pub(super) export_pieces: Vec<PieceHash>,
}

impl ChatRequest {
    /// Returns the requested model.
    pub(super) fn requested_model(&self) -> Model {
        Model {
            name: self.model.clone(),
            adapter: self.adapter.clone(),
            weights_version: self.weights_version,
        }
    }

    /// Returns the scope of the prompt's cached pieces.
    pub(super) fn scope(&self) -> PrefixScope {
        PrefixScope {
            customer: self.customer,
            model: self.requested_model().id(),
            weights: self.weights_version,
        }
    }

    /// Returns the contents of the messages in order.
    pub(super) fn contents(&self) -> Vec<String> {
        self.messages.iter().map(Message::text).collect()
    }
}

/// A message of a chat.
#[derive(Debug, Deserialize)]
pub(super) struct Message {
    #[serde(default)]
    content: Option<Content>,
}

impl Message {
    fn text(&self) -> String {
        match &self.content {
            Some(Content::Text(text)) => text.clone(),
            Some(Content::Parts(parts)) => parts.iter().map(|part| part.text.as_str()).collect(),
            None => String::new(),
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug, Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: String,
}

/// The engine's load at the time of an event.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CurrentLoad {
    pub(super) observed_at_ms: u64,
    pub(super) queued_tokens: u64,
    pub(super) running: usize,
}

/// An event of an answer stream.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub(super) enum StreamEvent {
    Accepted {
        attempt_id: AttemptId,
        incarnation: Incarnation,
        prompt_tokens: u64,
        cached_tokens: u64,
        load: CurrentLoad,
    },
    Piece {
        attempt_id: AttemptId,
        offset_bytes: usize,
        text: String,
    },
    Finished {
        attempt_id: AttemptId,
        answer_bytes: usize,
        answer_tokens: u64,
        incarnation: Incarnation,
        load: CurrentLoad,
    },
}

impl StreamEvent {
    /// Encodes the event as a server-sent event.
    pub(super) fn encode(&self) -> Bytes {
        let json = serde_json::to_string(self).unwrap_or_default();
        Bytes::from(format!("data: {json}\n\n"))
    }
}

/// A request to cancel an attempt.
#[derive(Debug, Deserialize)]
pub(super) struct CancelBody {
    pub(super) attempt_id: AttemptId,
}

/// An order under a lease.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OrderBody {
    pub(super) fencing: FencingNumber,
    pub(super) order: Order,
}

/// The action that an order requests.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Order {
    Load(Model),
    Unload(Model),
}

/// A load report.
#[derive(Debug, Serialize)]
pub(super) struct LoadBody {
    pub(super) incarnation: Incarnation,
    pub(super) observed_at_ms: u64,
    pub(super) queued_tokens: u64,
    pub(super) running: usize,
    pub(super) slots: usize,
    pub(super) prefill_rate: u64,
    pub(super) import_rate: u64,
    pub(super) price_microcredits: u64,
    pub(super) models: Vec<Model>,
    pub(super) cache_pieces: usize,
    pub(super) leaving: bool,
}

/// Selects the cache events to return, starting at number `after`.
#[derive(Debug, Deserialize)]
pub(super) struct EventsQuery {
    #[serde(default)]
    pub(super) after: u64,
}

/// Consecutive changes of the cache.
#[derive(Debug, Serialize)]
pub(super) struct EventsBody {
    pub(super) incarnation: Incarnation,
    pub(super) first_sequence: CacheSequence,
    pub(super) changes: Vec<CacheChange>,
}

/// A snapshot of the cache.
#[derive(Debug, Serialize)]
pub(super) struct CacheBody {
    pub(super) incarnation: Incarnation,
    pub(super) next_sequence: CacheSequence,
    pub(super) pieces: Vec<PieceHash>,
}
