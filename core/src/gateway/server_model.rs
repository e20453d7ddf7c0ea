//! Learns how fast a backend server is, from its answers and from what it reports.

use {
    crate::unit::{DurationMs, TimeMs, Tokens},
    serde::{Deserialize, Serialize},
    std::ops::RangeInclusive,
};

/// Prompt tokens that the nominal engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 42;
/// Tokens of one chunk of a prompt, which is prefilled in one step.
pub(super) const CHUNK_TOKENS: u64 = 2_048;
/// Fixed overhead of a prefill step.
const STEP_OVERHEAD_MS: u64 = 6;
/// Pairs of a new token and an earlier one for which attention is computed in a millisecond.
/// Prefill slows down as a prompt grows.
const ATTENTION_PAIRS_PER_MS: u64 = 1_000_000;
/// The pace of the nominal engine, and of a plain service that works for [`NOMINAL_WORK_MS`].
const NOMINAL_PERCENT: u64 = 100;
/// Nominal work time of a request to a plain service, of which a pace is a percentage.
const NOMINAL_WORK_MS: DurationMs = DurationMs(10);
/// How far a sample moves the estimate, in percent of it. All samples near it count alike, so that the estimate follows the median: some samples are too long, since another entry VM sent a
/// prompt at the same moment, and some too short, since parts were cached unnoticed.
const SAMPLE_STEP_PERCENT: u64 = 4;
/// How far the first sample of a server moves the estimate. The second moves it half as far, and so on.
const FIRST_STEP_PERCENT: u64 = 24;
/// The samples near an estimate, in percent of it. Others are mostly misleading: the prompt was cached,
/// or other requests were ahead.
const NEAR_PERCENT: RangeInclusive<u64> = 40..=140;
/// How far a sample moves an estimate that isn't near it, if the one before was alike.
const FAR_STEP_PERCENT: u64 = 2;
/// Samples that differ by at most this much are alike. Misleading ones are scattered.
const ALIKE_PERCENT: u64 = 15;
/// Shortest nominal prefill time of a sample. The clock's resolution and the round trip are a small
/// part of it.
const MIN_SAMPLE_MS: DurationMs = DurationMs(40);
/// Samples outside this range don't measure any engine's speed.
const PLAUSIBLE_PERCENT: RangeInclusive<u64> = 25..=500;
/// A server is slow for a moment if two samples in a row exceed its pace by this ratio.
const SLOW_PERCENT: u64 = 150;
/// Range of the factors that are learnt beside the pace.
const FACTOR_PERCENT: RangeInclusive<u64> = 10..=1_000;
/// How long a report of the server's speed counts in full.
const FRESH_MS: DurationMs = DurationMs(100);
/// The age at which a report or a slow sample no longer counts.
const STALE_MS: DurationMs = DurationMs(1_000);
/// Parts into which the utilisation of a plain service's server is divided.
const QUARTERS: u64 = 4;
/// How far a sample moves the estimate of a server's slowdown under load, in percent of it.
const SLOWDOWN_STEP_PERCENT: u64 = 2;
/// How far a request may exceed its prediction, in percent of it, before it is overdue.
const OVERDUE_PERCENT: u64 = 150;
/// The time by which a request may exceed any prediction before it is overdue.
const OVERDUE_MARGIN_MS: DurationMs = DurationMs(20);

/// The time that the nominal engine takes to prefill `new` tokens after `cached` ones.
#[must_use]
pub fn nominal_prefill_ms(new: Tokens, cached: Tokens) -> DurationMs {
    if new.0 == 0 {
        return DurationMs(0);
    }
    let steps = new.0.div_ceil(CHUNK_TOKENS);
    let pairs = new.0 * (cached.0 + new.0 / 2);
    DurationMs(
        new.0 / PREFILL_TOKENS_PER_MS + steps * STEP_OVERHEAD_MS + pairs / ATTENTION_PAIRS_PER_MS,
    )
}

