//! Keeps to the rate of requests that a backend server takes from all entry VMs together.
//!
//! Without a common counter: few entry VMs send to such a server, each an equal part of its rate. Who
//! they are follows from an order that all compute alike.

use {
    crate::unit::{DurationMs, TimeMs},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// The lowest rate at which a server is sent requests, in thousandths of a request a second. A server
/// that gets none can't say that it takes more.
const MIN_RATE_MILLI: u64 = 100;
/// The highest rate that is kept to.
const MAX_RATE_MILLI: u64 = 1_000_000_000;
/// How much earlier than at an even pace a request may be sent.
const BURST_MS: DurationMs = DurationMs(500);
/// How long an entry VM that has no part in a server's rate believes that others learn from its
/// answers. After that it tries one request now and then.
const REPORT_LIFETIME_MS: DurationMs = DurationMs(5_000);
/// An entry VM without a part waits for this many times as long as if all had one.
const TRY_FACTOR: u64 = 2;

/// A rate of requests, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{}.{:03} requests/s", milli_per_s / 1_000, milli_per_s % 1_000)]
pub struct RequestRate {
    milli_per_s: u64,
}

/// The error of a rate that isn't a number of zero or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("not a rate of requests")]
pub struct RequestRateError;

impl RequestRate {
    /// A rate in thousandths of a request a second.
    #[must_use]
    pub fn from_milli(milli_per_s: u64) -> Self {
        Self {
            milli_per_s: milli_per_s.min(MAX_RATE_MILLI),
        }
    }

    /// The rate in whole requests a second, rounded down.
    #[must_use]
    pub const fn whole_per_s(self) -> u64 {
        self.milli_per_s / 1_000
    }

    /// The time between two requests if `parts` senders share the rate evenly.
    #[must_use]
    pub fn interval_ms(self, parts: u64) -> DurationMs {
        DurationMs(parts.saturating_mul(1_000_000) / self.milli_per_s.max(MIN_RATE_MILLI))
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    /// Parses a decimal number of requests a second.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_s: f64 = text.trim().parse().map_err(|_| RequestRateError)?;
        if !per_s.is_finite() || per_s < 0.0 {
            return Err(RequestRateError);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is positive, and huge ones saturate"
        )]
        let milli_per_s = (per_s * 1_000.0) as u64;
        Ok(Self::from_milli(milli_per_s))
    }
}

/// The part of an entry VM in the rate that a server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitShare {
    /// The entry VMs that send to the server.
    pub sharers: u64,
    /// Whether this entry VM is one of them.
    pub is_sharer: bool,
    /// All entry VMs.
    pub entry_vms: u64,
}

impl LimitShare {
    /// The number of entry VMs that send to a server with a rate, of `entry_vms` of which the first
    /// `ordered` know their places in a common order. Each may send one request at any moment, so that
    /// few of them share a low rate.
    #[must_use]
    pub fn sharers(rate: RequestRate, entry_vms: u64, ordered: u64) -> u64 {
        let most = rate.whole_per_s() + 2;
        if entry_vms <= most {
            return entry_vms.max(1);
        }
        most.min(ordered).max(1)
    }
}

/// The pace at which an entry VM sends requests to a server that named a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendLimit {
    rate: RequestRate,
    share: LimitShare,
    next_at_ms: TimeMs,
    reported_at_ms: TimeMs,
}

impl SendLimit {
    /// The pace for a rate that a server names for the first time. `random` spreads the first requests
    /// of entry VMs.
    #[must_use]
    pub fn new(rate: RequestRate, share: LimitShare, random: u64, now: TimeMs) -> Self {
        let mut limit = Self {
            rate,
            share,
            next_at_ms: now,
            reported_at_ms: now,
        };
        let interval_ms = limit.interval_ms().0;
        limit.next_at_ms = now.after(DurationMs(interval_ms / 2 + random % (interval_ms / 2 + 1)));
        limit
    }

    /// The rate that the server named.
    #[must_use]
    pub const fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Records that the server named a rate again, to this or another entry VM.
    pub fn update(&mut self, rate: RequestRate, share: LimitShare, now: TimeMs) {
        let was_sharer = self.share.is_sharer;
        self.rate = rate;
        self.share = share;
        self.reported_at_ms = now;
        if was_sharer != share.is_sharer {
            self.next_at_ms = self.next_at_ms.max(now.after(self.interval_ms()));
        }
    }

    /// The time from which on the next request may be sent.
    #[must_use]
    pub fn available_at_ms(&self) -> TimeMs {
        if self.share.is_sharer {
            return TimeMs(self.next_at_ms.0.saturating_sub(BURST_MS.0));
        }
        self.next_at_ms
            .max(self.reported_at_ms.after(REPORT_LIFETIME_MS))
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: TimeMs) {
        self.next_at_ms = self.next_at_ms.max(now).after(self.interval_ms());
    }

    fn interval_ms(&self) -> DurationMs {
        if self.share.is_sharer {
            self.rate.interval_ms(self.share.sharers)
        } else {
            self.rate.interval_ms(self.share.entry_vms * TRY_FACTOR)
        }
    }
}
