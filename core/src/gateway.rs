//! Routing decisions of a gateway: an entry VM that forwards requests to backend servers which
//! are run and listed by an external platform.
//!
//! The functions take the current time as an argument and perform no I/O. The network side is in
//! the `gateway` module of the crate `cactusspur`.

pub mod admission;
pub mod announcement;
pub mod backend;
pub mod budget;
pub mod cached;
pub mod choice;
pub mod explanation;
pub mod overload;
pub mod pace;
pub mod past_services;
pub mod past_versions;
pub mod pause;
mod prediction;
pub mod quarantine;
pub mod reach;
pub mod rollout;
pub mod room;
pub mod routing;
pub mod send_limit;
pub mod shutdown;
pub mod stream_origin;
pub mod stream_position;
pub mod usage;

pub use {
    admission::{TooLate, check_in_time, retry_after},
    announcement::{AgeSource, AnnouncedAt, AnnouncedWeights, Announcements, outdated},
    backend::{Backend, BackendSpec, BackendTable, Load, SoftwareVersion},
    budget::{RetryBudget, RetryBudgetLimits},
    cached::{
        CacheGroup, CacheScope, CachedParts, IsolatedSet, PartState, PartUpdate, PromptPart,
        hash_prefixes, rendezvous_score, shared_keys,
    },
    choice::{Choice, ChoiceContext, Fetch, ModelCall, choose_model, choose_plain},
    explanation::{Exclusion, ServerStanding, Standing, explain_model, explain_plain},
    overload::{
        Applicant, AwaitedId, Decision, Outlook, Overload, OverloadChange, RatioPermille,
        RefusalReason,
    },
    pace::Pace,
    past_services::PastServices,
    past_versions::{PastVersion, PastVersions, VersionRecord},
    pause::Pause,
    quarantine::{
        AccusedRequest, Admission, CrashReport, Culprit, PartId, PassReport, Quarantine,
        QuarantineChange, QuarantineNotice, QuarantineReport, RequestContent, RequestDigest,
        RequestIdentity, Suspect, TrialNotice, Trigger, shared_parts,
    },
    reach::{Reach, ServiceKey},
    rollout::{OrderState, Rollout, RolloutEngine, RolloutStep},
    room::{
        BrittleReport, OWNED_ONLY_MS, RejectionTolerance, RejectionToleranceError, Room, RoomStart,
        RoomUse, SHARE_SETTLES_MS, SlotShare,
    },
    routing::{
        CallKind, CallerLimits, CustomerSpec, KeptStore, Route, RoutingTable, ServiceSpec, Split,
    },
    send_limit::{LimitShare, RequestRate, RequestRateError, SendLimit},
    shutdown::ShutdownSchedule,
    stream_origin::{SoftwareKey, StreamKey, StreamOrigin, StreamOrigins},
    stream_position::{EventPlace, OutOfOrder, StreamPosition},
    usage::{
        Charge, Fleet, OverCap, UsageCap, UsageLimits, UsageOrigin, UsageRequest, UsageRow,
        UsageState, UsageTable, UsageUnit,
    },
};
