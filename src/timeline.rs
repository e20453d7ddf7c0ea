//! The time line: the events of each process, in causal order.
//!
//! Each event is stamped with a hybrid logical time: the wall clock, raised above every stamp
//! that was made here or received with a peer's message. An event that was caused by another one,
//! through any chain of messages between entry VMs, therefore sorts after it, even if the
//! machines' clocks differ.
//! A process keeps the newest [`CAPACITY`] events in memory.

mod filter;
mod record;

pub use {
    filter::{RequestName, TimelineFilter},
    record::{EventKind, TimelineEvent},
};

use {
    cactusspur_core::{Command, DurationMs, Event, TimeMs},
    derive_more::Display,
    record::Recorder,
    serde::{Deserialize, Serialize},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// The number of events that a process keeps.
pub const CAPACITY: usize = 32_768;
/// The most events in one answer.
pub const MAX_ANSWER_EVENTS: usize = 4_096;
/// How far ahead of the local clock a peer's stamp may be to be accepted.
pub const MAX_DRIFT_MS: DurationMs = DurationMs(60_000);

/// A hybrid logical time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{}.{count}", wall_ms.0)]
pub struct HybridTime {
    /// The wall-clock part.
    pub wall_ms: TimeMs,
    /// A counter that orders events with the same wall-clock part.
    pub count: u32,
}

/// A hybrid logical clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HybridClock {
    latest: HybridTime,
}

impl HybridClock {
    /// Returns a time later than all those returned or observed before.
    pub fn stamp(&mut self, now: TimeMs) -> HybridTime {
        self.latest = if now > self.latest.wall_ms {
            HybridTime {
                wall_ms: now,
                count: 0,
            }
        } else {
            HybridTime {
                wall_ms: self.latest.wall_ms,
                count: self.latest.count.saturating_add(1),
            }
        };
        self.latest
    }

    /// Advances the clock to a peer's time, so that further stamps are later than it. Ignores a
    /// time more than [`MAX_DRIFT_MS`] ahead; otherwise one machine's wrong clock would advance the
    /// clocks of all others.
    pub fn observe(&mut self, now: TimeMs, remote: HybridTime) {
        if remote.wall_ms <= now.after(MAX_DRIFT_MS) {
            self.latest = self.latest.max(remote);
        }
    }
}

/// A process's part of the time line, as served on its operators' address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePart {
    /// The entry VM's name.
    pub entry: String,
    /// Identifies the run of the process.
    pub incarnation: u64,
    /// The number of events that were evicted by newer ones.
    pub dropped: u64,
    /// The events that match the filter, oldest first.
    pub events: Vec<TimelineEvent>,
}

/// A process's time line. Shared by all threads.
#[derive(Debug)]
pub struct Timeline {
    recorder: Mutex<Recorder>,
}

impl Timeline {
    /// An empty time line of a process on the entry VM `entry`.
    #[must_use]
    pub fn new(entry: &str, incarnation: u64) -> Arc<Self> {
        Self::with_capacity(entry, incarnation, CAPACITY)
    }

    /// An empty time line that keeps up to `capacity` events.
    #[must_use]
    pub fn with_capacity(entry: &str, incarnation: u64, capacity: usize) -> Arc<Self> {
        let recorder = Recorder::new(entry.to_owned(), incarnation, capacity);
        Arc::new(Self {
            recorder: Mutex::new(recorder),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an input of the core. Must be called before the core handles it.
    pub fn record_event(&self, now: TimeMs, event: &Event) {
        self.lock().record_event(now, event);
    }

    /// Records a command of the core.
    pub fn record_command(&self, now: TimeMs, command: &Command) {
        self.lock().record_command(now, command);
    }

    /// Records an event of the process that belongs to no request or worker.
    pub fn record(&self, now: TimeMs, kind: EventKind, detail: String) {
        self.lock().record(now, kind, detail);
    }

    /// The stamp for a message that is sent now.
    #[must_use]
    pub fn stamp(&self, now: TimeMs) -> HybridTime {
        self.lock().clock.stamp(now)
    }

    /// Applies the stamp of a received message to the clock.
    pub fn observe(&self, now: TimeMs, remote: HybridTime) {
        self.lock().clock.observe(now, remote);
    }

    /// The newest events that match the filter, up to [`MAX_ANSWER_EVENTS`].
    #[must_use]
    pub fn select(&self, filter: &TimelineFilter) -> TimelinePart {
        self.lock().select(filter)
    }
}

/// Merges the events of several processes in causal order and removes duplicates.
#[must_use]
pub fn merge(parts: Vec<TimelinePart>) -> Vec<TimelineEvent> {
    let mut events: Vec<TimelineEvent> = parts.into_iter().flat_map(|part| part.events).collect();
    events.sort_by(|a, b| (a.time, &a.entry, a.sequence).cmp(&(b.time, &b.entry, b.sequence)));
    events.dedup_by(|a, b| (a.incarnation, a.sequence) == (b.incarnation, b.sequence));
    events
}
