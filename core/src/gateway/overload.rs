//! Decides which requests are sent, sent last or refused while a service gets more than it can answer
//! in time.
//!
//! The same rule holds in every entry VM. It acts only on requests that are predicted to miss their
//! target while others wait at the server, see `docs/design/overload.md`.

mod calibration;
mod shares;

pub use calibration::RatioPermille;
use {
    super::choice::Choice,
    crate::{
        unit::{DurationMs, TimeMs, Tokens},
        vec_map::VecMap,
    },
    calibration::Calibration,
    derive_more::Display,
    shares::{AskedAndSent, CustomerShares, FLOOR_DIVISOR, TIME_CONSTANT_MS},
};

/// How long a service counts as overloaded after the last prediction near a target.
const OVERLOAD_HOLD_MS: DurationMs = DurationMs(3_000);
/// While a service is overloaded, requests are sent up to this part of their target, in percent, since
/// predictions are off by about the rest.
const IN_TIME_PERCENT: u64 = 75;
/// Requests that yield are sent while the predicted time is at most the target divided by this.
const YIELD_DIVISOR: u64 = 2;
/// The part of the remaining time within which a request that need not be in time must be predicted.
const LAST_DIVISOR: u64 = 2;
/// A caller that comes back has used at most this part of its time.
const RETURN_DIVISOR: u64 = 2;
/// How much more often a route may be served than one that is as urgent or more, in thousandths.
const LEAD_PERMILLE: u64 = 50;
/// The least recent requests of a route for which others yield, in thousandths of a request.
const MIN_COMPARED_MILLI: u64 = 4_000;
/// A request, in the thousandths that are counted.
const ONE_MILLI: u64 = 1_000;
/// How long the longest remaining time of a route's requests is remembered at least.
const LONGEST_WAIT_TTL_MS: DurationMs = DurationMs(10_000);

/// A request that may be sent now.
#[derive(Clone, Copy, Debug)]
pub struct Applicant<'a> {
    /// The service that is to answer.
    pub service: &'a str,
    /// The name of the request's route.
    pub route: &'a str,
    /// The customer's name; empty without one.
    pub customer: &'a str,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The tokens of prompt and answer; 1 for a plain service.
    pub work: Tokens,
    /// The route's target to the first token, or to the answer of a plain service.
    pub target_ms: DurationMs,
    /// The time since the request arrived.
    pub waited_ms: DurationMs,
    /// How long the caller waited for an answer when the request arrived.
    pub caller_wait_ms: DurationMs,
    /// The time that remains to answer the request.
    pub remaining_ms: DurationMs,
    /// Whether the request takes up a stream that has begun.
    pub takes_up_stream: bool,
    /// Whether servers run requests by priority.
    pub has_priorities: bool,
}

/// What is known of the server that a request would be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// The predicted time to the first token.
    pub first_token_ms: DurationMs,
    /// The part of it before the request's own work.
    pub queue_ms: DurationMs,
    /// Whether requests wait at the server.
    pub has_backlog: bool,
}

impl Outlook {
    /// What a choice predicts.
    #[must_use]
    pub const fn new(choice: &Choice, has_backlog: bool) -> Self {
        Self {
            first_token_ms: choice.first_token_ms,
            queue_ms: choice.queue_ms,
            has_backlog,
        }
    }
}

/// Why a request is refused under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// It can't be answered before its deadline.
    #[display("beyond the deadline")]
    BeyondDeadline,
    /// Its customer got more than its share lately.
    #[display("over the customer's share")]
    OverShare,
    /// Requests that are as urgent or more are served less often.
    #[display("served more often than others")]
    LessUrgent,
    /// It would miss its target while others wait.
    #[display("beyond the target")]
    BeyondTarget,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent.
    Send,
    /// It is sent with the lowest priority.
    SendLast,
    /// It is refused.
    Refuse {
        /// Why it is refused.
        reason: RefusalReason,
        /// The time until room is expected for it.
        wait_ms: DurationMs,
    },
}

/// A change of a service's state for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadChange {
    /// Requests are refused from now on.
    Entered,
    /// No request was predicted to be late for a while.
    Left,
}

/// The requests of one route at one service.
#[derive(Debug, Default)]
struct RouteLoad {
    priority: u8,
    target_ms: DurationMs,
    requests: AskedAndSent,
    own_work_ms: AskedAndSent,
    longest_wait_ms: DurationMs,
    longest_wait_at_ms: TimeMs,
    calibration: Calibration,
}

