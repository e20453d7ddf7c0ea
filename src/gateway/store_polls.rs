//! Decides when a gateway calls the store for its copies of tables, and how long it waits for answers.
//!
//! Makes no calls itself, so that tests can play a fleet before a store that fails.

use cactusspur_core::{DurationMs, TimeMs};

/// The time between two status notices of a gateway, and the delay of one that arrives late.
const NOTICE_AGE_MS: DurationMs = DurationMs(1_500);

/// The times of calls to the store, by how soon a change must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTimes {
    change_limit_ms: DurationMs,
}

impl PollTimes {
    /// The times for a deployment whose changes must be in force within `change_limit_ms`.
    #[must_use]
    pub const fn new(change_limit_ms: DurationMs) -> Self {
        Self { change_limit_ms }
    }

    /// How soon a change must be in force.
    #[must_use]
    pub const fn change_limit_ms(self) -> DurationMs {
        self.change_limit_ms
    }

    /// How long the store may hold a poll while nothing changes.
    #[must_use]
    pub const fn hold_ms(self) -> DurationMs {
        DurationMs(self.change_limit_ms.0 * 7 / 5)
    }

    /// How long an answer may take beyond the time for which the store holds a poll, after a number of
    /// failures. It grows, since a slow store would otherwise never answer in time.
    #[must_use]
    pub fn answer_ms(self, failures: u32) -> DurationMs {
        let first_ms = self.change_limit_ms.0 * 3 / 20;
        DurationMs((first_ms << failures.min(6)).min(self.change_limit_ms.0 / 2))
    }

    /// The time between two calls of a gateway to a store that fails, varied by `random` so that
    /// gateways don't call at the same moments. Every call is charged for.
    #[must_use]
    pub const fn retry_period_ms(self, random: u64) -> DurationMs {
        let max_ms = self.change_limit_ms.0 * 2 / 5;
        let min_ms = self.change_limit_ms.0 * 3 / 10;
        DurationMs(min_ms + random % (max_ms - min_ms + 1))
    }

    /// The least wait after a call that failed late.
    #[must_use]
    pub const fn min_retry_ms(self) -> DurationMs {
        DurationMs(self.change_limit_ms.0 / 20)
    }

    /// How long a gateway waits for its own poll before it pulls a newer version from a peer.
    #[must_use]
    pub const fn pull_delay_ms(self) -> DurationMs {
        DurationMs(self.change_limit_ms.0 / 20)
    }

    /// How long a peer may take to answer a pull. A gateway without tables is sent whole ones, which
    /// takes longer.
    #[must_use]
    pub const fn pull_timeout_ms(self, has_tables: bool) -> DurationMs {
        if has_tables {
            DurationMs(self.change_limit_ms.0 / 4)
        } else {
            self.change_limit_ms
        }
    }

    /// How long it waits for its own failure domain before it pulls from a peer of another one: traffic
    /// between failure domains is charged for.
    #[must_use]
    pub const fn remote_pull_delay_ms(self) -> DurationMs {
        DurationMs(self.change_limit_ms.0 * 7 / 20)
    }

    /// The age of the store's last answer from which on the store counts as silent.
    #[must_use]
    pub fn silent_after_ms(self) -> DurationMs {
        DurationMs(self.hold_ms().0 / 2) + self.answer_ms(0)
    }

    /// The time between two polls of a table by a gateway, if some table is polled from `turns` places and
    /// tables in turn: with more of them each one waits longer.
    #[must_use]
    pub fn poll_period_ms(self, turns: u64) -> DurationMs {
        let longest_ms = self.hold_ms().0;
        let period_ms = (turns * self.change_limit_ms.0 / 8).clamp(longest_ms / 2, longest_ms);
        DurationMs(period_ms)
    }

    /// The time between two notices of a gateway that polls the store to its failure domain.
    #[must_use]
    pub const fn heartbeat_period_ms(self) -> DurationMs {
        DurationMs(self.change_limit_ms.0 / 15)
    }

