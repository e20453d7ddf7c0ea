//! Newtypes for sizes, rates, durations and points in time, named after their unit.

use {
    derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sum},
    serde::{Deserialize, Serialize},
};

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident, $suffix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Add, AddAssign, Sum, Display, From, FromStr, Into, Serialize, Deserialize,
        )]
        #[display("{_0}{}", $suffix)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The difference, or zero when `other` is the larger.
            #[must_use]
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    };
}

unit!(
    /// A number of tokens.
    Tokens,
    " tokens"
);
unit!(
    /// A length of time in milliseconds.
    DurationMs,
    " ms"
);
unit!(
    /// Milliseconds since the Unix epoch, according to the clock of the process that reads it.
    TimeMs,
    " ms"
);
unit!(
    /// An amount in millionths of a credit.
    MicroCredits,
    " microcredits"
);
unit!(
    /// A rate of prompt or answer tokens.
    TokensPerSecond,
    " tokens/s"
);

impl TimeMs {
    /// The point in time `duration` later.
    #[must_use]
    pub fn after(self, duration: DurationMs) -> Self {
        Self(self.0.saturating_add(duration.0))
    }

    /// The time elapsed since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl TokensPerSecond {
    /// The time that `tokens` take at this rate. A rate of zero counts as one token per second.
    #[must_use]
    pub fn time_for(self, tokens: Tokens) -> DurationMs {
        DurationMs(tokens.0.saturating_mul(1_000) / self.0.max(1))
    }

    /// The tokens processed at this rate in `duration`.
    #[must_use]
    pub fn tokens_in(self, duration: DurationMs) -> Tokens {
        Tokens(self.0.saturating_mul(duration.0) / 1_000)
    }
}
