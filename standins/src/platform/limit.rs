//! Rate limits of the stores.

use std::{cell::Cell, time::Instant};

/// Limits on the reads and writes per second of a store.
pub(super) struct RateLimit {
    reads: Bucket,
    writes: Bucket,
}

impl RateLimit {
    pub(super) fn new(reads_per_second: u64, writes_per_second: u64) -> Self {
        Self {
            reads: Bucket::new(reads_per_second),
            writes: Bucket::new(writes_per_second),
        }
    }

    /// Takes a permit for a read; returns false if the limit is exceeded.
    pub(super) fn try_read(&self) -> bool {
        self.reads.try_take()
    }

    /// Takes a permit for a write; returns false if the limit is exceeded.
    pub(super) fn try_write(&self) -> bool {
        self.writes.try_take()
    }
}

/// A token bucket with a burst capacity of one second.
struct Bucket {
    rate_per_second: u64,
    next_free_us: Cell<u64>,
    created_at: Instant,
}

impl Bucket {
    fn new(rate_per_second: u64) -> Self {
        Self {
            rate_per_second: rate_per_second.max(1),
            next_free_us: Cell::new(0),
            created_at: Instant::now(),
        }
    }

    fn try_take(&self) -> bool {
        const SECOND_US: u64 = 1_000_000;
        let now_us = u64::try_from(self.created_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let free_us = self.next_free_us.get().max(now_us);
        let spent_us = free_us + SECOND_US / self.rate_per_second;
        if spent_us > now_us + SECOND_US {
            return false;
        }
        self.next_free_us.set(spent_us);
        true
    }
}
