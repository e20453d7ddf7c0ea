//! Distribution of the configuration to an entry VM, from the table service or from a peer.
//!
//! A state machine without I/O: the time is an argument, and the work to do is returned as
//! [`Action`]s. `docs/CONFIGURATION.md` explains the design.

use {
    cactusspur_core::{Configuration, DurationMs, EntryId, Generation, TimeMs},
    std::sync::Arc,
};

/// The interval at which a poller reads the table service.
pub const POLL_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// The age of the last confirmation by the platform, direct or through peers, at which a process
/// that isn't a poller reads the table service itself.
pub const STALE_AFTER_MS: DurationMs = DurationMs(3_000);
/// The interval at which a process without a recent confirmation reads the table service.
pub const STALE_POLL_INTERVAL_MS: DurationMs = DurationMs(2_500);
/// How long a starting process collects responses before it activates the highest generation.
pub const STARTUP_WAIT_MS: DurationMs = DurationMs(500);
/// The time after which a read or a pull without a result no longer blocks another.
pub const CALL_TIMEOUT_MS: DurationMs = DurationMs(5_000);

/// Work that the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the changes after the known generation from the table service, and report the result
    /// with [`Spread::apply_poll`].
    Poll,
    /// Request the changes after the known generation from a peer, and report the result with
    /// [`Spread::apply_pull`].
    Pull(EntryId),
    /// Activate a configuration.
    Activate(Arc<Configuration>),
}

/// A peer with a generation higher than the known one.
#[derive(Clone, Copy, Debug)]
struct AheadPeer {
    entry: EntryId,
    generation: Generation,
}

/// The state of one process in the distribution of the configuration.
#[derive(Debug)]
pub struct Spread {
    known: Arc<Configuration>,
    /// The end of the startup wait; `None` once the process has started.
    startup_until_ms: Option<TimeMs>,
    confirmed_at_ms: Option<TimeMs>,
    polled_at_ms: Option<TimeMs>,
    polling_since_ms: Option<TimeMs>,
    pulling_since_ms: Option<TimeMs>,
    ahead: Option<AheadPeer>,
}

impl Spread {
    /// The state at the start of a process, which knows no configuration.
    #[must_use]
    pub fn new(now: TimeMs) -> Self {
        Self {
            known: Arc::default(),
            startup_until_ms: Some(now.after(STARTUP_WAIT_MS)),
            confirmed_at_ms: None,
            polled_at_ms: None,
            polling_since_ms: None,
            pulling_since_ms: None,
            ahead: None,
        }
    }

    /// The newest known configuration. It is active unless the process is still starting.
    #[must_use]
    pub const fn known(&self) -> &Arc<Configuration> {
        &self.known
    }

    /// The active generation, as reported to peers; 0 while the process is starting.
    #[must_use]
    pub fn generation(&self) -> Generation {
        if self.startup_until_ms.is_some() {
            return Generation(0);
        }
        self.known.generation
    }

    /// How long ago the platform was last known to have no newer configuration; `None` if never.
    #[must_use]
    pub fn confirmed_ago(&self, now: TimeMs) -> Option<DurationMs> {
        self.confirmed_at_ms.map(|at_ms| now.since(at_ms))
    }

    /// Applies a peer's report of its generation and of the age of its confirmation.
    pub fn apply_peer_generation(
        &mut self,
        now: TimeMs,
        entry: EntryId,
        generation: Generation,
        confirmed_ago: Option<DurationMs>,
    ) -> Vec<Action> {
        if generation > self.known.generation {
            return self.record_ahead_peer(now, AheadPeer { entry, generation });
        }
        if generation == self.generation()
            && let Some(ago) = confirmed_ago
        {
            let confirmed_at_ms = TimeMs(now.0.saturating_sub(ago.0));
            self.confirmed_at_ms = self.confirmed_at_ms.max(Some(confirmed_at_ms));
        }
        Vec::new()
    }

