//! State that this process holds about each backend server (engine or plain service).

use {
    crate::{
        event::{LoadReport, Vm},
        id::{DomainId, Incarnation, ModelId, ServiceId, WeightsVersion, WorkerId},
        ring::Offer,
        unit::{DurationMs, MicroCredits, TimeMs, Tokens, TokensPerSecond},
    },
    std::collections::VecDeque,
};

/// Prefill rate assumed until a worker reports one.
const DEFAULT_PREFILL_RATE: TokensPerSecond = TokensPerSecond(8_000);
/// Initial estimate of how long an answer occupies a slot.
const DEFAULT_ANSWER_MS: DurationMs = DurationMs(1_000);
/// Greatest age of a load report that is accepted; an older timestamp is attributed to clock skew.
const MAX_REPORT_AGE_MS: DurationMs = DurationMs(2_000);
/// How long work sent by this process counts as unreported when no load report arrives.
const MAX_SENT_AGE_MS: DurationMs = DurationMs(10_000);
/// Predictions of at least this length update the correction ratio, shorter ones the delay.
const MIN_RATIO_PREDICTION_MS: DurationMs = DurationMs(100);
const MAX_DELAY_MS: DurationMs = DurationMs(2_000);
const MIN_DELAY_RATIO_PERMILLE: u64 = 500;
const MAX_DELAY_RATIO_PERMILLE: u64 = 4_000;
/// Shortest interval between two reports from which the send rate of other entry VMs is estimated.
const MIN_RATE_INTERVAL_MS: DurationMs = DurationMs(100);
/// Interval between two decay steps of the prediction corrections.
const DECAY_INTERVAL_MS: DurationMs = DurationMs(200);
/// Upper bound on the rates and token counts of a load report; greater values are clamped.
const MAX_REPORTED_VALUE: u64 = 1 << 32;
/// Upper bound on a predicted wait or prefill time.
const MAX_PREDICTION_MS: DurationMs = DurationMs(3_600_000);
const INITIAL_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 10_000;
/// A ratio of one in thousandths.
const ONE_PERMILLE: u64 = 1_000;

/// The assumed liveness of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The worker responds, or has not failed yet.
    Alive,
    /// The worker went silent or failed, and a probe over a new connection is in progress.
    Suspected {
        /// When the suspicion arose.
        since_ms: TimeMs,
    },
    /// A probe has failed. Probes are repeated until one succeeds.
    Dead {
        /// Time of the next probe.
        probe_at_ms: TimeMs,
    },
}

/// A worker's queue length at the time of one of its load reports.
#[derive(Clone, Copy, Debug, Default)]
struct QueueObservation {
    at_ms: TimeMs,
    queued: Tokens,
    /// Tokens sent by this process since then.
    sent_since: Tokens,
}

/// A backend server and the load and timing estimates for it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Hash of the VM's name.
    pub id: WorkerId,
    /// Failure domain of its VM.
    pub domain: DomainId,
    /// The service that it runs; `None` for an engine.
    pub service: Option<ServiceId>,
    /// Whether the VM list marks it as leaving.
    pub leaving: bool,
    /// Incarnations that announced their own shutdown, most recent last.
    pub announced_leaving: VecDeque<Incarnation>,
    /// When it disappeared from the VM list; `None` while it is listed.
    pub unlisted_since_ms: Option<TimeMs>,
    /// Its assumed liveness.
    pub liveness: Liveness,
    /// Its current incarnation, once known.
    pub incarnation: Option<Incarnation>,
    /// Its latest load report.
    pub load: Option<LoadReport>,
    /// When the latest load report arrived.
    pub load_received_at_ms: TimeMs,
    /// Attempts sent by this process after its latest load report was made: the time of sending and
    /// the uncached prompt tokens.
    pub sent: VecDeque<(TimeMs, Tokens)>,
    /// Attempts of this process that are in progress on it.
    pub in_flight: u32,
    /// Attempts that failed since the last complete answer.
    pub consecutive_failures: u32,
    /// Until this time it receives work only if no other worker can accept it.
    pub backoff_until_ms: TimeMs,
    /// When an attempt of this process last made progress on it.
    pub progress_at_ms: TimeMs,
    /// Prompt tokens queued on it at `backlog_at_ms`.
    backlog: Tokens,
    backlog_at_ms: TimeMs,
    /// The observation against which the next report is compared to estimate `others_rate`.
    queue_observation: QueueObservation,
    /// Smoothed rate of the prompt tokens that other entry VMs send to it.
    others_rate: TokensPerSecond,
    /// Time of the last decay step of the corrections.
    corrections_decayed_at_ms: TimeMs,
    /// Smoothed ratio of observed to predicted time to first token, for long predictions, in
    /// thousandths.
    delay_ratio_permille: u64,
    /// Smoothed excess of the observed over the predicted time, for short predictions.
    delay_ms: DurationMs,
    /// Smoothed time that an answer occupies a slot.
    answer_ms: DurationMs,
}