/// The time that a server takes in percent of the nominal one's. Above 100 is slower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pace {
    percent: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            percent: NOMINAL_PERCENT,
        }
    }
}

impl Pace {
    /// Computes the pace from the time to a first token. `nominal_prefill_ms` is the prediction for
    /// the nominal engine without a queue. `None` if the sample is too short or implausible.
    #[must_use]
    pub fn sample(nominal_prefill_ms: DurationMs, actual_ms: DurationMs) -> Option<Self> {
        if nominal_prefill_ms < MIN_SAMPLE_MS {
            return None;
        }
        let percent = actual_ms.0 * NOMINAL_PERCENT / nominal_prefill_ms.0;
        PLAUSIBLE_PERCENT
            .contains(&percent)
            .then_some(Self { percent })
    }

    /// Computes the pace from the time to the answer of a plain service without a queue.
    #[must_use]
    pub fn work_sample(actual_ms: DurationMs) -> Self {
        Self {
            percent: (actual_ms.0 * NOMINAL_PERCENT / NOMINAL_WORK_MS.0).max(1),
        }
    }

    /// Moves the estimate towards a sample by at most a percentage of the estimate.
    fn step_towards(&mut self, sample: Self, step_percent: u64) {
        self.percent = step(self.percent, sample.percent, step_percent);
    }

    /// Converts a prefill time of the nominal engine into one of this engine.
    #[must_use]
    pub fn scale(&self, nominal_prefill_ms: DurationMs) -> DurationMs {
        DurationMs(nominal_prefill_ms.0 * self.percent / NOMINAL_PERCENT)
    }

    /// The work time of a request to a plain service.
    #[must_use]
    pub fn work_ms(&self) -> DurationMs {
        self.scale(NOMINAL_WORK_MS)
    }

    /// This pace in percent of another one.
    #[must_use]
    pub fn relative_to(&self, other: Self) -> u64 {
        self.percent * 100 / other.percent.max(1)
    }

    pub(super) fn times(self, percent: u64) -> Self {
        Self {
            percent: (self.percent * percent / 100).max(1),
        }
    }

    fn without(self, percent: u64) -> Self {
        Self {
            percent: (self.percent * 100 / percent.max(1)).max(1),
        }
    }
}

/// Moves an estimate towards a sample by at most `step_percent` of the estimate.
fn step(estimate: u64, sample: u64, step_percent: u64) -> u64 {
    let step = (estimate * step_percent / 100).max(1);
    if sample > estimate {
        sample.min(estimate + step)
    } else {
        sample.max(estimate.saturating_sub(step))
    }
}

/// A figure in percent, and when it was known.
#[derive(Clone, Copy, Debug)]
struct Observed {
    percent: u64,
    at_ms: TimeMs,
}

impl Observed {
    /// The figure, which fades to `usual_percent` with its age.
    fn faded(&self, usual_percent: u64, now: TimeMs) -> u64 {
        let left_ms = STALE_MS
            .saturating_sub(now.since(self.at_ms))
            .0
            .min(STALE_MS.0 - FRESH_MS.0);
        let range_ms = STALE_MS.0 - FRESH_MS.0;
        (self.percent * left_ms + usual_percent * (range_ms - left_ms)) / range_ms
    }

    fn is_stale(&self, now: TimeMs) -> bool {
        now.since(self.at_ms) >= STALE_MS
    }
}

/// A request that has had no first token or answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Awaited {
    sent_at_ms: TimeMs,
    expected_ms: DurationMs,
}

impl Awaited {
    fn due_at_ms(&self) -> TimeMs {
        let limit_ms = self.expected_ms.0 * OVERDUE_PERCENT / 100 + OVERDUE_MARGIN_MS.0;
        self.sent_at_ms.after(DurationMs(limit_ms))
    }
}

