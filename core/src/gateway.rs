//! The decisions of a gateway: an entry VM that forwards requests to backend servers which run
//! elsewhere and are listed by somebody else.
//!
//! Everything here is told the time and does no I/O. The network side is in the crate
//! `cactusspur`, in its module `gateway`.

pub mod backend;
pub mod budget;
pub mod cached;
pub mod choice;
pub mod pace;
mod prediction;
pub mod rollout;
pub mod routing;

pub use {
    backend::{Backend, BackendSpec, BackendTable, Load},
    budget::{RetryBudget, RetryBudgetLimits},
    cached::{
        CacheScope, CachedParts, PartState, PartUpdate, PromptPart, hash_prefixes,
        rendezvous_score, shared_keys,
    },
    choice::{
        AnnouncedWeights, Choice, ChoiceContext, Fetch, ModelCall, choose_model, choose_plain,
    },
    pace::Pace,
    rollout::{OrderState, Rollout, RolloutEngine, RolloutStep},
    routing::{
        CallKind, CallerLimits, CustomerSpec, KeptStore, Route, RoutingTable, ServiceSpec, Split,
    },
};
