//! The time line: what happened in each process, in an order that respects causes.
//!
//! Each event is stamped with a hybrid logical time: the wall clock, raised above every stamp
//! that was made here or came with a peer's message. So an event that another one led to, through
//! any chain of messages between entry VMs, sorts after it, whatever the machines' clocks say.
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

/// The events that a process keeps.
pub const CAPACITY: usize = 32_768;
/// The events that one answer has at the most.
pub const MAX_ANSWER_EVENTS: usize = 4_096;
/// How far ahead of the own clock a peer's stamp may be to be believed.
pub const MAX_DRIFT_MS: DurationMs = DurationMs(60_000);

/// A hybrid logical time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{}.{count}", wall_ms.0)]
pub struct HybridTime {
    /// The wall clock's part.
    pub wall_ms: TimeMs,
    /// Parts events with the same wall clock's part.
    pub count: u32,
}

/// A clock that gives hybrid logical times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HybridClock {
    latest: HybridTime,
}

impl HybridClock {
    /// A time later than all that were given or observed.
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

    /// Takes a peer's time in, so that later stamps are later than it. A time too far ahead is
    /// left out, or one machine's wrong clock would move all of them.
    pub fn observe(&mut self, now: TimeMs, remote: HybridTime) {
        if remote.wall_ms <= now.after(MAX_DRIFT_MS) {
            self.latest = self.latest.max(remote);
        }
    }
}

/// A process's part of the time line, as its operators' address gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePart {
    /// The entry VM.
    pub entry: String,
    /// The life of its process.
    pub incarnation: u64,
    /// Events that were kept once and have given way to newer ones.
    pub dropped: u64,
    /// The events asked for, the oldest first.
    pub events: Vec<TimelineEvent>,
}

/// A process's time line. Shared by all threads.
#[derive(Debug)]
pub struct Timeline {
    recorder: Mutex<Recorder>,
}

impl Timeline {
    /// An empty time line of a process of the entry VM `entry`.
    #[must_use]
    pub fn new(entry: &str, incarnation: u64) -> Arc<Self> {
        Self::with_capacity(entry, incarnation, CAPACITY)
    }

    /// An empty time line that keeps `capacity` events.
    #[must_use]
    pub fn with_capacity(entry: &str, incarnation: u64, capacity: usize) -> Arc<Self> {
        let recorder = Recorder::open(entry.to_owned(), incarnation, capacity);
        Arc::new(Self {
            recorder: Mutex::new(recorder),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what the decision core is told. To be called before the core handles it.
    pub fn record_event(&self, now: TimeMs, event: &Event) {
        self.lock().event(now, event);
    }

    /// Records what the decision core asks for.
    pub fn record_command(&self, now: TimeMs, command: &Command) {
        self.lock().command(now, command);
    }

    /// Records something that concerns the process as a whole.
    pub fn record(&self, now: TimeMs, kind: EventKind, detail: String) {
        self.lock().record(now, kind, detail);
    }

    /// The stamp for a message that is sent now.
    #[must_use]
    pub fn stamp(&self, now: TimeMs) -> HybridTime {
        self.lock().clock.stamp(now)
    }

    /// Takes the stamp of a message that has come in.
    pub fn observe(&self, now: TimeMs, remote: HybridTime) {
        self.lock().clock.observe(now, remote);
    }

    /// The newest events that a filter lets through, [`MAX_ANSWER_EVENTS`] at the most.
    #[must_use]
    pub fn select(&self, filter: &TimelineFilter) -> TimelinePart {
        self.lock().select(filter)
    }
}

/// The events of several processes as one time line, in causal order.
#[must_use]
pub fn merge(parts: Vec<TimelinePart>) -> Vec<TimelineEvent> {
    let mut events: Vec<TimelineEvent> = parts.into_iter().flat_map(|part| part.events).collect();
    events.sort_by(|a, b| (a.time, &a.entry, a.sequence).cmp(&(b.time, &b.entry, b.sequence)));
    events.dedup_by(|a, b| (a.incarnation, a.sequence) == (b.incarnation, b.sequence));
    events
}
