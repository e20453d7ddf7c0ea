//! The bytes that a gateway holds for callers and servers that read slowly, bounded over all connections.

use {
    cactusspur_core::DurationMs,
    std::{cell::Cell, rc::Rc},
    tokio::sync::Notify,
};

/// The part of a process's memory that held bytes may take.
const MEMORY_DIVISOR: usize = 4;
/// `Retry-After` of a request whose body doesn't fit: about the time in which some answers are read.
pub const FULL_RETRY_AFTER_MS: DurationMs = DurationMs(400);

#[derive(Debug)]
struct Total {
    used_bytes: Cell<usize>,
    limit_bytes: Option<usize>,
    released: Notify,
}

/// Counts the held bytes of all connections of one thread. Clones share the same count.
#[derive(Clone, Debug)]
pub struct HeldBytes(Rc<Total>);

impl HeldBytes {
    /// A count with a limit by the memory that the process may use, in bytes; without one if that isn't
    /// known.
    #[must_use]
    pub fn new(memory_bytes: Option<usize>) -> Self {
        Self(Rc::new(Total {
            used_bytes: Cell::new(0),
            limit_bytes: memory_bytes.map(|memory| memory / MEMORY_DIVISOR),
            released: Notify::new(),
        }))
    }

    /// Whether there is a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.0.limit_bytes.is_some()
    }

    /// The bytes that are held.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.0.used_bytes.get()
    }

    /// Whether that many more bytes are within the limit.
    #[must_use]
    pub fn has_room(&self, bytes: usize) -> bool {
        let used = self.used_bytes();
        self.0
            .limit_bytes
            .is_none_or(|limit| used.saturating_add(bytes) <= limit)
    }

    /// Counts bytes until the result is dropped, also beyond the limit.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> Hold {
        let mut hold = Hold {
            total: Rc::clone(&self.0),
            bytes: 0,
        };
        hold.grow(bytes);
        hold
    }

    /// Waits until there is room for the bytes, or `is_exempt` holds, and counts them. What exceeds the
    /// limit by itself is admitted when nothing else is held.
    pub async fn hold_when_free<F>(&self, bytes: usize, is_exempt: F) -> Hold
    where
        F: Fn() -> bool,
    {
        loop {
            let released = self.0.released.notified();
            if self.has_room(bytes) || self.used_bytes() == 0 || is_exempt() {
                return self.hold(bytes);
            }
            released.await;
        }
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub struct Hold {
    total: Rc<Total>,
    bytes: usize,
}

impl Hold {
    /// The bytes that it counts.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts more bytes.
    pub fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        let used = &self.total.used_bytes;
        used.set(used.get() + bytes);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let used = &self.total.used_bytes;
        used.set(used.get() - self.bytes);
        self.total.released.notify_waiters();
    }
}
