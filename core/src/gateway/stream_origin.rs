//! Where streams began: the software version that sent the first event of each one, which it must stay
//! at, whoever resumes it.
//!
//! What two versions write doesn't fit together. The entry VM that relays a stream's first event tells
//! all others the version. One that doesn't know it concludes it only while a service has had a single
//! version.

use {
    super::backend::SoftwareVersion,
    crate::unit::{DurationMs, TimeMs},
    derive_more::{Display, From, Into},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// The time after which rows are collected in another bucket.
const BUCKET_MS: DurationMs = DurationMs(2_000);
/// How long an origin is kept before any configuration says how long streams last.
const DEFAULT_LIFETIME_MS: DurationMs = DurationMs(60_000);

/// The hash of the caller and its id of the attempt that began a stream.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of a stream that a customer's attempt began. Another customer's attempt with the same id
    /// has another one.
    #[must_use]
    pub fn new(customer: Option<&str>, request_id: &str) -> Self {
        let seed = xxh3_64(customer.unwrap_or_default().as_bytes());
        Self(xxh3_64_with_seed(request_id.as_bytes(), seed))
    }
}

/// A short name of a software version in messages; 0 for servers that name none.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:08x}")]
pub struct SoftwareKey(pub u32);

impl SoftwareKey {
    /// The key of a version.
    #[must_use]
    pub fn new(version: Option<&SoftwareVersion>) -> Self {
        let hash = version.map_or(0, |version| xxh3_64(version.0.as_bytes()));
        let [a, b, c, d, ..] = hash.to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// The version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version that sent its first event.
    pub software: SoftwareKey,
}

#[derive(Clone, Debug)]
struct Bucket {
    closed_at_ms: TimeMs,
    /// In order.
    rows: Vec<StreamOrigin>,
}

/// The origins of the streams that may still be taken up.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    lifetime_ms: DurationMs,
    opened_at_ms: TimeMs,
    open: Vec<StreamOrigin>,
    closed: VecDeque<Bucket>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            lifetime_ms: DEFAULT_LIFETIME_MS,
            opened_at_ms: TimeMs(0),
            open: Vec::new(),
            closed: VecDeque::new(),
        }
    }
}

impl StreamOrigins {
    /// Sets how long a stream may be taken up after its first event.
    pub const fn set_lifetime(&mut self, lifetime_ms: DurationMs) {
        self.lifetime_ms = lifetime_ms;
    }

    /// How long a stream may be taken up after its first event.
    #[must_use]
    pub const fn lifetime_ms(&self) -> DurationMs {
        self.lifetime_ms
    }

    /// Records where a stream began, or that it goes on.
    pub fn record(&mut self, origin: StreamOrigin, now: TimeMs) {
        if now.since(self.opened_at_ms) >= BUCKET_MS {
            self.close_bucket(now);
        }
        self.open.push(origin);
    }

    fn close_bucket(&mut self, now: TimeMs) {
        let mut rows = std::mem::take(&mut self.open);
        rows.sort_unstable();
        rows.dedup();
        if !rows.is_empty() {
            self.closed.push_back(Bucket {
                closed_at_ms: now,
                rows,
            });
        }
        self.opened_at_ms = now;
        let lifetime_ms = self.lifetime_ms;
        let is_old = |bucket: &Bucket| now.since(bucket.closed_at_ms) >= lifetime_ms;
        while self.closed.front().is_some_and(is_old) {
            self.closed.pop_front();
        }
    }

    /// The version that began a stream; `None` if it isn't known.
    #[must_use]
    pub fn get(&self, stream: StreamKey) -> Option<SoftwareKey> {
        let open = self.open.iter().rev().find(|row| row.stream == stream);
        if let Some(origin) = open {
            return Some(origin.software);
        }
        self.closed.iter().rev().find_map(|bucket| {
            let found = bucket.rows.binary_search_by_key(&stream, |row| row.stream);
            found.ok().map(|index| bucket.rows[index].software)
        })
    }

    /// All origins that are kept, for a gateway that starts.
    pub fn iter(&self) -> impl Iterator<Item = StreamOrigin> {
        let closed = self.closed.iter().flat_map(|bucket| &bucket.rows);
        closed.chain(&self.open).copied()
    }

    /// The number of origins that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        let closed = self.closed.iter().map(|bucket| bucket.rows.len());
        self.open.len() + closed.sum::<usize>()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