impl RouteLoad {
    fn record_asked(&mut self, applicant: &Applicant<'_>, outlook: &Outlook, now: TimeMs) {
        self.priority = applicant.priority;
        self.target_ms = applicant.target_ms;
        self.requests.record_asked(ONE_MILLI, now);
        let own_ms = outlook.first_token_ms.saturating_sub(outlook.queue_ms);
        self.own_work_ms.record_asked(own_ms.0 * ONE_MILLI, now);
        let is_old = now.since(self.longest_wait_at_ms) > LONGEST_WAIT_TTL_MS;
        if is_old || applicant.caller_wait_ms >= self.longest_wait_ms {
            self.longest_wait_ms = applicant.caller_wait_ms;
            self.longest_wait_at_ms = now;
        }
    }

    /// The mean time of requests of the route without a queue.
    fn mean_own_work_ms(&self, now: TimeMs) -> u64 {
        self.own_work_ms.asked(now) / self.requests.asked(now).max(1)
    }

    /// The time that a caller who was refused before has used, by the time that it has left; zero for
    /// one that comes for the first time.
    fn used_ms(&self, applicant: &Applicant<'_>) -> DurationMs {
        let used_ms = self
            .longest_wait_ms
            .saturating_sub(applicant.caller_wait_ms);
        if used_ms.0 > self.longest_wait_ms.0 / RETURN_DIVISOR {
            return DurationMs(0);
        }
        used_ms
    }

    fn is_compared(&self, now: TimeMs) -> bool {
        self.requests.asked(now) >= MIN_COMPARED_MILLI
    }
}

/// The state of one service.
#[derive(Debug, Default)]
struct ServiceLoad {
    customers: CustomerShares,
    routes: VecMap<String, RouteLoad>,
    late_at_ms: Option<TimeMs>,
    /// Requests with the lowest priority whose first token is awaited.
    last_in_line: Vec<u64>,
    is_overloaded: bool,
    /// The time up to which room is promised to refused callers.
    promised_until_ms: TimeMs,
    cleaned_at_ms: TimeMs,
}

/// The load of all services, as one entry VM knows it.
#[derive(Debug, Default)]
pub struct Overload {
    services: VecMap<String, ServiceLoad>,
    last_id: u64,
}

/// A request that was sent and whose first token is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AwaitedId(u64);

impl Overload {
    /// Decides on a request, once for each, and records it.
    pub fn decide(
        &mut self,
        applicant: &Applicant<'_>,
        outlook: &Outlook,
        now: TimeMs,
    ) -> Decision {
        let service = self
            .services
            .get_or_insert_with(applicant.service.to_owned(), ServiceLoad::default);
        service.record_asked(applicant, outlook, now);
        let decision = service.decide(applicant, outlook, now);
        if !matches!(decision, Decision::Refuse { .. }) {
            service
                .customers
                .record_sent(applicant.customer, applicant.work, now);
            if let Some(route) = service.routes.get_mut(&applicant.route.to_owned()) {
                route.requests.record_sent(ONE_MILLI, now);
            }
        }
        decision
    }

    /// Records the work of a customer that another entry VM reported as sent.
    pub fn record_reported(&mut self, service: &str, customer: &str, work: Tokens, now: TimeMs) {
        let service = self
            .services
            .get_or_insert_with(service.to_owned(), ServiceLoad::default);
        service.customers.record_asked(customer, work, now);
        service.customers.record_sent(customer, work, now);
    }

    /// Records that a request of a route is sent, whose first token is predicted after `predicted_ms`;
    /// `None` for one that goes last, whose time says nothing about others.
    pub fn record_sent(
        &mut self,
        service: &str,
        route: &str,
        predicted_ms: Option<DurationMs>,
        now: TimeMs,
    ) -> Option<AwaitedId> {
        let id = self.last_id + 1;
        let service = self.services.get_mut(&service.to_owned())?;
        match predicted_ms {
            Some(predicted_ms) => {
                let route = service.routes.get_mut(&route.to_owned())?;
                route.calibration.record_sent(id, predicted_ms, now);
            }
            None => service.last_in_line.push(id),
        }
        self.last_id = id;
        Some(AwaitedId(id))
    }

