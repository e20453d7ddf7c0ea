//! Workers: model workers and plain services, as far as this process knows them.

use {
    crate::{
        event::{LoadReport, Vm},
        id::{DomainId, Incarnation, ModelId, ServiceId, WeightsVersion, WorkerId},
        ring::Offer,
        unit::{DurationMs, MicroCredits, TimeMs, Tokens, TokensPerSecond},
    },
    std::collections::VecDeque,
};

/// The prefill rate that is assumed before a worker has reported one.
const DEFAULT_PREFILL_RATE: TokensPerSecond = TokensPerSecond(8_000);
/// How long an answer is assumed to hold a slot before any was seen.
const DEFAULT_ANSWER_MS: DurationMs = DurationMs(1_000);
/// The age from which on a report's time is taken to be the fault of a clock.
const MAX_REPORT_AGE_MS: DurationMs = DurationMs(2_000);
/// How long work sent from here is counted when no report comes.
const MAX_SENT_AGE_MS: DurationMs = DurationMs(10_000);
/// From here on a predicted time tells by what ratio predictions are off.
const LONG_MS: DurationMs = DurationMs(100);
const MAX_DELAY_MS: DurationMs = DurationMs(2_000);
const MIN_LATENESS_PERMILLE: u64 = 500;
const MAX_LATENESS_PERMILLE: u64 = 4_000;
/// The time over which the change of a queue tells what others send, at the least.
const MIN_COMPARE_MS: DurationMs = DurationMs(100);
/// The time between two steps in which corrections fade.
const FADE_INTERVAL_MS: DurationMs = DurationMs(200);
/// The largest figure in a report that is believed.
const MAX_FIGURE: u64 = 1 << 32;
/// The longest time that is predicted for one step.
const MAX_TIME_MS: DurationMs = DurationMs(3_600_000);
const FIRST_BACK_OFF_MS: u64 = 100;
const MAX_BACK_OFF_MS: u64 = 10_000;
/// The ratio of one, in thousandths.
const ONE_PERMILLE: u64 = 1_000;

/// How alive a worker is believed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It answers, or nothing speaks against it.
    Alive,
    /// It went silent or failed; a new connection is being tried.
    Suspected {
        /// Since when.
        since_ms: TimeMs,
    },
    /// A new connection has failed. It is asked again until it answers.
    Dead {
        /// When it is asked next.
        probe_at_ms: TimeMs,
    },
}

/// A worker's queue in one of its reports.
#[derive(Clone, Copy, Debug, Default)]
struct QueueSeen {
    at_ms: TimeMs,
    queued: Tokens,
    /// What was sent from here since.
    sent_since: Tokens,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The service that it offers, if it is a plain service.
    pub service: Option<ServiceId>,
    /// Whether it is leaving, by the list of VMs.
    pub leaving: bool,
    /// The lives that have said themselves that they are leaving, latest last.
    pub announced_leaving: VecDeque<Incarnation>,
    /// Since when the list of VMs lacks it.
    pub unlisted_since_ms: Option<TimeMs>,
    /// How alive it is believed to be.
    pub liveness: Liveness,
    /// Its life, once it is known.
    pub incarnation: Option<Incarnation>,
    /// Its last report.
    pub load: Option<LoadReport>,
    /// When its load was last heard of.
    pub load_received_at_ms: TimeMs,
    /// Work sent from here that its last report can't show yet: when, and how many uncached
    /// prompt tokens.
    pub sent: VecDeque<(TimeMs, Tokens)>,
    /// Attempts from here that are in progress on it.
    pub in_flight: u32,
    /// Attempts that failed in a row.
    pub consecutive_failures: u32,
    /// The time before which it gets no work while others can take it.
    pub backoff_until_ms: TimeMs,
    /// When an attempt from here last made progress on it.
    pub progress_at_ms: TimeMs,
    /// Prompt tokens that wait on it, as of `backlog_at_ms`.
    backlog: Tokens,
    backlog_at_ms: TimeMs,
    /// The report from which on what others send is estimated next.
    queue_seen: QueueSeen,
    /// Prompt tokens that other entry VMs send, smoothed.
    others_rate: TokensPerSecond,
    /// When corrections faded last.
    faded_at_ms: TimeMs,
    /// Observed over predicted time to the first token, of long ones, in thousandths, smoothed.
    lateness_permille: u64,
    /// What short predictions were too short by, smoothed.
    delay_ms: DurationMs,
    /// How long an answer holds a slot, smoothed.
    answer_ms: DurationMs,
}