/// How long work takes at one server.
#[derive(Clone, Debug)]
pub struct ServerSpeed {
    /// What neither the report nor the utilisation explains.
    pace: Pace,
    sample_count: u64,
    /// The latest sample, if it wasn't near the pace.
    far_sample: Option<Pace>,
    report: Option<Observed>,
    usual_report_percent: u64,
    /// The latest sample, if it was slow.
    slow_sample: Option<Observed>,
    /// How slow the server is at the moment, if it reports nothing.
    slow_moment: Option<Observed>,
    /// Work time from half and from three quarters of the slots on, in percent of that below.
    slowdown_percent: [u64; 2],
    awaited: Vec<Awaited>,
    heard_at_ms: TimeMs,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        Self {
            pace: Pace::default(),
            sample_count: 0,
            far_sample: None,
            report: None,
            usual_report_percent: NOMINAL_PERCENT,
            slow_sample: None,
            slow_moment: None,
            slowdown_percent: [100; 2],
            awaited: Vec::new(),
            heard_at_ms: TimeMs(0),
        }
    }
}

impl ServerSpeed {
    /// The learnt pace; `None` without samples.
    #[must_use]
    pub fn pace(&self) -> Option<Pace> {
        (self.sample_count > 0).then_some(self.pace)
    }

    /// The pace at this moment, without a slowdown under load. `median` is that of the service.
    #[must_use]
    pub fn pace_now(&self, median: Option<Pace>, now: TimeMs) -> Pace {
        let pace = self.pace().or(median).unwrap_or_default();
        pace.times(self.moment_percent(now))
    }

    /// How long work takes with a number of requests in progress, in percent of that at a few.
    #[must_use]
    pub fn slowdown_percent(&self, in_progress: u64, slots: u64) -> u64 {
        slowdown_index(in_progress, slots).map_or(100, |index| self.slowdown_percent[index])
    }

    /// How long work takes at this moment, in percent of the usual time at this server.
    fn moment_percent(&self, now: TimeMs) -> u64 {
        match (self.report, self.slow_moment) {
            (Some(report), _) => report.faded(self.usual_report_percent, now).max(1),
            (None, Some(slow)) => slow.faded(100, now),
            (None, None) => 100,
        }
    }

    /// Whether the server is much slower at this moment than it usually is.
    #[must_use]
    pub fn is_slow(&self, now: TimeMs) -> bool {
        let usual_percent = self.report.map_or(100, |_| self.usual_report_percent);
        self.moment_percent(now) * 100 >= usual_percent * SLOW_PERCENT
    }

    /// Whether the server reports how long work takes.
    #[must_use]
    pub const fn has_report(&self) -> bool {
        self.report.is_some()
    }

    /// Records how long work takes by the server's own report; `None` if it reports nothing.
    pub fn record_report(&mut self, work_percent: Option<u64>, now: TimeMs) {
        self.heard_at_ms = now;
        let Some(percent) = work_percent else {
            return;
        };
        let percent = percent.clamp(*FACTOR_PERCENT.start(), *FACTOR_PERCENT.end());
        self.report = Some(Observed {
            percent,
            at_ms: now,
        });
        self.usual_report_percent = step(self.usual_report_percent, percent, SLOWDOWN_STEP_PERCENT);
    }

    /// The pace that a measurement stands for at a usual moment.
    #[must_use]
    pub fn without_moment(&self, measured: Pace, now: TimeMs) -> Pace {
        match self.report {
            Some(report) => measured.without(report.faded(self.usual_report_percent, now)),
            None => measured,
        }
    }

