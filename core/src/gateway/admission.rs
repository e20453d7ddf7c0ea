//! Rejects requests that can't be answered in time, and tells callers when to come back.
//!
//! A request whose best engine has a backlog longer than the caller waits would take the place of
//! others and be lost anyway. It is rejected before anything is sent, so that the caller can come
//! back when the backlog has fallen.

use {super::choice::Choice, crate::unit::DurationMs, derive_more::Display};

/// How far a prediction of the first token may be too high, in percent of it: engines of a service
/// differ by about as much from the pace that is learnt of them.
const PREDICTION_ERROR_PERCENT: u64 = 30;
/// The shortest time after which a rejected request may come back. By then, other requests have
/// ended.
const MIN_RETRY_AFTER_MS: DurationMs = DurationMs(150);
/// Callers come back after at most this part of the time that they have left, so that there is time
/// for another attempt.
const REMAINING_DIVISOR: u64 = 3;
/// The range over which returns are spread, in percent of the time after which the first may come.
const SPREAD_PERCENT: u64 = 50;

/// A request that can't be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(
    "the first token is predicted after {first_token_ms}, {remaining_ms} before the deadline"
)]
pub struct TooLate {
    /// The predicted time to the first token at the best engine.
    pub first_token_ms: DurationMs,
    /// The time that remains to answer the request.
    pub remaining_ms: DurationMs,
}

/// Checks whether a request can be answered within the remaining time where it would be sent. Doubts
/// count for the request: of the predicted backlog only what the requests account for that the server
/// itself reports as waiting, each as long as this one.
///
/// # Errors
///
/// When its first token would come after that, even if the prediction is too high.
pub fn check_in_time(choice: &Choice, remaining_ms: DurationMs) -> Result<(), TooLate> {
    let reported_ms = choice.prefill_ms.0 * (choice.reported_waiting + 1);
    let predicted_ms = choice.first_token_ms.0.min(reported_ms);
    if predicted_ms * (100 - PREDICTION_ERROR_PERCENT) / 100 < remaining_ms.0 {
        return Ok(());
    }
    Err(TooLate {
        first_token_ms: choice.first_token_ms,
        remaining_ms,
    })
}

/// When a rejected request should come back: when the backlog of its best server has fallen, no
/// sooner than others that were rejected before it, and with time left for another attempt.
///
/// `backlog_ms` is the predicted wait at the best server, `random` spreads callers that were rejected
/// at the same moment.
#[must_use]
pub fn retry_after(backlog_ms: DurationMs, remaining_ms: DurationMs, random: u64) -> DurationMs {
    let latest_ms = remaining_ms.0 / REMAINING_DIVISOR;
    let fallen_ms = backlog_ms.0.max(MIN_RETRY_AFTER_MS.0);
    let spread_ms = fallen_ms * SPREAD_PERCENT / 100;
    // If the backlog lasts longer than callers wait, they are spread over the time before the latest.
    let earliest_ms = fallen_ms.min(latest_ms.saturating_sub(spread_ms.min(latest_ms / 2)));
    let range_ms = spread_ms.min(latest_ms - earliest_ms);
    DurationMs(earliest_ms + random % (range_ms + 1))
}
