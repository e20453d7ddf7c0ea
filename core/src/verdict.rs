//! Whether a rejected or failed request may have run, and why it ended.

use {
    crate::unit::DurationMs,
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// Whether a backend server may have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No backend server has run or will run it.
    #[display("not run")]
    NotRun,
    /// A backend server may have run it, may be running it or may still run it.
    #[display("may have run")]
    MayHaveRun,
}

/// Why a request was rejected or aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The customer or the class is not in the current configuration.
    #[display("unknown customer or class")]
    Unknown,
    /// The request can't be served in any state of the system.
    #[display("bad request")]
    BadRequest,
    /// No live worker of the class's model or service is known.
    #[display("no worker")]
    NoWorker,
    /// No worker is predicted to meet the class's target.
    #[display("target out of reach")]
    Overload,
    /// The customer exceeds its fair share while requests of others wait.
    #[display("over fair share")]
    OverShare,
    /// The request may cost more than its class allows.
    #[display("cost over the class's limit")]
    OverCost,
    /// The customer's credits are spent.
    #[display("no credits")]
    NoCredits,
    /// The table service can't be queried for an earlier use of the key.
    #[display("table service unavailable")]
    TableUnavailable,
    /// Another attempt with the same idempotency key is running or has an unknown result.
    #[display("idempotency key in use")]
    KeyInUse,
    /// The key was used with another body.
    #[display("idempotency key used with another body")]
    KeyMismatch,
    /// The backend server failed, or went silent, and no retry is allowed.
    #[display("backend server failed")]
    BackendFailed,
    /// This entry VM is shutting down.
    #[display("shutting down")]
    ShuttingDown,
    /// No configuration has been obtained yet.
    #[display("no configuration")]
    NoConfiguration,
    /// This entry VM has reached its limit on requests in progress.
    #[display("too many requests in progress")]
    TooManyRequests,
    /// Engines crash when they begin to answer requests with a part of the prompt.
    #[display("engines crash on the prompt")]
    CrashesEngines,
    /// The customer has used what its cap permits.
    #[display("over the usage cap")]
    OverCap,
}

/// The final answer to a request that is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{cause} ({verdict})")]
pub struct Refusal {
    /// Whether a backend server may have run the request.
    pub verdict: Verdict,
    /// Why the request was not served.
    pub cause: Cause,
    /// How long the caller should wait before it retries.
    pub retry_after_ms: DurationMs,
}