    /// Records that the first token of a request arrived, or that it ended without one.
    pub fn record_ended(
        &mut self,
        service: &str,
        route: &str,
        id: AwaitedId,
        has_token: bool,
        now: TimeMs,
    ) {
        let Some(service) = self.services.get_mut(&service.to_owned()) else {
            return;
        };
        service.last_in_line.retain(|last| *last != id.0);
        if let Some(route) = service.routes.get_mut(&route.to_owned()) {
            let target_ms = route.target_ms;
            route
                .calibration
                .record_ended(id.0, has_token, target_ms, now);
        }
    }

    /// The ratio of observed to predicted times of a route.
    #[must_use]
    pub fn ratio(&self, service: &str, route: &str, now: TimeMs) -> RatioPermille {
        let service = self.services.get(&service.to_owned());
        let route = service.and_then(|service| service.routes.get(&route.to_owned()));
        route.map_or_else(RatioPermille::default, |route| {
            route.calibration.ratio(route.target_ms, now)
        })
    }

    /// Whether the service entered or left overload since the last call.
    pub fn take_change(&mut self, service: &str, now: TimeMs) -> Option<OverloadChange> {
        let service = self.services.get_mut(&service.to_owned())?;
        let is_overloaded = service.is_overloaded(now);
        let was_overloaded = std::mem::replace(&mut service.is_overloaded, is_overloaded);
        match (was_overloaded, is_overloaded) {
            (false, true) => Some(OverloadChange::Entered),
            (true, false) => Some(OverloadChange::Left),
            _ => None,
        }
    }

    /// The overloaded services, with the time until room is expected for those who are refused now.
    pub fn overloaded(&self, now: TimeMs) -> impl Iterator<Item = (&str, DurationMs)> {
        let rows = self.services.iter();
        let overloaded = rows.filter(move |row| row.1.is_overloaded(now));
        overloaded.map(move |row| (row.0.as_str(), row.1.promised_until_ms.since(now)))
    }
}

impl ServiceLoad {
    fn is_overloaded(&self, now: TimeMs) -> bool {
        let late_at_ms = self.late_at_ms;
        late_at_ms.is_some_and(|at_ms| now.since(at_ms) < OVERLOAD_HOLD_MS)
    }

    fn record_asked(&mut self, applicant: &Applicant<'_>, outlook: &Outlook, now: TimeMs) {
        if now.since(self.cleaned_at_ms) > TIME_CONSTANT_MS {
            self.customers.remove_idle(now);
            self.cleaned_at_ms = now;
        }
        self.customers
            .record_asked(applicant.customer, applicant.work, now);
        let route = self
            .routes
            .get_or_insert_with(applicant.route.to_owned(), RouteLoad::default);
        route.record_asked(applicant, outlook, now);
    }

    fn decide(&mut self, applicant: &Applicant<'_>, outlook: &Outlook, now: TimeMs) -> Decision {
        let Some(route) = self.routes.get(&applicant.route.to_owned()) else {
            return Decision::Send;
        };
        if !outlook.has_backlog || applicant.takes_up_stream {
            return Decision::Send;
        }
        let target_ms = applicant.target_ms;
        let ratio = route.calibration.ratio(target_ms, now);
        let own_ms = outlook.first_token_ms.saturating_sub(outlook.queue_ms).0;
        // While others are refused, size doesn't count: small requests would take all the room.
        let mean_ms = route.mean_own_work_ms(now);
        let judged_own_ms = if self.is_overloaded(now) {
            mean_ms.min(target_ms.0 / YIELD_DIVISOR)
        } else {
            own_ms.min(mean_ms)
        };
        let judged_ms = outlook.queue_ms + DurationMs(judged_own_ms);
        let predicted_ms = ratio.correct(judged_ms, target_ms);
        let used_ms = route.used_ms(applicant);
        let first_due_ms = target_ms.saturating_sub(applicant.waited_ms);
        let percent = if self.is_overloaded(now) {
            IN_TIME_PERCENT
        } else {
            100
        };
        if predicted_ms.0 > first_due_ms.0 * percent / 100 {
            self.late_at_ms = Some(now);
        }
        // Without overload, a request that has missed its target already delays nobody much.
        let due_ms = if self.is_overloaded(now) {
            first_due_ms.saturating_sub(used_ms)
        } else {
            first_due_ms
        };
        let is_return = used_ms > DurationMs(0);
        let allowance = self.allowance(applicant, due_ms, is_return, now);
        if predicted_ms <= allowance.limit_ms {
            return Decision::Send;
        }
        let last_ms = ratio
            .max(RatioPermille::default())
            .correct(outlook.first_token_ms, target_ms);
        let may_go_last = is_return
            && applicant.has_priorities
            && allowance.reason != RefusalReason::LessUrgent
            && (self.last_in_line.len() as u64) < self.recent_tokens(now).max(1);
        if may_go_last && last_ms.0 <= applicant.remaining_ms.0 / LAST_DIVISOR {
            return Decision::SendLast;
        }
        let excess_ms = predicted_ms.saturating_sub(allowance.limit_ms);
        Decision::Refuse {
            reason: if last_ms > applicant.remaining_ms {
                RefusalReason::BeyondDeadline
            } else {
                allowance.reason
            },
            wait_ms: self.promise_room(excess_ms, applicant, now),
        }
    }