impl Worker {
    /// A worker as the list of VMs names it.
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
            queue_seen: QueueSeen::default(),
            others_rate: TokensPerSecond(0),
            faded_at_ms: TimeMs::default(),
            lateness_permille: ONE_PERMILLE,
            delay_ms: DurationMs(0),
            answer_ms: DEFAULT_ANSWER_MS,
        }
    }

    /// Whether new work may be sent to it.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        let leaves =
            self.leaving || self.has_announced_leaving() || self.unlisted_since_ms.is_some();
        !leaves && self.liveness == Liveness::Alive
    }

    /// Whether its present life has said itself that it is leaving.
    #[must_use]
    pub fn has_announced_leaving(&self) -> bool {
        self.incarnation
            .is_some_and(|life| self.announced_leaving.contains(&life))
    }

    /// The weights of `model` that it has loaded, if any.
    #[must_use]
    pub fn weights(&self, model: ModelId) -> Option<WeightsVersion> {
        let models = &self.load.as_ref()?.models;
        models
            .iter()
            .find(|loaded| loaded.0 == model)
            .map(|loaded| loaded.1)
    }

    /// What it offers.
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

    /// How quickly it computes prompt tokens.
    #[must_use]
    pub fn prefill_rate(&self) -> TokensPerSecond {
        let reported = self.load.as_ref().map(|load| load.prefill_rate);
        reported
            .filter(|rate| rate.0 > 0)
            .unwrap_or(DEFAULT_PREFILL_RATE)
    }

    /// The time in which it computes prompt tokens, an hour at the most.
    #[must_use]
    pub fn prefill_ms(&self, tokens: Tokens) -> DurationMs {
        self.prefill_rate().time_for(tokens).min(MAX_TIME_MS)
    }

    /// How quickly it imports kept pieces; zero when it can't.
    #[must_use]
    pub fn import_rate(&self) -> TokensPerSecond {
        let reported = self.load.as_ref().map(|load| load.import_rate);
        reported.unwrap_or_default()
    }

    /// What a thousand computed tokens cost on it.
    #[must_use]
    pub fn price(&self) -> MicroCredits {
        let reported = self.load.as_ref().map(|load| load.price_microcredits);
        reported.unwrap_or_default()
    }

    /// How long an answer holds a slot, smoothed.
    #[must_use]
    pub const fn answer_ms(&self) -> DurationMs {
        self.answer_ms
    }

    /// The time of a worker that an answer takes, when it runs as many as it can.
    #[must_use]
    pub fn answer_ms_per_slot(&self) -> DurationMs {
        let slots = self.load.as_ref().map_or(1, |load| load.slots.max(1));
        DurationMs(self.answer_ms.0 / u64::from(slots))
    }

    /// How long a new attempt waits until its prompt is computed: for the tokens before it, or
    /// for a slot.
    #[must_use]
    pub fn wait_ms(&self, now: TimeMs) -> DurationMs {
        let tokens_ms = self.prefill_ms(self.backlog_at(now));
        tokens_ms.max(self.slot_wait_ms(now)).min(MAX_TIME_MS)
    }

    fn slot_wait_ms(&self, now: TimeMs) -> DurationMs {
        let Some(load) = &self.load else {
            return DurationMs(0);
        };
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let wait_ms = |held: u32| {
            let waiting = held.saturating_add(1).saturating_sub(load.slots.max(1));
            DurationMs(u64::from(waiting) * self.answer_ms_per_slot().0)
        };
        let elapsed = now.since(load.observed_at_ms).min(MAX_REPORT_AGE_MS);
        let reported_ms = wait_ms(load.running.saturating_add(sent)).saturating_sub(elapsed);
        reported_ms.max(wait_ms(self.in_flight))
    }

    /// What is left of the backlog: what was computed since is taken off, what others are likely
    /// to have sent since put on.
    fn backlog_at(&self, now: TimeMs) -> Tokens {
        let elapsed = now.since(self.backlog_at_ms);
        let computed = self.prefill_rate().tokens_in(elapsed);
        let sent = self.others_rate.tokens_in(elapsed.min(MAX_REPORT_AGE_MS));
        self.backlog.saturating_sub(computed.saturating_sub(sent))
    }

    /// Counts an attempt that was sent, with the prompt tokens that it has to compute.
    pub fn record_sent(&mut self, tokens: Tokens, now: TimeMs) {
        while let Some(sent) = self.sent.front()
            && now.since(sent.0) > MAX_SENT_AGE_MS
        {
            self.sent.pop_front();
        }
        self.sent.push_back((now, tokens));
        self.queue_seen.sent_since += tokens;
        self.add_backlog(tokens, now);
    }

    /// No longer counts an attempt that was sent at `sent_at_ms` as waiting or running.
    pub fn record_end(&mut self, sent_at_ms: TimeMs, tokens: Tokens) {
        let sent = self
            .sent
            .iter()
            .rposition(|sent| *sent == (sent_at_ms, tokens));
        if let Some(at) = sent {
            self.sent.remove(at);
        }
    }

    /// Takes prompt tokens back that won't be computed.
    pub fn remove_backlog(&mut self, tokens: Tokens, now: TimeMs) {
        self.backlog = self.backlog_at(now).saturating_sub(tokens);
        self.backlog_at_ms = self.backlog_at_ms.max(now);
    }

    fn add_backlog(&mut self, tokens: Tokens, now: TimeMs) {
        self.backlog = self.backlog_at(now) + tokens;
        self.backlog_at_ms = self.backlog_at_ms.max(now);
    }

    /// Takes a report in. Work that was sent since it was made is counted on top.
    pub fn apply_load_report(&mut self, mut report: LoadReport, now: TimeMs) {
        report.queued_tokens = report.queued_tokens.min(Tokens(MAX_FIGURE));
        report.prefill_rate = report.prefill_rate.min(TokensPerSecond(MAX_FIGURE));
        report.import_rate = report.import_rate.min(TokensPerSecond(MAX_FIGURE));
        let earliest = TimeMs(now.0.saturating_sub(MAX_REPORT_AGE_MS.0));
        let observed_at_ms = report.observed_at_ms.clamp(earliest, now);
        self.update_others_rate(&report, observed_at_ms);
        self.sent.retain(|sent| sent.0 > observed_at_ms);
        self.backlog = report.queued_tokens;
        self.backlog_at_ms = observed_at_ms;
        self.load = Some(report);
        self.load_received_at_ms = now;
        self.fade_corrections(now);
        for at in 0..self.sent.len() {
            let (sent_at_ms, tokens) = self.sent[at];
            self.add_backlog(tokens, sent_at_ms);
        }
    }

    /// Estimates what others send from the change of the queue over some time, as far as the
    /// worker had work all the time.
    fn update_others_rate(&mut self, report: &LoadReport, observed_at_ms: TimeMs) {
        let elapsed = observed_at_ms.since(self.queue_seen.at_ms);
        if elapsed < MIN_COMPARE_MS {
            return;
        }
        let later = self.sent.iter().filter(|sent| sent.0 > observed_at_ms);
        let later: Tokens = later.map(|sent| sent.1).sum();
        let last = std::mem::replace(
            &mut self.queue_seen,
            QueueSeen {
                at_ms: observed_at_ms,
                queued: report.queued_tokens,
                sent_since: later,
            },
        );
        let own = last.sent_since.saturating_sub(later);
        let computed = self.prefill_rate().tokens_in(elapsed);
        let arrived = (report.queued_tokens + computed).saturating_sub(last.queued);
        let is_known = report.queued_tokens.0 > 0 && elapsed <= MAX_REPORT_AGE_MS;
        let others = if is_known {
            arrived.saturating_sub(own).0 * 1_000 / elapsed.0
        } else {
            0
        };
        self.others_rate = TokensPerSecond((self.others_rate.0 * 3 + others) / 4);
    }

    /// Forgets what was counted for an earlier life.
    pub fn restart(&mut self) {
        self.load = None;
        self.sent.clear();
        self.backlog = Tokens(0);
        self.others_rate = TokensPerSecond(0);
        self.queue_seen = QueueSeen::default();
        self.lateness_permille = ONE_PERMILLE;
        self.delay_ms = DurationMs(0);
    }

    /// A predicted time to the first token, corrected by how earlier predictions turned out.
    #[must_use]
    pub fn corrected_ms(&self, predicted_ms: DurationMs) -> DurationMs {
        let scaled = predicted_ms.0.saturating_mul(self.lateness_permille) / ONE_PERMILLE;
        DurationMs(scaled) + self.delay_ms
    }

    /// Compares an uncorrected prediction with what was seen: short ones tell the delay that all
    /// share, long ones the ratio.
    pub fn record_first_token(&mut self, predicted_ms: DurationMs, observed_ms: DurationMs) {
        if predicted_ms < LONG_MS {
            let delay_ms = observed_ms.saturating_sub(predicted_ms).min(MAX_DELAY_MS);
            self.delay_ms = DurationMs((self.delay_ms.0 * 7 + delay_ms.0) / 8);
            return;
        }
        let observed_ms = observed_ms.saturating_sub(self.delay_ms);
        let ratio = observed_ms.0.saturating_mul(ONE_PERMILLE) / predicted_ms.0;
        let ratio = ratio.clamp(MIN_LATENESS_PERMILLE, MAX_LATENESS_PERMILLE);
        self.lateness_permille = (self.lateness_permille * 7 + ratio) / 8;
    }

    /// Lets corrections fade, so that a worker that got no work for them is tried again.
    fn fade_corrections(&mut self, now: TimeMs) {
        if now.since(self.faded_at_ms) < FADE_INTERVAL_MS {
            return;
        }
        self.faded_at_ms = now;
        self.delay_ms = DurationMs(self.delay_ms.0 * 31 / 32);
        self.lateness_permille = (self.lateness_permille * 31 + ONE_PERMILLE) / 32;
    }

    /// Notes an answer that came to its end.
    pub fn record_answer(&mut self, held_ms: DurationMs) {
        self.consecutive_failures = 0;
        self.backoff_until_ms = TimeMs::default();
        self.answer_ms = DurationMs((self.answer_ms.0 * 7 + held_ms.0.max(1)) / 8);
    }

    /// Notes an attempt that failed: the more in a row, the longer others are preferred.
    pub fn record_failure(&mut self, now: TimeMs) {
        let doubled = FIRST_BACK_OFF_MS << self.consecutive_failures.min(7);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.backoff_until_ms = now.after(DurationMs(doubled.min(MAX_BACK_OFF_MS)));
    }

    /// Whether it gets work before those that have just failed.
    #[must_use]
    pub fn is_preferred(&self, now: TimeMs) -> bool {
        self.accepts_work() && self.backoff_until_ms <= now
    }
}
