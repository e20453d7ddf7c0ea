//! Which gateways poll the store: one of each failure domain, and another one as soon as that fails.
//!
//! The gateway that polls tells the other members so several times within the time in which a change must be
//! in force, and at once when the store turns it away. When none does, each member calls the store after a
//! wait that it draws: a few soon, the rest at growing intervals, so that some member gets through even if
//! the store turns many away, and an outage costs few calls. Members that poll beside another one stop, but
//! for the first in an order that all compute alike. Makes no calls itself.

use {
    super::{peer_table::DomainPollers, store_polls::PollTimes},
    cactusspur_core::{DurationMs, TimeMs},
};

/// Thousandths of a member, in the order in which members call the store.
const MILLI: u64 = 1_000;
/// Members after which calls are made at even intervals.
const EVEN_AFTER: u64 = 16;

/// What to do next about the copies of tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Poll the store.
    Poll,
    /// Ask again after this time, or when a gateway that polled has stopped.
    Wait(DurationMs),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// Another gateway polls.
    Idle,
    /// No gateway polls, as far as known, and this one waits for its turn.
    Waiting { try_at_ms: TimeMs },
    /// This gateway calls the store and has no answer yet.
    Trying,
    /// The store answers this gateway.
    Polling,
}

/// The part of a gateway in polling the store.
#[derive(Clone, Debug)]
pub struct WatchDuty {
    times: PollTimes,
    role: Role,
    /// Since when no gateway polls, as far as known, and how often this one has called the store since.
    vacant_since_ms: Option<TimeMs>,
    tries: u64,
    /// When the gateways that poll are to be checked again.
    check_at_ms: Option<TimeMs>,
}

impl WatchDuty {
    /// The part of a gateway that has just started.
    #[must_use]
    pub const fn new(times: PollTimes) -> Self {
        Self {
            times,
            role: Role::Idle,
            vacant_since_ms: None,
            tries: 0,
            check_at_ms: None,
        }
    }

    /// Whether the store answers this gateway's polls.
    #[must_use]
    pub fn is_polling(&self) -> bool {
        self.role == Role::Polling
    }

    /// Returns what to do next, by the pollers of this failure domain. `random` draws the turn of this gateway.
    pub fn next(&mut self, pollers: DomainPollers, random: u64, now: TimeMs) -> Duty {
        let is_first = pollers.ahead < pollers.needed;
        if self.role == Role::Polling && is_first {
            return Duty::Poll;
        }
        if pollers.running >= pollers.needed {
            self.role = Role::Idle;
            self.vacant_since_ms = None;
            self.tries = 0;
            let wait_ms = pollers.lapse_ms.max(self.times.pull_spread_ms());
            self.check_at_ms = Some(now.after(wait_ms));
            return Duty::Wait(wait_ms);
        }
        match self.role {
            // A check that comes late shows that this process stood still: notices of others may wait unread.
            Role::Idle if self.is_check_overdue(now) => {
                self.check_at_ms = None;
                Duty::Wait(self.times.heartbeat_period_ms())
            }
            Role::Idle | Role::Polling => {
                self.vacant_since_ms = Some(now);
                let try_at_ms = self.draw_turn(pollers.members, random, now);
                self.role = Role::Waiting { try_at_ms };
                Duty::Wait(try_at_ms.since(now))
            }
            Role::Waiting { try_at_ms } if now < try_at_ms => Duty::Wait(try_at_ms.since(now)),
            Role::Waiting { .. } | Role::Trying => {
                self.role = Role::Trying;
                Duty::Poll
            }
        }
    }

    fn is_check_overdue(&self, now: TimeMs) -> bool {
        let limit_ms = self.times.heartbeat_period_ms();
        self.check_at_ms
            .is_some_and(|check_at_ms| now >= check_at_ms.after(limit_ms))
    }

    /// Records that the store answered a poll. Returns whether this gateway polls from now on and did not
    /// before.
    pub fn record_answer(&mut self) -> bool {
        let begins = matches!(self.role, Role::Waiting { .. } | Role::Trying);
        if begins {
            self.role = Role::Polling;
            self.vacant_since_ms = None;
            self.tries = 0;
        }
        begins
    }

    /// Records that calls to the store fail. Returns whether this gateway polled until now.
    pub fn record_failure(&mut self, members: usize, random: u64, now: TimeMs) -> bool {
        let was_polling = self.is_polling();
        if was_polling || matches!(self.role, Role::Trying) {
            self.vacant_since_ms.get_or_insert(now);
            self.tries += 1;
            let try_at_ms = self.draw_turn(members, random, now);
            self.role = Role::Waiting { try_at_ms };
        }
        was_polling
    }

    /// When this gateway calls the store: `random` draws its place among the members of its domain.
    fn draw_turn(&self, members: usize, random: u64, now: TimeMs) -> TimeMs {
        let members = members.max(1) as u64;
        let place_milli = members * (self.tries * MILLI + random % MILLI);
        let since_ms = self.vacant_since_ms.unwrap_or(now);
        since_ms.after(self.turn_ms(place_milli)).max(now)
    }

    /// The wait of the member that calls the store at some place: the intervals grow to two fifteenths of the
    /// time in which a change must be in force.
    fn turn_ms(&self, place_milli: u64) -> DurationMs {
        let limit_ms = self.times.change_limit_ms().0;
        let growing_milli = place_milli.min(EVEN_AFTER * MILLI);
        let even_milli = place_milli - growing_milli;
        let linear_ms = limit_ms * growing_milli / (150 * MILLI);
        let square_ms = limit_ms * growing_milli * growing_milli / (250 * MILLI * MILLI);
        let even_ms = limit_ms * even_milli * 2 / (15 * MILLI);
        DurationMs(linear_ms + square_ms + even_ms)
    }
}
