//! How a configuration reaches an entry VM: from the table service or from another entry VM.
//!
//! A state machine without I/O: the time is an argument, and what is to be done comes back as
//! [`Action`]s. `docs/CONFIGURATION.md` says why it is made this way.

use {
    cactusspur_core::{Configuration, DurationMs, EntryId, Generation, TimeMs},
    std::sync::Arc,
};

/// How often a poller reads the table service.
pub const POLL_INTERVAL_MS: DurationMs = DurationMs(1_000);
/// For how long the platform must not have been heard of, directly or through others, until a
/// process that isn't a poller reads the table service itself.
pub const STALE_MS: DurationMs = DurationMs(3_000);
/// How often such a process reads it.
pub const STALE_POLL_INTERVAL_MS: DurationMs = DurationMs(2_500);
/// How long a starting process waits for the highest of the answers.
pub const STARTUP_WAIT_MS: DurationMs = DurationMs(500);
/// How long a read or a pull may take before another is started.
pub const CALL_TIMEOUT_MS: DurationMs = DurationMs(5_000);

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the table service for what comes after the known generation, and report with
    /// [`Spread::apply_poll`].
    Poll,
    /// Ask a peer for what comes after the known generation, and report with
    /// [`Spread::apply_pull`].
    Pull(EntryId),
    /// Take a configuration into force.
    Activate(Arc<Configuration>),
}

/// A peer that has a higher generation.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    entry: EntryId,
    generation: Generation,
}

/// The spread of the configuration, as one process sees it.
#[derive(Debug)]
pub struct Spread {
    known: Arc<Configuration>,
    /// Until when the start waits for the highest answer; none once something was decided.
    starting_until_ms: Option<TimeMs>,
    confirmed_at_ms: Option<TimeMs>,
    polled_at_ms: Option<TimeMs>,
    polling_since_ms: Option<TimeMs>,
    pulling_since_ms: Option<TimeMs>,
    ahead: Option<Ahead>,
}

impl Spread {
    /// The start of a process, which knows no configuration.
    #[must_use]
    pub fn new(now: TimeMs) -> Self {
        Self {
            known: Arc::default(),
            starting_until_ms: Some(now.after(STARTUP_WAIT_MS)),
            confirmed_at_ms: None,
            polled_at_ms: None,
            polling_since_ms: None,
            pulling_since_ms: None,
            ahead: None,
        }
    }

    /// The newest known configuration. It is in force unless the process is still starting.
    #[must_use]
    pub const fn known(&self) -> &Arc<Configuration> {
        &self.known
    }

    /// The generation in force, which is what others are told.
    #[must_use]
    pub fn generation(&self) -> Generation {
        if self.starting_until_ms.is_some() {
            return Generation(0);
        }
        self.known.generation
    }

    /// How long ago the platform was last known to have no newer configuration.
    #[must_use]
    pub fn confirmed_ago(&self, now: TimeMs) -> Option<DurationMs> {
        self.confirmed_at_ms.map(|at| now.since(at))
    }

    /// Takes in what a peer says of its generation.
    pub fn apply_peer_generation(
        &mut self,
        now: TimeMs,
        entry: EntryId,
        generation: Generation,
        confirmed_ago: Option<DurationMs>,
    ) -> Vec<Action> {
        if generation > self.known.generation {
            return self.heard_higher(now, Ahead { entry, generation });
        }
        if generation == self.generation()
            && let Some(ago) = confirmed_ago
        {
            let at = TimeMs(now.0.saturating_sub(ago.0));
            self.confirmed_at_ms = self.confirmed_at_ms.max(Some(at));
        }
        Vec::new()
    }

    fn heard_higher(&mut self, now: TimeMs, ahead: Ahead) -> Vec<Action> {
        if self
            .ahead
            .is_none_or(|known| known.generation < ahead.generation)
        {
            self.ahead = Some(ahead);
        }
        self.pull_if_free(now)
    }

    fn pull_if_free(&mut self, now: TimeMs) -> Vec<Action> {
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

    /// Takes in what a peer gave: the configuration that its answer leads to, or none when it
    /// did not answer or its answer led nowhere.
    pub fn apply_pull(
        &mut self,
        now: TimeMs,
        configuration: Option<Arc<Configuration>>,
    ) -> Vec<Action> {
        self.pulling_since_ms = None;
        let mut actions = match configuration {
            Some(configuration) => self.raise(configuration),
            None => Vec::new(),
        };
        actions.extend(self.pull_if_free(now));
        actions
    }

    /// Takes in what the table service gave to a read that began at `began_at`: the newest
    /// configuration, none when there is none after the known one, or an error.
    ///
    /// # Errors
    ///
    /// None: the error is an argument.
    pub fn apply_poll<E>(
        &mut self,
        began_at: TimeMs,
        answer: Result<Option<Arc<Configuration>>, E>,
    ) -> Vec<Action> {
        self.polling_since_ms = None;
        let Ok(answer) = answer else {
            return Vec::new();
        };
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(began_at));
        let mut actions = answer.map_or_else(Vec::new, |newest| self.raise(newest));
        actions.extend(self.end_start());
        actions
    }

    /// Does what is due. `is_poller` says whether this process polls for its failure domain.
    pub fn tick(&mut self, now: TimeMs, is_poller: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.starting_until_ms.is_some_and(|until| until <= now) {
            actions.extend(self.end_start());
        }
        if self.is_poll_due(now, is_poller) {
            self.polling_since_ms = Some(now);
            self.polled_at_ms = Some(now);
            actions.push(Action::Poll);
        }
        actions.extend(self.pull_if_free(now));
        actions
    }

    fn is_poll_due(&self, now: TimeMs, is_poller: bool) -> bool {
        if is_running(self.polling_since_ms, now) {
            return false;
        }
        let is_stale = self.confirmed_ago(now).is_none_or(|ago| ago >= STALE_MS);
        if !is_poller && !is_stale {
            return false;
        }
        let interval_ms = if is_poller {
            POLL_INTERVAL_MS
        } else {
            STALE_POLL_INTERVAL_MS
        };
        self.polled_at_ms
            .is_none_or(|at| now.since(at) >= interval_ms)
    }

    /// Raises the known configuration. A lower or equal generation is left out.
    fn raise(&mut self, configuration: Arc<Configuration>) -> Vec<Action> {
        if configuration.generation <= self.known.generation {
            return Vec::new();
        }
        self.known = configuration;
        if self.starting_until_ms.is_some() {
            return Vec::new();
        }
        vec![Action::Activate(Arc::clone(&self.known))]
    }

    fn end_start(&mut self) -> Option<Action> {
        self.starting_until_ms.take()?;
        (self.known.generation.0 > 0).then(|| Action::Activate(Arc::clone(&self.known)))
    }
}

fn is_running(since: Option<TimeMs>, now: TimeMs) -> bool {
    since.is_some_and(|since| now.since(since) < CALL_TIMEOUT_MS)
}
