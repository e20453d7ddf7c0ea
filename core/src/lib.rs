//! The decision logic of cactusspur, without I/O.
//!
//! [`Core`] consumes typed [`Event`]s, each with its time, and returns typed [`Command`]s. See the
//! module [`mod@crate::core`] for how to drive it.

pub mod cache;
pub mod command;
pub mod core;
pub mod credit;
pub mod decay;
pub mod declaration;
pub mod demand;
pub mod event;
pub mod gateway;
pub mod id;
pub mod kv_exports;
pub mod margin;
pub mod prefix;
pub mod record;
pub mod request;
pub mod ring;
pub mod share;
mod system;
pub mod unit;
pub mod vec_map;
pub mod verdict;
pub mod worker;

pub use crate::{
    command::{Command, Order, Send, Usage},
    core::{Core, CoreSettings, CoreSizes, TICK_MS},
    declaration::{Class, Configuration, CreditGrant, Customer, Declarations, Model, ServedBy},
    event::{
        Arrival, CacheChange, CacheReport, CacheSnapshot, CurrentLoad, Event, Failure, LoadReport,
        OrderOutcome, RETRY_AFTER_MS, Vm, VmList, VmRole,
    },
    id::{
        AttemptId, CacheSequence, CallId, ClassId, CustomerId, DomainId, EntryId, FencingNumber,
        Generation, IdempotencyKey, Incarnation, ModelId, PieceHash, RequestId, RowVersion,
        ServiceId, WeightsVersion, WorkerId,
    },
    prefix::{
        BYTES_PER_TOKEN, PIECE_BYTES, PIECE_TOKENS, PrefixChain, PrefixScope, tokens_of_bytes,
    },
    record::{
        IdempotencyRecord, IdempotencyState, LeaseRecord, LedgerRecord, Record, RecordAnswer,
        RecordCall, RecordKey, Row, WeightLoad,
    },
    unit::{DurationMs, MicroCredits, TimeMs, Tokens, TokensPerSecond},
    vec_map::VecMap,
    verdict::{Cause, Refusal, Verdict},
    worker::{Liveness, Worker},
};