    /// Up to which predicted time a request is sent, and why not beyond it.
    fn allowance(
        &self,
        applicant: &Applicant<'_>,
        due_ms: DurationMs,
        is_return: bool,
        now: TimeMs,
    ) -> Allowance {
        let percent = if is_return || !self.is_overloaded(now) {
            100
        } else {
            IN_TIME_PERCENT
        };
        let in_time = Allowance {
            limit_ms: DurationMs(due_ms.0 * percent / 100),
            reason: RefusalReason::BeyondTarget,
        };
        let Some(route) = self.routes.get(&applicant.route.to_owned()) else {
            return in_time;
        };
        if !self.is_overloaded(now) {
            return in_time;
        }
        let total = |amount: fn(&AskedAndSent, TimeMs) -> u64| -> u64 {
            let routes = self.routes.iter();
            routes.map(|row| amount(&row.1.requests, now)).sum()
        };
        let all_permille =
            total(AskedAndSent::sent) * ONE_MILLI / total(AskedAndSent::asked).max(1);
        let own_permille = route.requests.sent_permille(now);
        if route.is_compared(now) && own_permille < all_permille / FLOOR_DIVISOR {
            return Allowance {
                limit_ms: due_ms.max(DurationMs(applicant.remaining_ms.0 / LAST_DIVISOR)),
                ..in_time
            };
        }
        let behind = self.routes.iter().filter(|row| {
            let other = row.1;
            other.priority <= applicant.priority
                && other.is_compared(now)
                && other.requests.sent_permille(now) + LEAD_PERMILLE < own_permille
        });
        if let Some(shortest_ms) = behind.map(|row| row.1.target_ms).min() {
            return Allowance {
                limit_ms: DurationMs(due_ms.min(shortest_ms).0 / YIELD_DIVISOR),
                reason: RefusalReason::LessUrgent,
            };
        }
        let steps = self.customers.yield_steps(applicant.customer, now);
        if steps > 0 {
            let compared = self.routes.iter().filter(|row| row.1.is_compared(now));
            let shortest_ms = compared.map(|row| row.1.target_ms).min();
            let limit_ms = due_ms.min(shortest_ms.unwrap_or(due_ms));
            return Allowance {
                limit_ms: DurationMs(limit_ms.0 / YIELD_DIVISOR.pow(steps)),
                reason: RefusalReason::OverShare,
            };
        }
        in_time
    }

    /// The first tokens that came within the window of observations.
    fn recent_tokens(&self, now: TimeMs) -> u64 {
        let routes = self.routes.iter();
        let tokens = routes.map(|row| row.1.calibration.recent_tokens(now));
        tokens.sum()
    }

    /// Promises room to a caller that is refused: after the excess has drained, and after those who were
    /// refused before it. Returns the time until then.
    fn promise_room(
        &mut self,
        excess_ms: DurationMs,
        applicant: &Applicant<'_>,
        now: TimeMs,
    ) -> DurationMs {
        let interval_ms = calibration::WINDOW_MS.0 / self.recent_tokens(now).max(1);
        let earliest_ms = now.after(excess_ms);
        // Nobody is asked to wait longer than its time lasts.
        let latest_ms = now.after(applicant.remaining_ms);
        self.promised_until_ms = self
            .promised_until_ms
            .max(earliest_ms)
            .after(DurationMs(interval_ms))
            .min(latest_ms.max(self.promised_until_ms));
        self.promised_until_ms.since(now)
    }
}

/// Up to which predicted time a request is sent, and why not beyond it.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    limit_ms: DurationMs,
    reason: RefusalReason,
}
