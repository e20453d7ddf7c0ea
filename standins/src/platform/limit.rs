//! Limits on calls a second.

use std::{cell::Cell, time::Instant};

/// Reads and writes that a store takes in a second.
pub(super) struct Limit {
    reads: Bucket,
    writes: Bucket,
}

impl Limit {
    pub(super) fn open(reads_per_second: u64, writes_per_second: u64) -> Self {
        Self {
            reads: Bucket::open(reads_per_second),
            writes: Bucket::open(writes_per_second),
        }
    }

    /// Whether another read is within the limit.
    pub(super) fn read(&self) -> bool {
        self.reads.take()
    }

    /// Whether another write is within the limit.
    pub(super) fn write(&self) -> bool {
        self.writes.take()
    }
}

/// A token bucket that holds what one second allows.
struct Bucket {
    rate_per_second: u64,
    spent_until_us: Cell<u64>,
    opened: Instant,
}

impl Bucket {
    fn open(rate_per_second: u64) -> Self {
        Self {
            rate_per_second: rate_per_second.max(1),
            spent_until_us: Cell::new(0),
            opened: Instant::now(),
        }
    }

    fn take(&self) -> bool {
        const SECOND_US: u64 = 1_000_000;
        let now_us = u64::try_from(self.opened.elapsed().as_micros()).unwrap_or(u64::MAX);
        let free_us = self.spent_until_us.get().max(now_us);
        let spent_us = free_us + SECOND_US / self.rate_per_second;
        if spent_us > now_us + SECOND_US {
            return false;
        }
        self.spent_until_us.set(spent_us);
        true
    }
}
