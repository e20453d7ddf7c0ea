//! Load reports, which are late by a lag.

use {
    super::{Shared, batch::Batch, wire::LoadBody},
    crate::server::now_ms,
    ntex::web::{HttpRequest, HttpResponse},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// The time between two figures that are kept.
const INTERVAL: Duration = Duration::from_millis(5);
/// The figures that are kept.
const MAX_FIGURES: usize = 4_096;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LoadFigures {
    queued_tokens: u64,
    running: usize,
}

impl LoadFigures {
    fn of(batch: &Batch) -> Self {
        Self {
            queued_tokens: batch.queued_tokens(),
            running: batch.running(),
        }
    }
}

/// An engine's load over time, oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    figures: VecDeque<(Instant, LoadFigures)>,
}

impl LoadHistory {
    /// Notes the load as it is now.
    pub(super) fn note(&mut self, batch: &Batch) {
        let now = Instant::now();
        let figures = LoadFigures::of(batch);
        if let Some((noted, last)) = self.figures.back_mut() {
            if *last == figures {
                return;
            }
            if now.duration_since(*noted) < INTERVAL {
                *last = figures;
                return;
            }
        }
        self.figures.push_back((now, figures));
        if self.figures.len() > MAX_FIGURES {
            self.figures.pop_front();
        }
    }

    /// The load as it was `lag` ago.
    fn seen(&self, lag: Duration) -> LoadFigures {
        let now = Instant::now();
        let seen = self
            .figures
            .partition_point(|(noted, _)| now.duration_since(*noted) >= lag);
        seen.checked_sub(1)
            .map(|at| self.figures[at].1)
            .unwrap_or_default()
    }
}

pub(super) async fn load(request: HttpRequest, engine: Shared) -> HttpResponse {
    let answer = async {
        let batch = engine.batch.borrow();
        let lag_ms = batch.faults.load_lag_ms;
        let figures = if lag_ms == 0 {
            LoadFigures::of(&batch)
        } else {
            engine.history.borrow().seen(Duration::from_millis(lag_ms))
        };
        HttpResponse::Ok().json(&LoadBody {
            incarnation: batch.incarnation,
            observed_at_ms: now_ms().saturating_sub(lag_ms),
            queued_tokens: figures.queued_tokens,
            running: figures.running,
            slots: engine.settings.slots,
            prefill_rate: engine.settings.prefill_rate,
            import_rate: engine.settings.import_rate,
            price_microcredits: engine.settings.price_microcredits,
            models: engine.models.borrow().clone(),
            cache_pieces: engine.settings.cache_pieces,
            leaving: batch.faults.leaving,
        })
    };
    engine.connections.answer(&request, answer).await
}