    /// Learns from a sample of this or another entry VM at a usual moment, taken with a number of
    /// requests in progress. `median` is the pace of the service.
    pub fn learn(&mut self, sample: Pace, load: Utilization, median: Option<Pace>, now: TimeMs) {
        self.heard_at_ms = now;
        if self.sample_count == 0 {
            self.pace = median.unwrap_or(load.first_pace(sample));
        }
        let slowdown = slowdown_index(load.in_progress, load.slots).filter(|_| load.is_plain);
        if let Some(index) = slowdown {
            let ratio = sample.relative_to(self.pace);
            let learnt = step(self.slowdown_percent[index], ratio, SLOWDOWN_STEP_PERCENT);
            self.slowdown_percent[index] = learnt.clamp(100, *FACTOR_PERCENT.end());
        }
        let percent = slowdown.map_or(100, |index| self.slowdown_percent[index]);
        let sample = sample.without(percent);
        self.record_slow(sample, now);
        self.learn_pace(sample);
    }

    fn learn_pace(&mut self, sample: Pace) {
        let is_near = NEAR_PERCENT.contains(&sample.relative_to(self.pace));
        let earlier = std::mem::replace(&mut self.far_sample, (!is_near).then_some(sample));
        let is_alike = earlier
            .is_some_and(|earlier| sample.relative_to(earlier).abs_diff(100) <= ALIKE_PERCENT);
        if !is_near && !is_alike {
            return;
        }
        self.sample_count += 1;
        let least_step = if is_near {
            SAMPLE_STEP_PERCENT
        } else {
            FAR_STEP_PERCENT
        };
        let first_step = FIRST_STEP_PERCENT / self.sample_count;
        self.pace.step_towards(sample, first_step.max(least_step));
    }

    /// Records whether a sample was slow. One slow sample may be of a request that waited for another.
    fn record_slow(&mut self, sample: Pace, now: TimeMs) {
        let percent = sample.relative_to(self.pace);
        if percent < SLOW_PERCENT {
            self.slow_sample = None;
            self.slow_moment = None;
            return;
        }
        let slow = Observed {
            percent: percent.min(*FACTOR_PERCENT.end()),
            at_ms: now,
        };
        let earlier = self.slow_sample.replace(slow);
        if let Some(earlier) = earlier.filter(|earlier| !earlier.is_stale(now)) {
            self.slow_moment = Some(Observed {
                percent: earlier.percent.min(slow.percent),
                at_ms: now,
            });
        }
    }

    /// Records a request of this entry VM whose first token, or answer, is expected after a time.
    pub fn record_sent(&mut self, expected_ms: DurationMs, now: TimeMs) {
        self.awaited.push(Awaited {
            sent_at_ms: now,
            expected_ms,
        });
    }

    /// Records that such a request is no longer awaited.
    pub fn record_ended(&mut self, expected_ms: DurationMs, sent_at_ms: TimeMs) {
        let ended = Awaited {
            sent_at_ms,
            expected_ms,
        };
        if let Some(index) = self.awaited.iter().position(|awaited| *awaited == ended) {
            self.awaited.swap_remove(index);
        }
    }

    /// For how long a request has been overdue while the server was silent.
    #[must_use]
    pub fn overdue_ms(&self, now: TimeMs) -> DurationMs {
        let since_ms = self.awaited.iter().map(Awaited::due_at_ms).min();
        since_ms.map_or(DurationMs(0), |due_at_ms| {
            now.since(due_at_ms.max(self.heard_at_ms))
        })
    }
}

/// What ran at a server when a sample was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Utilization {
    /// The requests in progress.
    pub in_progress: u64,
    /// The slots of the server.
    pub slots: u64,
    /// Whether the server belongs to a plain service.
    pub is_plain: bool,
}

impl Utilization {
    /// The pace before the first sample of a service.
    fn first_pace(&self, sample: Pace) -> Pace {
        if self.is_plain {
            sample
        } else {
            Pace::default()
        }
    }
}

/// The index of the slowdown that is learnt for a number of requests in progress; `None` below half of
/// the slots.
fn slowdown_index(in_progress: u64, slots: u64) -> Option<usize> {
    let quarter = (in_progress * QUARTERS / slots.max(1)).min(QUARTERS - 1);
    match quarter {
        0 | 1 => None,
        2 => Some(0),
        _ => Some(1),
    }
}