impl Worker {
    /// Creates a worker from its entry in the VM list, alive and without load.
    #[must_use]
    pub fn from_vm(vm: &Vm) -> Self {
        Self {
            id: vm.worker(),
            domain: vm.domain(),
            service: vm.role.service(),
            leaving: vm.leaving,
            announced_leaving: VecDeque::new(),
            unlisted_since_ms: None,
            liveness: Liveness::Alive,
            incarnation: None,
            load: None,
            load_received_at_ms: TimeMs::default(),
            sent: VecDeque::new(),
            in_flight: 0,
            consecutive_failures: 0,
            backoff_until_ms: TimeMs::default(),
            progress_at_ms: TimeMs::default(),
            backlog: Tokens(0),
            backlog_at_ms: TimeMs::default(),
            queue_observation: QueueObservation::default(),
            others_rate: TokensPerSecond(0),
            corrections_decayed_at_ms: TimeMs::default(),
            delay_ratio_permille: ONE_PERMILLE,
            delay_ms: DurationMs(0),
            answer_ms: DEFAULT_ANSWER_MS,
        }
    }

    /// Whether new work may be sent to it: it is alive, listed and not leaving.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        let is_leaving =
            self.leaving || self.has_announced_leaving() || self.unlisted_since_ms.is_some();
        !is_leaving && self.liveness == Liveness::Alive
    }

    /// Whether its current incarnation has announced its shutdown.
    #[must_use]
    pub fn has_announced_leaving(&self) -> bool {
        self.incarnation
            .is_some_and(|incarnation| self.announced_leaving.contains(&incarnation))
    }

    /// The loaded weights version of `model`, if any.
    #[must_use]
    pub fn weights(&self, model: ModelId) -> Option<WeightsVersion> {
        let models = &self.load.as_ref()?.models;
        models
            .iter()
            .find(|loaded| loaded.0 == model)
            .map(|loaded| loaded.1)
    }

    /// Its service, or its loaded models with their weights, sorted and without duplicates.
    #[must_use]
    pub fn offers(&self) -> Vec<Offer> {
        let models = self.load.as_ref().map(|load| load.models.as_slice());
        let mut offers: Vec<Offer> = models
            .unwrap_or_default()
            .iter()
            .map(|(model, weights)| Offer::Model(*model, *weights))
            .chain(self.service.map(Offer::Service))
            .collect();
        offers.sort_unstable();
        offers.dedup();
        offers
    }

    /// The reported prefill rate, or a default until a positive one is reported.
    #[must_use]
    pub fn prefill_rate(&self) -> TokensPerSecond {
        let reported = self.load.as_ref().map(|load| load.prefill_rate);
        reported
            .filter(|rate| rate.0 > 0)
            .unwrap_or(DEFAULT_PREFILL_RATE)
    }

    /// The time it takes to compute prompt tokens, at most one hour.
    #[must_use]
    pub fn prefill_ms(&self, tokens: Tokens) -> DurationMs {
        self.prefill_rate().time_for(tokens).min(MAX_PREDICTION_MS)
    }

    /// Rate at which it imports pieces from the KV store; zero when it can't.
    #[must_use]
    pub fn import_rate(&self) -> TokensPerSecond {
        let reported = self.load.as_ref().map(|load| load.import_rate);
        reported.unwrap_or_default()
    }

    /// Price of a thousand computed tokens.
    #[must_use]
    pub fn price(&self) -> MicroCredits {
        let reported = self.load.as_ref().map(|load| load.price_microcredits);
        reported.unwrap_or_default()
    }

    /// Smoothed time that an answer occupies a slot.
    #[must_use]
    pub const fn answer_ms(&self) -> DurationMs {
        self.answer_ms
    }

    /// The time an answer occupies a slot, divided by the number of slots.
    #[must_use]
    pub fn answer_ms_per_slot(&self) -> DurationMs {
        let slots = self.load.as_ref().map_or(1, |load| load.slots.max(1));
        DurationMs(self.answer_ms.0 / u64::from(slots))
    }

    /// How long a new attempt waits before its prompt is computed: the longer of the waits for
    /// queued tokens and for a free slot.
    #[must_use]
    pub fn wait_ms(&self, now: TimeMs) -> DurationMs {
        let tokens_ms = self.prefill_ms(self.backlog_at(now));
        tokens_ms.max(self.slot_wait_ms(now)).min(MAX_PREDICTION_MS)
    }

    fn slot_wait_ms(&self, now: TimeMs) -> DurationMs {
        let Some(load) = &self.load else {
            return DurationMs(0);
        };
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let wait_ms = |occupied: u32| {
            let waiting = occupied.saturating_add(1).saturating_sub(load.slots.max(1));
            DurationMs(u64::from(waiting) * self.answer_ms_per_slot().0)
        };
        let elapsed = now.since(load.observed_at_ms).min(MAX_REPORT_AGE_MS);
        let reported_ms = wait_ms(load.running.saturating_add(sent)).saturating_sub(elapsed);
        reported_ms.max(wait_ms(self.in_flight))
    }

    /// The estimated backlog at `now`: less the tokens computed since `backlog_at_ms`, plus those
    /// that other entry VMs are expected to have sent.
    fn backlog_at(&self, now: TimeMs) -> Tokens {
        let elapsed = now.since(self.backlog_at_ms);
        let computed = self.prefill_rate().tokens_in(elapsed);
        let sent = self.others_rate.tokens_in(elapsed.min(MAX_REPORT_AGE_MS));
        self.backlog.saturating_sub(computed.saturating_sub(sent))
    }

    /// Adds an attempt that was sent, with its uncached prompt tokens.
    pub fn record_sent(&mut self, tokens: Tokens, now: TimeMs) {
        while let Some(sent) = self.sent.front()
            && now.since(sent.0) > MAX_SENT_AGE_MS
        {
            self.sent.pop_front();
        }
        self.sent.push_back((now, tokens));
        self.queue_observation.sent_since += tokens;
        self.add_backlog(tokens, now);
    }

    /// Removes an attempt that was sent at `sent_at_ms` from the unreported ones.
    pub fn record_end(&mut self, sent_at_ms: TimeMs, tokens: Tokens) {
        let index = self
            .sent
            .iter()
            .rposition(|sent| *sent == (sent_at_ms, tokens));
        if let Some(index) = index {
            self.sent.remove(index);
        }
    }

    /// Removes prompt tokens that won't be computed from the backlog.
    pub fn remove_backlog(&mut self, tokens: Tokens, now: TimeMs) {
        self.backlog = self.backlog_at(now).saturating_sub(tokens);
        self.backlog_at_ms = self.backlog_at_ms.max(now);
    }

    fn add_backlog(&mut self, tokens: Tokens, now: TimeMs) {
        self.backlog = self.backlog_at(now) + tokens;
        self.backlog_at_ms = self.backlog_at_ms.max(now);
    }

    /// Applies a load report. Work sent after it was made is added to its queue.
    pub fn apply_load_report(&mut self, mut report: LoadReport, now: TimeMs) {
        report.queued_tokens = report.queued_tokens.min(Tokens(MAX_REPORTED_VALUE));
        report.prefill_rate = report.prefill_rate.min(TokensPerSecond(MAX_REPORTED_VALUE));
        report.import_rate = report.import_rate.min(TokensPerSecond(MAX_REPORTED_VALUE));
        let earliest = TimeMs(now.0.saturating_sub(MAX_REPORT_AGE_MS.0));
        let observed_at_ms = report.observed_at_ms.clamp(earliest, now);
        self.update_others_rate(&report, observed_at_ms);
        self.sent.retain(|sent| sent.0 > observed_at_ms);
        self.backlog = report.queued_tokens;
        self.backlog_at_ms = observed_at_ms;
        self.load = Some(report);
        self.load_received_at_ms = now;
        self.decay_corrections(now);
        for index in 0..self.sent.len() {
            let (sent_at_ms, tokens) = self.sent[index];
            self.add_backlog(tokens, sent_at_ms);
        }
    }

    /// Estimates the send rate of other entry VMs from the change of the queue between two
    /// reports. The estimate is zero unless the worker was busy throughout.
    fn update_others_rate(&mut self, report: &LoadReport, observed_at_ms: TimeMs) {
        let elapsed = observed_at_ms.since(self.queue_observation.at_ms);
        if elapsed < MIN_RATE_INTERVAL_MS {
            return;
        }
        let later = self.sent.iter().filter(|sent| sent.0 > observed_at_ms);
        let later: Tokens = later.map(|sent| sent.1).sum();
        let last = std::mem::replace(
            &mut self.queue_observation,
            QueueObservation {
                at_ms: observed_at_ms,
                queued: report.queued_tokens,
                sent_since: later,
            },
        );
        let own_tokens = last.sent_since.saturating_sub(later);
        let computed = self.prefill_rate().tokens_in(elapsed);
        let arrived = (report.queued_tokens + computed).saturating_sub(last.queued);
        let is_known = report.queued_tokens.0 > 0 && elapsed <= MAX_REPORT_AGE_MS;
        let others = if is_known {
            arrived.saturating_sub(own_tokens).0 * 1_000 / elapsed.0
        } else {
            0
        };
        self.others_rate = TokensPerSecond((self.others_rate.0 * 3 + others) / 4);
    }

    /// Discards load, backlog and corrections, which belong to an earlier incarnation.
    pub fn restart(&mut self) {
        self.load = None;
        self.sent.clear();
        self.backlog = Tokens(0);
        self.others_rate = TokensPerSecond(0);
        self.queue_observation = QueueObservation::default();
        self.delay_ratio_permille = ONE_PERMILLE;
        self.delay_ms = DurationMs(0);
    }

    /// A predicted time to first token, corrected by the errors of earlier predictions.
    #[must_use]
    pub fn corrected_ms(&self, predicted_ms: DurationMs) -> DurationMs {
        let scaled = predicted_ms.0.saturating_mul(self.delay_ratio_permille) / ONE_PERMILLE;
        DurationMs(scaled) + self.delay_ms
    }

    /// Updates the corrections from an uncorrected prediction and the observed time: a short
    /// prediction updates the additive delay, a long one the ratio.
    pub fn record_first_token(&mut self, predicted_ms: DurationMs, observed_ms: DurationMs) {
        if predicted_ms < MIN_RATIO_PREDICTION_MS {
            let delay_ms = observed_ms.saturating_sub(predicted_ms).min(MAX_DELAY_MS);
            self.delay_ms = DurationMs((self.delay_ms.0 * 7 + delay_ms.0) / 8);
            return;
        }
        let observed_ms = observed_ms.saturating_sub(self.delay_ms);
        let ratio = observed_ms.0.saturating_mul(ONE_PERMILLE) / predicted_ms.0;
        let ratio = ratio.clamp(MIN_DELAY_RATIO_PERMILLE, MAX_DELAY_RATIO_PERMILLE);
        self.delay_ratio_permille = (self.delay_ratio_permille * 7 + ratio) / 8;
    }

    /// Decays the corrections, so that a worker that received no work because of them is tried
    /// again.
    fn decay_corrections(&mut self, now: TimeMs) {
        if now.since(self.corrections_decayed_at_ms) < DECAY_INTERVAL_MS {
            return;
        }
        self.corrections_decayed_at_ms = now;
        self.delay_ms = DurationMs(self.delay_ms.0 * 31 / 32);
        self.delay_ratio_permille = (self.delay_ratio_permille * 31 + ONE_PERMILLE) / 32;
    }

    /// Records a complete answer: resets the failure backoff and updates the slot time.
    pub fn record_answer(&mut self, occupied_ms: DurationMs) {
        self.consecutive_failures = 0;
        self.backoff_until_ms = TimeMs::default();
        self.answer_ms = DurationMs((self.answer_ms.0 * 7 + occupied_ms.0.max(1)) / 8);
    }

    /// Records a failed attempt: the backoff doubles with each consecutive failure.
    pub fn record_failure(&mut self, now: TimeMs) {
        let doubled = INITIAL_BACKOFF_MS << self.consecutive_failures.min(7);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.backoff_until_ms = now.after(DurationMs(doubled.min(MAX_BACKOFF_MS)));
    }

    /// Whether it accepts work and isn't in failure backoff.
    #[must_use]
    pub fn is_preferred(&self, now: TimeMs) -> bool {
        self.accepts_work() && self.backoff_until_ms <= now
    }
}
