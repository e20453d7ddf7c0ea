//! Corrects predicted times by those that were observed.

use {
    crate::unit::{DurationMs, TimeMs},
    derive_more::Display,
    std::collections::VecDeque,
};

/// How long an observation counts.
pub(super) const WINDOW_MS: DurationMs = DurationMs(1_000);
/// The most observations that count.
const MAX_SAMPLES: usize = 15;
/// The range of the ratio, in thousandths.
const RATIO_RANGE_PERMILLE: (u64, u64) = (250, 16_000);
const ONE_PERMILLE: u64 = 1_000;
/// The part of the target that is added to both sides of a ratio, so that short predictions don't
/// dominate.
const OFFSET_DIVISOR: u64 = 8;

/// The ratio of observed to predicted times, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{_0} permille")]
pub struct RatioPermille(pub u64);

impl Default for RatioPermille {
    fn default() -> Self {
        Self(ONE_PERMILLE)
    }
}

/// A request whose first token has not arrived yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    id: u64,
    sent_at_ms: TimeMs,
    predicted_ms: DurationMs,
}

/// Predictions and observations of one route's requests.
#[derive(Debug, Default)]
pub(super) struct Calibration {
    samples: VecDeque<(TimeMs, RatioPermille)>,
    pending: Vec<Pending>,
}

impl Calibration {
    /// Records a request that is sent now.
    pub(super) fn record_sent(&mut self, id: u64, predicted_ms: DurationMs, now: TimeMs) {
        self.pending.push(Pending {
            id,
            sent_at_ms: now,
            predicted_ms,
        });
    }

    /// Records the end of the wait for a first token. A request that ended without one says only that
    /// it would have taken at least as long. Returns whether the request was known.
    pub(super) fn record_ended(
        &mut self,
        id: u64,
        has_token: bool,
        target_ms: DurationMs,
        now: TimeMs,
    ) -> bool {
        let Some(index) = self.pending.iter().position(|request| request.id == id) else {
            return false;
        };
        let request = self.pending.swap_remove(index);
        let took_ms = now.since(request.sent_at_ms);
        if has_token || took_ms > request.predicted_ms {
            let ratio = ratio_of(took_ms, request.predicted_ms, target_ms);
            self.samples.push_back((now, ratio));
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        true
    }

    /// The first tokens that came within the window.
    pub(super) fn recent_tokens(&self, now: TimeMs) -> u64 {
        self.recent(now).count() as u64
    }

    fn recent(&self, now: TimeMs) -> impl Iterator<Item = RatioPermille> {
        let samples = self.samples.iter();
        let recent = samples.filter(move |sample| now.since(sample.0) < WINDOW_MS);
        recent.map(|sample| sample.1)
    }

    /// The median ratio of the recent observations, of the requests that already wait longer than
    /// predicted, and of one request that was predicted exactly.
    pub(super) fn ratio(&self, target_ms: DurationMs, now: TimeMs) -> RatioPermille {
        let overdue = self.pending.iter().filter_map(|request| {
            let waits_ms = now.since(request.sent_at_ms);
            (waits_ms > request.predicted_ms)
                .then(|| ratio_of(waits_ms, request.predicted_ms, target_ms))
        });
        let mut ratios: Vec<RatioPermille> = self
            .recent(now)
            .chain(overdue)
            .chain([RatioPermille::default()])
            .collect();
        ratios.sort_unstable();
        ratios[(ratios.len() - 1) / 2]
    }
}

/// The ratio of an observed to a predicted time.
fn ratio_of(took_ms: DurationMs, predicted_ms: DurationMs, target_ms: DurationMs) -> RatioPermille {
    let offset_ms = (target_ms.0 / OFFSET_DIVISOR).max(1);
    let ratio = (took_ms.0 + offset_ms) * ONE_PERMILLE / (predicted_ms.0 + offset_ms);
    let (least, most) = RATIO_RANGE_PERMILLE;
    RatioPermille(ratio.clamp(least, most))
}

impl RatioPermille {
    /// A predicted time, corrected by the ratio.
    #[must_use]
    pub fn correct(self, predicted_ms: DurationMs, target_ms: DurationMs) -> DurationMs {
        let offset_ms = (target_ms.0 / OFFSET_DIVISOR).max(1);
        let corrected = (predicted_ms.0 + offset_ms) * self.0 / ONE_PERMILLE;
        DurationMs(corrected.saturating_sub(offset_ms))
    }
}