    /// The silence after which a gateway no longer counts as one that polls the store.
    #[must_use]
    pub const fn heartbeat_timeout_ms(self) -> DurationMs {
        DurationMs(self.change_limit_ms.0 / 6)
    }

    /// The longest wait before a pull from the failure domain's poller, drawn so that its members don't all
    /// pull at the same moment.
    #[must_use]
    pub const fn pull_spread_ms(self) -> DurationMs {
        DurationMs(self.change_limit_ms.0 / 60)
    }

    /// How long a gateway counts as a watcher after the store last answered it.
    #[must_use]
    pub fn watcher_answer_ms(self) -> DurationMs {
        self.silent_after_ms() + NOTICE_AGE_MS
    }
}

/// A call to the store for one table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// The number of the call. Each call of a gateway has a higher one.
    pub number: u64,
    /// How long the store may hold the call while nothing changes.
    pub hold_ms: DurationMs,
    /// The time after which the call has failed.
    pub answer_within_ms: DurationMs,
}

impl StoreCall {
    /// A call besides the polls, which the store answers at once. It may take as long as a poll after some
    /// failures.
    #[must_use]
    pub fn at_once(times: PollTimes, failures: u32) -> Self {
        Self {
            number: 0,
            hold_ms: DurationMs(0),
            answer_within_ms: times.answer_ms(failures),
        }
    }
}

/// What to do next for a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    /// Call the store.
    Now(StoreCall),
    /// Ask again after this time, or when the store answers a call for another table.
    Wait(DurationMs),
}

#[derive(Clone, Copy, Debug)]
struct CallInProgress {
    number: u64,
    /// When the store answers at the latest, if it works.
    due_at_ms: TimeMs,
}

#[derive(Clone, Debug)]
struct TablePolls {
    name: &'static str,
    /// Calls that failed since the last answer.
    failures: u32,
    not_before_ms: TimeMs,
    in_progress: Option<CallInProgress>,
    /// Whether the last call was not answered in time.
    is_late: bool,
    /// Whether the next call must be answered at once.
    is_unconfirmed: bool,
    /// Calls with a lower number are given up.
    superseded_before: u64,
}

/// The state of a gateway's calls to the store.
///
/// The polls of the tables end at evenly spaced times, so that a silent store or connection is noticed
/// soon by one of them. While calls fail, only one is in progress at a time. The first answer after a
/// failure shows that the store is back: calls for the other tables that were made before it may have
/// been lost in the silence, and are made again.
#[derive(Clone, Debug)]
pub struct StorePolls {
    times: PollTimes,
    tables: Vec<TablePolls>,
    last_number: u64,
    retry_at_ms: TimeMs,
    place: PollPlace,
    /// The store's clock, and this gateway's clock when the store told it.
    store_clock: Option<(TimeMs, TimeMs)>,
    /// Until a call with this number or a later one is answered, one call is made at a time.
    confirmed_by: Option<u64>,
}

/// The place of a gateway among those that poll the store, one in each failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollPlace {
    /// The number of the place, starting at 0.
    pub number: u64,
    /// The number of places.
    pub count: u64,
}

impl Default for PollPlace {
    fn default() -> Self {
        Self {
            number: 0,
            count: 1,
        }
    }
}

