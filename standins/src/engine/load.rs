//! Load reports, optionally delayed.

use {
    super::{Shared, batch::Batch, wire::LoadBody},
    crate::server::now_ms,
    ntex::web::{HttpRequest, HttpResponse},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Minimum time between two samples; changes in between update the last sample.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Number of samples retained.
const MAX_SAMPLES: usize = 4_096;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LoadSample {
    queued_tokens: u64,
    running: usize,
}

impl LoadSample {
    fn from_batch(batch: &Batch) -> Self {
        Self {
            queued_tokens: batch.queued_tokens(),
            running: batch.attempt_count(),
        }
    }
}

/// Samples of an engine's load over time, oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Instant, LoadSample)>,
}

impl LoadHistory {
    /// Records the current load.
    pub(super) fn record(&mut self, batch: &Batch) {
        let now = Instant::now();
        let sample = LoadSample::from_batch(batch);
        if let Some((recorded_at, last)) = self.samples.back_mut() {
            if *last == sample {
                return;
            }
            if now.duration_since(*recorded_at) < MIN_SAMPLE_INTERVAL {
                *last = sample;
                return;
            }
        }
        self.samples.push_back((now, sample));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the load as it was `lag` ago.
    fn sample_before(&self, lag: Duration) -> LoadSample {
        let now = Instant::now();
        let count = self
            .samples
            .partition_point(|(recorded_at, _)| now.duration_since(*recorded_at) >= lag);
        count
            .checked_sub(1)
            .map(|index| self.samples[index].1)
            .unwrap_or_default()
    }
}

pub(super) async fn load(request: HttpRequest, engine: Shared) -> HttpResponse {
    let handler = async {
        let batch = engine.batch.borrow();
        let lag_ms = batch.faults.load_lag_ms;
        let sample = if lag_ms == 0 {
            LoadSample::from_batch(&batch)
        } else {
            engine
                .history
                .borrow()
                .sample_before(Duration::from_millis(lag_ms))
        };
        HttpResponse::Ok().json(&LoadBody {
            incarnation: batch.incarnation,
            observed_at_ms: now_ms().saturating_sub(lag_ms),
            queued_tokens: sample.queued_tokens,
            running: sample.running,
            slots: engine.settings.slots,
            prefill_rate: engine.settings.prefill_rate,
            import_rate: engine.settings.import_rate,
            price_microcredits: engine.settings.price_microcredits,
            models: engine.models.borrow().clone(),
            cache_pieces: engine.settings.cache_pieces,
            leaving: batch.faults.leaving,
        })
    };
    engine.connections.respond(&request, handler).await
}