    fn record_ahead_peer(&mut self, now: TimeMs, ahead: AheadPeer) -> Vec<Action> {
        if self
            .ahead
            .is_none_or(|known| known.generation < ahead.generation)
        {
            self.ahead = Some(ahead);
        }
        self.pull_if_idle(now)
    }

    fn pull_if_idle(&mut self, now: TimeMs) -> Vec<Action> {
        if is_running(self.pulling_since_ms, now) {
            return Vec::new();
        }
        let Some(ahead) = self.ahead.take() else {
            return Vec::new();
        };
        if ahead.generation <= self.known.generation {
            return Vec::new();
        }
        self.pulling_since_ms = Some(now);
        vec![Action::Pull(ahead.entry)]
    }

    /// Applies the result of a pull: the configuration that the peer's response leads to, or `None`
    /// if there was no response or it contained nothing newer.
    pub fn apply_pull(
        &mut self,
        now: TimeMs,
        configuration: Option<Arc<Configuration>>,
    ) -> Vec<Action> {
        self.pulling_since_ms = None;
        let mut actions = match configuration {
            Some(configuration) => self.adopt(configuration),
            None => Vec::new(),
        };
        actions.extend(self.pull_if_idle(now));
        actions
    }

    /// Applies the result of a read of the table service that started at `started_at_ms`: the
    /// newest configuration, `None` if nothing follows the known one, or an error.
    ///
    /// # Errors
    ///
    /// Never fails: the error is an argument.
    pub fn apply_poll<E>(
        &mut self,
        started_at_ms: TimeMs,
        result: Result<Option<Arc<Configuration>>, E>,
    ) -> Vec<Action> {
        self.polling_since_ms = None;
        let Ok(result) = result else {
            return Vec::new();
        };
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(started_at_ms));
        let mut actions = result.map_or_else(Vec::new, |newest| self.adopt(newest));
        actions.extend(self.end_startup());
        actions
    }

    /// Runs the time-driven updates. `is_poller` is whether this process polls for its failure
    /// domain.
    pub fn tick(&mut self, now: TimeMs, is_poller: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.startup_until_ms.is_some_and(|until| until <= now) {
            actions.extend(self.end_startup());
        }
        if self.is_poll_due(now, is_poller) {
            self.polling_since_ms = Some(now);
            self.polled_at_ms = Some(now);
            actions.push(Action::Poll);
        }
        actions.extend(self.pull_if_idle(now));
        actions
    }

    fn is_poll_due(&self, now: TimeMs, is_poller: bool) -> bool {
        if is_running(self.polling_since_ms, now) {
            return false;
        }
        let is_stale = self
            .confirmed_ago(now)
            .is_none_or(|ago| ago >= STALE_AFTER_MS);
        if !is_poller && !is_stale {
            return false;
        }
        let interval_ms = if is_poller {
            POLL_INTERVAL_MS
        } else {
            STALE_POLL_INTERVAL_MS
        };
        self.polled_at_ms
            .is_none_or(|at_ms| now.since(at_ms) >= interval_ms)
    }

    /// Replaces the known configuration by one of a higher generation; ignores any other.
    fn adopt(&mut self, configuration: Arc<Configuration>) -> Vec<Action> {
        if configuration.generation <= self.known.generation {
            return Vec::new();
        }
        self.known = configuration;
        if self.startup_until_ms.is_some() {
            return Vec::new();
        }
        vec![Action::Activate(Arc::clone(&self.known))]
    }

    fn end_startup(&mut self) -> Option<Action> {
        self.startup_until_ms.take()?;
        (self.known.generation.0 > 0).then(|| Action::Activate(Arc::clone(&self.known)))
    }
}

fn is_running(since: Option<TimeMs>, now: TimeMs) -> bool {
    since.is_some_and(|since| now.since(since) < CALL_TIMEOUT_MS)
}