impl StorePolls {
    /// The calls for some tables, none of which was made yet.
    #[must_use]
    pub fn new(times: PollTimes, tables: &[&'static str]) -> Self {
        let tables = tables.iter().map(|name| TablePolls {
            name,
            failures: 0,
            not_before_ms: TimeMs(0),
            in_progress: None,
            is_late: false,
            is_unconfirmed: false,
            superseded_before: 0,
        });
        Self {
            times,
            tables: tables.collect(),
            last_number: 0,
            retry_at_ms: TimeMs(0),
            place: PollPlace::default(),
            store_clock: None,
            confirmed_by: None,
        }
    }

    /// Sets this gateway's place among those that poll. The polls of all places end at evenly spaced times of
    /// the store's clock, so that one of them soon notices when the store can't be reached.
    pub fn set_place(&mut self, place: PollPlace) {
        self.place = place;
    }

    /// The polls of all tables and places, which end in turn.
    fn turns(&self) -> u64 {
        (self.place.count * self.tables.len() as u64).max(1)
    }

    fn period_ms(&self) -> DurationMs {
        self.times.poll_period_ms(self.turns())
    }

    /// Records the store's clock, as an answer tells it.
    pub fn record_store_clock(&mut self, store_now_ms: TimeMs, now: TimeMs) {
        self.store_clock = Some((store_now_ms, now));
    }

    /// Makes the next call for each table one that the store answers at once, and one at a time until one is
    /// answered.
    pub fn confirm(&mut self) {
        let next_number = self.last_number + 1;
        self.confirmed_by.get_or_insert(next_number);
        for polls in &mut self.tables {
            polls.is_unconfirmed = true;
        }
    }

    /// The times by which calls are made.
    #[must_use]
    pub const fn times(&self) -> PollTimes {
        self.times
    }

    /// The number of tables.
    #[must_use]
    pub const fn table_count(&self) -> usize {
        self.tables.len()
    }

    /// Returns what to do for a table that has no call in progress, or one that is superseded. A
    /// returned call counts as made. `random` varies the times of calls among gateways.
    pub fn next_call(&mut self, table: &str, random: u64, now: TimeMs) -> NextCall {
        let Some(index) = self.position(table) else {
            return NextCall::Wait(self.times.hold_ms());
        };
        let polls = &self.tables[index];
        let may_call_at_ms = if polls.failures > 0 {
            self.retry_at_ms
        } else {
            polls.not_before_ms
        };
        if now < may_call_at_ms {
            return NextCall::Wait(may_call_at_ms.since(now));
        }
        let failures = polls.failures;
        if self.is_confirming_another(index) || failures > 0 && self.is_turn_of_another(index) {
            return NextCall::Wait(self.times.min_retry_ms());
        }
        let is_unconfirmed = std::mem::take(&mut self.tables[index].is_unconfirmed);
        let hold_ms = if failures > 0 || is_unconfirmed {
            DurationMs(0)
        } else {
            self.hold_ms(index, random, now)
        };
        if failures > 0 {
            self.retry_at_ms = now.after(self.times.retry_period_ms(random));
        }
        self.last_number += 1;
        self.tables[index].in_progress = Some(CallInProgress {
            number: self.last_number,
            due_at_ms: now.after(hold_ms),
        });
        NextCall::Now(StoreCall {
            number: self.last_number,
            hold_ms,
            answer_within_ms: hold_ms + self.times.answer_ms(failures),
        })
    }

    /// Whether a call for another table is in progress that is to show that the store answers.
    fn is_confirming_another(&self, index: usize) -> bool {
        let Some(first_number) = self.confirmed_by else {
            return false;
        };
        self.tables.iter().enumerate().any(|(other, polls)| {
            let call = polls.in_progress;
            other != index && call.is_some_and(|call| call.number >= first_number)
        })
    }

    /// Whether another table whose calls fail is called now, or failed less often.
    fn is_turn_of_another(&self, index: usize) -> bool {
        let failures = self.tables[index].failures;
        self.tables.iter().enumerate().any(|(other, polls)| {
            other != index
                && polls.failures > 0
                && (polls.in_progress.is_some() || polls.failures < failures)
        })
    }

    /// How long the store may hold a poll, so that the polls of all tables end at evenly spaced times.
    fn hold_ms(&self, index: usize, random: u64, now: TimeMs) -> DurationMs {
        if let Some(hold_ms) = self.hold_until_turn_ms(index, now) {
            return hold_ms;
        }
        let longest_ms = self.period_ms();
        let others = self.tables.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index);
        let dues = others.filter_map(|(_, polls)| Some(polls.in_progress?.due_at_ms));
        let Some(latest_ms) = dues.max().filter(|due_ms| *due_ms > now) else {
            // Gateways that start or learn of a change at the same moment poll at different ones.
            return DurationMs(longest_ms.0 - random % (longest_ms.0 / 2).max(1));
        };
        let spacing_ms = DurationMs(longest_ms.0 / self.tables.len().max(1) as u64);
        let hold_ms = latest_ms.after(spacing_ms).since(now);
        if hold_ms > longest_ms {
            hold_ms.saturating_sub(longest_ms)
        } else {
            hold_ms
        }
    }

