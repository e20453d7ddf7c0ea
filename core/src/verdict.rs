//! Whether a request may have run, and why it was given up.

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

/// Why a request was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The customer or the class is not in the configuration in force.
    #[display("unknown customer or class")]
    Unknown,
    /// The request can't be served in any state of the system.
    #[display("bad request")]
    BadRequest,
    /// No worker of the class's model or service is known to be alive.
    #[display("no worker")]
    NoWorker,
    /// No worker is predicted to meet the class's target.
    #[display("target out of reach")]
    Overload,
    /// The customer is over its fair share while others wait.
    #[display("over fair share")]
    OverShare,
    /// The request may cost more than its class allows.
    #[display("cost over the class's limit")]
    OverCost,
    /// The customer's credits are spent.
    #[display("no credits")]
    NoCredits,
    /// The table service can't be asked whether the key has been used.
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
    /// A limit of this entry VM on requests in progress is reached.
    #[display("too many requests in progress")]
    TooManyRequests,
}

/// The final answer to a request that is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{cause} ({verdict})")]
pub struct Refusal {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why.
    pub cause: Cause,
    /// When the caller may come back.
    pub retry_after_ms: DurationMs,
}
