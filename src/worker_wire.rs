//! The JSON bodies exchanged with workers, as specified in `docs/PROTOCOLS.md`.

use {
    cactusspur_core::{
        AttemptId, CacheChange, CacheSequence, CustomerId, Event, Incarnation, MicroCredits,
        PieceHash, TimeMs, Tokens, TokensPerSecond, WeightsVersion,
    },
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// The body of a completion request to an engine.
#[derive(Serialize)]
pub(crate) struct EngineRequest<'a> {
    pub(crate) model: &'a str,
    pub(crate) adapter: Option<&'a str>,
    pub(crate) messages: &'a Value,
    pub(crate) max_tokens: u64,
    pub(crate) stream: bool,
    pub(crate) attempt_id: AttemptId,
    pub(crate) customer: CustomerId,
    pub(crate) weights_version: WeightsVersion,
    pub(crate) priority: u32,
    pub(crate) resume_offset_bytes: u64,
    pub(crate) delivered: &'a str,
    pub(crate) import_pieces: &'a [PieceHash],
    pub(crate) export_pieces: &'a [PieceHash],
}

/// An event in the stream of an engine's answer.
#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub(crate) enum EngineEvent {
    Accepted {
        attempt_id: AttemptId,
        incarnation: Incarnation,
        cached_tokens: Tokens,
        #[serde(default)]
        load: Option<EngineLoad>,
    },
    Piece {
        attempt_id: AttemptId,
        offset_bytes: u64,
        text: String,
    },
    Finished {
        attempt_id: AttemptId,
        answer_bytes: u64,
        answer_tokens: Tokens,
        #[serde(default)]
        incarnation: Option<Incarnation>,
        #[serde(default)]
        load: Option<EngineLoad>,
    },
}

/// The load that an engine reports along with an answer.
#[derive(Clone, Copy, Deserialize)]
pub(crate) struct EngineLoad {
    pub(crate) observed_at_ms: TimeMs,
    pub(crate) queued_tokens: Tokens,
    pub(crate) running: u32,
}

impl EngineEvent {
    /// The load in this event with the incarnation of the engine, if the event has both.
    pub(crate) fn load(&self) -> Option<(Incarnation, EngineLoad)> {
        match self {
            Self::Accepted {
                incarnation, load, ..
            } => Some((*incarnation, (*load)?)),
            Self::Finished {
                incarnation, load, ..
            } => Some(((*incarnation)?, (*load)?)),
            Self::Piece { .. } => None,
        }
    }
}

impl From<EngineEvent> for Event {
    fn from(event: EngineEvent) -> Self {
        match event {
            EngineEvent::Accepted {
                attempt_id,
                incarnation,
                cached_tokens,
                ..
            } => Self::AttemptAccepted {
                attempt: attempt_id,
                incarnation,
                cached_tokens,
            },
            EngineEvent::Piece {
                attempt_id,
                offset_bytes,
                text,
            } => Self::Piece {
                attempt: attempt_id,
                offset_bytes,
                text: text.into(),
            },
            EngineEvent::Finished {
                attempt_id,
                answer_bytes,
                answer_tokens,
                ..
            } => Self::AttemptFinished {
                attempt: attempt_id,
                answer_bytes,
                answer_tokens,
            },
        }
    }
}

/// The response to a health probe.
#[derive(Deserialize)]
pub(crate) struct HealthBody {
    pub(crate) incarnation: Incarnation,
}

/// A model that a worker has loaded.
#[derive(Deserialize)]
pub(crate) struct LoadedModel {
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) adapter: Option<String>,
    pub(crate) weights_version: WeightsVersion,
}

/// A worker's report of its load.
#[derive(Deserialize)]
pub(crate) struct LoadBody {
    pub(crate) incarnation: Incarnation,
    pub(crate) observed_at_ms: TimeMs,
    pub(crate) queued_tokens: Tokens,
    pub(crate) running: u32,
    pub(crate) slots: u32,
    pub(crate) prefill_rate: TokensPerSecond,
    pub(crate) import_rate: TokensPerSecond,
    pub(crate) price_microcredits: MicroCredits,
    pub(crate) models: Vec<LoadedModel>,
    pub(crate) cache_pieces: u64,
    #[serde(default)]
    pub(crate) leaving: bool,
}

/// Consecutive changes of a worker's cache.
#[derive(Deserialize)]
pub(crate) struct CacheBody {
    pub(crate) incarnation: Incarnation,
    pub(crate) first_sequence: CacheSequence,
    pub(crate) changes: Vec<CacheChange>,
}

/// A snapshot of a worker's cache.
#[derive(Deserialize)]
pub(crate) struct SnapshotBody {
    pub(crate) incarnation: Incarnation,
    pub(crate) next_sequence: CacheSequence,
    pub(crate) pieces: Vec<PieceHash>,
}