    /// How long the store may hold a poll so that it ends at its turn among the polls of all tables and
    /// places; `None` while the store's clock isn't known.
    fn hold_until_turn_ms(&self, index: usize, now: TimeMs) -> Option<DurationMs> {
        let (store_now_ms, at_ms) = self.store_clock?;
        let period_ms = self.period_ms().0.max(1);
        let turn = self.place.number * self.tables.len() as u64 + index as u64;
        let turn_ms = period_ms * turn / self.turns();
        let elapsed_ms = (store_now_ms.0 + now.since(at_ms).0) % period_ms;
        let hold_ms = (turn_ms + period_ms - elapsed_ms) % period_ms;
        // A poll that ends sooner would cost a call and tell little.
        let is_short = hold_ms < period_ms / 8;
        Some(DurationMs(if is_short {
            hold_ms + period_ms
        } else {
            hold_ms
        }))
    }

    /// Records the answer to a call. The next call for the table is made after `pause_ms`. Returns
    /// the number of earlier calls for the table that failed in a row.
    pub fn record_answer(
        &mut self,
        table: &str,
        call: StoreCall,
        pause_ms: DurationMs,
        now: TimeMs,
    ) -> u32 {
        let Some(index) = self.position(table) else {
            return 0;
        };
        let polls = &mut self.tables[index];
        polls.not_before_ms = now.after(pause_ms);
        polls.in_progress = None;
        polls.is_late = false;
        if self.confirmed_by.is_some_and(|first| call.number >= first) {
            self.confirmed_by = None;
        }
        let failures = std::mem::take(&mut polls.failures);
        if failures > 0 {
            self.retry_at_ms = now;
            for other in self.tables.iter_mut().filter(|other| other.name != table) {
                other.superseded_before = call.number;
            }
        }
        failures
    }

    /// Whether calls fail, and not just one on a connection that had been closed: calls for a table failed
    /// more than once, or a call was not answered in time.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.tables
            .iter()
            .any(|polls| polls.failures > 1 || polls.is_late)
    }

    /// Records that a call failed. Returns the number of calls for the table that failed in a row.
    pub fn record_failure(&mut self, table: &str, call: StoreCall, now: TimeMs) -> u32 {
        let Some(index) = self.position(table) else {
            return 0;
        };
        let polls = &mut self.tables[index];
        polls.failures += 1;
        let due_at_ms = polls.in_progress.take().map(|call| call.due_at_ms);
        let answer_ms = call.answer_within_ms.saturating_sub(call.hold_ms);
        polls.is_late = due_at_ms.is_some_and(|due_ms| now.since(due_ms) >= answer_ms);
        let failures = polls.failures;
        // The first call of an outage may have been made long ago, and the next one is made at once.
        if failures > 1 {
            self.retry_at_ms = self.retry_at_ms.max(now.after(self.times.min_retry_ms()));
        }
        failures
    }

    /// Whether a call in progress should be given up and made again.
    #[must_use]
    pub fn is_superseded(&self, table: &str, call: StoreCall) -> bool {
        let polls = self.tables.iter().find(|row| row.name == table);
        polls.is_some_and(|polls| call.number < polls.superseded_before)
    }

    fn position(&self, table: &str) -> Option<usize> {
        self.tables.iter().position(|row| row.name == table)
    }
}
