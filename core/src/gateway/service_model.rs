//! What is learnt of a service from all its servers, and what follows for each of them: how long a
//! request takes there, and how many the server takes well.

use {
    super::{
        backend::Backend,
        server_model::{CHUNK_TOKENS, Pace, nominal_prefill_ms},
    },
    crate::unit::{DurationMs, TimeMs, Tokens},
};

/// How often the median pace of a service's servers is computed.
const MEDIAN_INTERVAL_MS: DurationMs = DurationMs(200);
/// How far the speeds of servers that count as equally fast may differ, in percent of the median. The
/// learnt paces have an error of about that.
const EQUAL_PERCENT: u64 = 15;
/// Classes of the number of running requests: 1, 2 to 3, 4 to 7 and so on.
const RUNNING_CLASSES: usize = 9;
/// Streams of a class after which its time between events is a measure for single servers.
const MIN_GAP_SAMPLES: u64 = 16;
/// Events of a stream from which on it is one.
const MIN_EVENTS: u64 = 8;
/// How far a sample moves the estimate of a time that all servers share, in percent of it.
const SHARED_STEP_PERCENT: u64 = 5;

/// A stream that ended, as a sample of how fast its engine decodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamSample {
    /// The time from the first event to the last one.
    pub events_ms: DurationMs,
    /// The number of events.
    pub event_count: u64,
    /// The time from the moment at which the request was sent to the last event.
    pub total_ms: DurationMs,
}

/// The times within which an answer is on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTargets {
    /// The time to the first token.
    pub first_token_ms: DurationMs,
    /// The longest pause between two events.
    pub event_gap_ms: DurationMs,
}

/// The model of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceModel {
    median: Option<Pace>,
    median_at_ms: TimeMs,
    /// The time between two events at the median engine by class of running requests, in microseconds;
    /// 0 if unknown.
    gap_us: [u64; RUNNING_CLASSES],
    gap_samples: [u64; RUNNING_CLASSES],
    /// The time that a stream takes from the moment at which it is sent; `None` if unknown.
    stream_ms: Option<DurationMs>,
}

/// What is predicted of a request to a plain service at one of its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlainForecast {
    /// The wait for a slot.
    pub wait_ms: DurationMs,
    /// The time to the answer, including the wait.
    pub answer_ms: DurationMs,
    /// The requests that the server takes well.
    pub comfortable: u64,
}

impl ServiceModel {
    /// The median pace of the service's servers; `None` without samples.
    #[must_use]
    pub const fn median(&self) -> Option<Pace> {
        self.median
    }

    /// Whether the median should be computed again.
    #[must_use]
    pub fn is_median_due(&self, now: TimeMs) -> bool {
        self.median.is_none() || now.since(self.median_at_ms) >= MEDIAN_INTERVAL_MS
    }

    /// Sets the median to that of the paces of all servers that have one.
    pub fn set_median(&mut self, mut paces: Vec<Pace>, now: TimeMs) {
        paces.sort_unstable();
        self.median = paces.get(paces.len() / 2).copied();
        self.median_at_ms = now;
    }

    /// The speed of a server at this moment, without slowdown under load: the time that it takes in
    /// percent of the service's median server. Servers that are about as fast have 100.
    #[must_use]
    pub fn relative_percent(&self, backend: &Backend, now: TimeMs) -> u64 {
        let pace = backend.speed.pace_now(self.median, now);
        let percent = pace.relative_to(self.median.unwrap_or_default());
        if percent.abs_diff(100) <= EQUAL_PERCENT {
            100
        } else {
            percent.max(1)
        }
    }

    /// Learns from a stream of this entry VM that ran at a server with others. Returns a sample of the
    /// server's pace if the server reports how long work takes: without the report, it couldn't be told
    /// from other work on the same machine.
    pub fn learn_stream(
        &mut self,
        backend: &Backend,
        sample: StreamSample,
        now: TimeMs,
    ) -> Option<Pace> {
        let percent = self.relative_percent(backend, now);
        let total_ms = DurationMs(sample.total_ms.0 * 100 / percent);
        self.stream_ms = Some(self.stream_ms.map_or(total_ms, |known_ms| {
            DurationMs(step(known_ms.0, total_ms.0))
        }));
        let gaps = sample.event_count.checked_sub(1).filter(|gaps| *gaps > 0)?;
        let measured_us = sample.events_ms.0 * 1_000 / gaps;
        let gap_us = (measured_us * 100 / percent).max(1);
        let class = running_class(backend.occupancy(now));
        let known_us = &mut self.gap_us[class];
        *known_us = if *known_us == 0 {
            gap_us
        } else {
            step(*known_us, gap_us)
        };
        self.gap_samples[class] += 1;
        let is_measure = backend.speed.has_report()
            && sample.event_count >= MIN_EVENTS
            && self.gap_samples[class] >= MIN_GAP_SAMPLES;
        is_measure.then(|| {
            let median = self.median.unwrap_or_default();
            let measured = median.times(measured_us * 100 / *known_us);
            backend.speed.without_moment(measured, now)
        })
    }

