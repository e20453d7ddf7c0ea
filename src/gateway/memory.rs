//! Limits on the bytes of requests and answers that a process holds in memory.

use {
    bytes::Bytes,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// The largest body for which there is room apart from that of larger ones, in bytes.
pub const MAX_SMALL_BODY_BYTES: usize = 65_536;
/// The unit in which room is reserved, in bytes.
const UNIT_BYTES: usize = 1_024;
/// The share of a process's memory for small bodies.
const SMALL_BODIES_DIVISOR: usize = 6;
/// The share of a process's memory for larger bodies.
const LARGE_BODIES_DIVISOR: usize = 3;
/// The share of a process's memory for answers.
const ANSWERS_DIVISOR: usize = 8;
/// The share of its length by which a full buffer grows.
const GROWTH_DIVISOR: usize = 4;

/// The room for request bodies in a process. Small bodies don't wait for large ones.
#[derive(Clone, Debug)]
pub struct BodyRoom {
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    small_units: usize,
    large_units: usize,
}

impl BodyRoom {
    /// The room in a process that may use `memory_bytes`.
    #[must_use]
    pub fn for_process(memory_bytes: usize) -> Self {
        let small_units = memory_bytes / SMALL_BODIES_DIVISOR / UNIT_BYTES;
        let large_units = memory_bytes / LARGE_BODIES_DIVISOR / UNIT_BYTES;
        Self {
            small: Arc::new(Semaphore::new(small_units)),
            large: Arc::new(Semaphore::new(large_units)),
            small_units,
            large_units,
        }
    }

    /// Waits for room for a body of `bytes`. A body that is larger than the whole room waits for all of it.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let (room, all_units) = if bytes <= MAX_SMALL_BODY_BYTES {
            (&self.small, self.small_units)
        } else {
            (&self.large, self.large_units)
        };
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES).min(all_units)).ok()?;
        let permit = Arc::clone(room).acquire_many_owned(units).await;
        // The semaphores are never closed.
        permit.ok().map(|permit| Reservation { permit })
    }
}

/// Reserved room for a body.
#[derive(Debug)]
pub struct Reservation {
    permit: OwnedSemaphorePermit,
}

impl Reservation {
    /// Makes a body that gives its room back when the last reference to it is dropped, and what it doesn't need
    /// at once.
    #[must_use]
    pub fn hold(mut self, mut bytes: Vec<u8>) -> Bytes {
        bytes.shrink_to_fit();
        let unneeded = self
            .permit
            .num_permits()
            .saturating_sub(bytes.len().div_ceil(UNIT_BYTES));
        drop(self.permit.split(unneeded));
        Bytes::from_owner(HeldBody { bytes, _room: self })
    }
}

/// A body with the room that is reserved for it.
struct HeldBody {
    bytes: Vec<u8>,
    _room: Reservation,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The bytes that all answers of a process that may use `memory_bytes` may hold together.
#[must_use]
pub const fn answer_bytes(memory_bytes: usize) -> usize {
    memory_bytes / ANSWERS_DIVISOR
}

/// Counts the bytes of buffers.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter {
    total: Arc<AtomicUsize>,
}

impl ByteCounter {
    /// The bytes in all buffers.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// An empty buffer whose bytes are counted.
    #[must_use]
    pub fn buffer(&self) -> CountedBuffer {
        CountedBuffer {
            bytes: Vec::new(),
            total: self.clone(),
        }
    }
}

/// A buffer whose bytes are counted as long as they are in memory.
#[derive(Debug)]
pub struct CountedBuffer {
    bytes: Vec<u8>,
    total: ByteCounter,
}

impl CountedBuffer {
    /// Appends bytes.
    pub fn extend(&mut self, data: &[u8]) {
        let length = self.bytes.len();
        if length + data.len() > self.bytes.capacity() {
            let growth = data.len().max(length / GROWTH_DIVISOR);
            self.bytes.reserve_exact(growth);
        }
        self.bytes.extend_from_slice(data);
        self.total.total.fetch_add(data.len(), Ordering::Relaxed);
    }

    /// The number of bytes in the buffer.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer has no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The bytes of the buffer, which count until the last reference to them is dropped.
    #[must_use]
    pub fn freeze(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for CountedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedBuffer {
    fn drop(&mut self) {
        let length = self.bytes.len();
        self.total.total.fetch_sub(length, Ordering::Relaxed);
    }
}