    /// The time between two events at the median engine with a number of running requests, in
    /// microseconds: that of the nearest class with fewer that is known, and no less than with fewer.
    /// `None` if nothing is known.
    fn gap_us(&self, running: u64) -> Option<u64> {
        let class = running_class(running);
        let known = |gap_us: &&u64| **gap_us > 0;
        let fewer = self.gap_us[..=class].iter().filter(known).max();
        fewer.or(self.gap_us.iter().find(known)).copied()
    }

    /// The wait for a slot of an engine, until as many streams have ended as would be ahead.
    #[must_use]
    pub fn slot_wait_ms(&self, backend: &Backend, now: TimeMs) -> DurationMs {
        let slots = backend.spec.slots.max(1);
        let ahead = (backend.occupancy(now) + 1).saturating_sub(slots);
        let stream_ms = self.stream_ms.unwrap_or_default().0;
        DurationMs(ahead * stream_ms * self.relative_percent(backend, now) / 100 / slots)
    }

    /// The streams that an engine takes well: the most, up to its slots, beside which a prompt that takes
    /// `prefill_ms` alone still has its first token in time, if it has it alone, and a chunk of a prompt
    /// between two events delays no stream beyond its target. At least 1.
    #[must_use]
    pub fn comfortable_streams(
        &self,
        backend: &Backend,
        prefill_ms: DurationMs,
        targets: StreamTargets,
        now: TimeMs,
    ) -> u64 {
        let pace = backend.speed.pace_now(self.median, now);
        let percent = self.relative_percent(backend, now);
        let chunk_ms = pace
            .scale(nominal_prefill_ms(Tokens(CHUNK_TOKENS), Tokens(0)))
            .0
            .max(1);
        let chunks = prefill_ms.0.div_ceil(chunk_ms);
        let is_well = |running: u64| {
            let gap_us = self.gap_us(running).unwrap_or_default() * percent / 100;
            let is_steady = gap_us / 1_000 + chunk_ms <= targets.event_gap_ms.0;
            let first_token_ms = prefill_ms.0 + gap_us * chunks / 1_000;
            let is_early =
                prefill_ms > targets.first_token_ms || first_token_ms <= targets.first_token_ms.0;
            is_steady && is_early
        };
        let slots = backend.spec.slots.max(1);
        if self.gap_us(1).is_none() {
            return slots;
        }
        largest(slots, is_well)
    }

    /// What is predicted of one more request at a server of a plain service.
    #[must_use]
    pub fn plain_forecast(
        &self,
        backend: &Backend,
        target_ms: DurationMs,
        now: TimeMs,
    ) -> PlainForecast {
        let slots = backend.spec.slots.max(1);
        let work_ms = backend.speed.pace_now(self.median, now).work_ms().0;
        let work_beside_ms = |in_progress: u64| {
            let slowdown = backend.speed.slowdown_percent(in_progress, slots);
            work_ms * slowdown / 100
        };
        let in_progress = backend.occupancy(now) + 1;
        let own_ms = work_beside_ms(in_progress);
        let ahead = in_progress.saturating_sub(slots);
        let wait_ms = (ahead * own_ms).div_ceil(slots) + backend.speed.overdue_ms(now).0;
        PlainForecast {
            wait_ms: DurationMs(wait_ms),
            answer_ms: DurationMs(wait_ms + own_ms),
            comfortable: largest(slots, |count| work_beside_ms(count) <= target_ms.0),
        }
    }
}

/// The requests that a server takes well by the targets of the routes that it serves.
#[must_use]
pub fn comfortable(
    model: &ServiceModel,
    backend: &Backend,
    targets: Option<StreamTargets>,
    now: TimeMs,
) -> u64 {
    match targets {
        Some(targets) if backend.spec.weights.is_empty() && model.median.is_some() => {
            let forecast = model.plain_forecast(backend, targets.first_token_ms, now);
            forecast.comfortable
        }
        Some(targets) => model.comfortable_streams(backend, DurationMs(0), targets, now),
        None => backend.spec.slots,
    }
}

/// The largest number from 1 to `limit` that fits, where all smaller ones fit too; 1 if none does.
fn largest<F>(limit: u64, fits: F) -> u64
where
    F: Fn(u64) -> bool,
{
    if fits(limit) {
        return limit;
    }
    let (mut fitting, mut unfit) = (1, limit);
    while unfit - fitting > 1 {
        let middle = fitting.midpoint(unfit);
        if fits(middle) {
            fitting = middle;
        } else {
            unfit = middle;
        }
    }
    fitting
}

fn running_class(running: u64) -> usize {
    (running.max(1).ilog2() as usize).min(RUNNING_CLASSES - 1)
}

/// Moves an estimate towards a sample. All samples count alike, so that it follows their median.
fn step(estimate: u64, sample: u64) -> u64 {
    let step = (estimate * SHARED_STEP_PERCENT / 100).max(1);
    sample.clamp(estimate.saturating_sub(step), estimate + step)
}
