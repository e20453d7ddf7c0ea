//! Figures of one run, and their medians over several.

use {
    crate::load::{
        cluster::EngineTotals,
        engine_shape::{EngineShape, Work},
        number::{float, micros_of, millis, ratio},
        outcome::{End, Outcome},
        policy::Policy,
        schedule::{Schedule, second_of},
        unbounded::PromptTokens,
        workload::ClassShape,
    },
    derive_more::Display,
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What a thousand tokens cost at the stand-ins' engines, in microcredits.
pub const PRICE_MICROCREDITS: u64 = 1_000;
const TOKENS_PER_PRICE: u64 = 1_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const LONGEST_US: u64 = 60_000_000;
/// The name under which all chats together are reported.
pub const ALL_CHATS: &str = "all chats";

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

impl Percentiles {
    /// The percentiles of a histogram of microseconds.
    #[must_use]
    pub fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            p50_ms: millis(histogram.value_at_quantile(0.5)),
            p95_ms: millis(histogram.value_at_quantile(0.95)),
            p99_ms: millis(histogram.value_at_quantile(0.99)),
        }
    }
}

/// How often something happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// What.
    pub name: String,
    /// How often.
    pub count: u64,
}

fn count(counts: &mut Vec<Count>, name: &str) {
    let found = counts.binary_search_by(|row| row.name.as_str().cmp(name));
    match found {
        Ok(at) => counts[at].count += 1,
        Err(at) => counts.insert(
            at,
            Count {
                name: name.to_owned(),
                count: 1,
            },
        ),
    }
}

fn total(counts: &[Count]) -> u64 {
    counts.iter().map(|row| row.count).sum()
}

/// The figures of one class, or of all chats, in one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// The class, or [`ALL_CHATS`].
    pub name: String,
    /// Requests that were planned.
    pub requests: u64,
    /// Whole answers.
    pub complete: u64,
    /// Refusals by cause.
    pub refused: Vec<Count>,
    /// Requests without a whole answer, by what happened.
    pub failed: Vec<Count>,
    /// From the intended time of sending to the first token.
    pub first_token: Percentiles,
    /// From one part of an answer to the next.
    pub between_tokens: Percentiles,
    /// Whole answers whose first token met the class's target.
    pub met_target: u64,
    /// The work that was asked for.
    pub asked_work: Work,
    /// The work of the whole answers that met their target.
    pub met_work: Work,
    /// Tokens of the prompts that engines took on.
    pub prompt_tokens: u64,
    /// Those of them that were cached.
    pub cached_tokens: u64,
    /// Those of them that an unbounded cache shared by all engines would have had.
    pub unbounded_tokens: u64,
    /// Tokens that were computed although an unbounded cache would have had them.
    pub recomputed_tokens: u64,
    /// Tokens of the answers.
    pub answer_tokens: u64,
    /// The cost of all computed tokens, in microcredits.
    pub cost_microcredits: u64,
}

/// The times of the first tokens of a run's chats, sorted, in microseconds.
pub type FirstTokens = Vec<u64>;

/// Whole chats that met their target, and all that were planned, in one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Chats that were to be sent in it.
    pub requests: u64,
    /// Those that met their target.
    pub met_target: u64,
    /// Prompt tokens of those that an engine took on.
    pub prompt_tokens: u64,
    /// Those of them that were cached.
    pub cached_tokens: u64,
}

/// What became of credits that lapsed, of all customers together, in microcredits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(
    "{unused_microcredits} of {granted_microcredits} microcredits lapsed unused, \
     {drawn_microcredits} were drawn"
)]
pub struct Lapsed {
    /// Granted.
    pub granted_microcredits: u64,
    /// Drawn from the ledger.
    pub drawn_microcredits: u64,
    /// Not spent on answers to requests that were sent before they lapsed.
    pub unused_microcredits: u64,
}

/// One run of one policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The policy.
    pub policy: Policy,
    /// Which of the repeats, from zero.
    pub repeat: u32,
    /// The figures of all chats, then those of each class.
    pub figures: Vec<Figures>,
    /// The course of the run.
    pub seconds: Vec<Second>,
    /// How long after the fault the share of chats that meet their target was back within a tenth
    /// of that before, in seconds; none without a fault or when it was not back in the run.
    pub recovered_after_s: Option<u64>,
    /// What became of credits that lapsed; none when none did.
    pub lapsed: Option<Lapsed>,
    /// What the engines have done in all, also for attempts that no caller had an answer of.
    pub engines: EngineTotals,
    /// Times of the first tokens of all chats, sorted, in microseconds.
    #[serde(skip)]
    pub first_tokens_us: FirstTokens,
}

/// The outcomes of one run and what they are judged by.
pub struct Observed<'a> {
    /// What was sent.
    pub schedule: &'a Schedule,
    /// What an unbounded cache would have had.
    pub unbounded: &'a [PromptTokens],
    /// What became of each request.
    pub outcomes: &'a [Outcome],
    /// From when on requests count, in microseconds from the start of the schedule.
    pub counted_from_us: u64,
    /// When a fault set in, from the first request that counts, if one did.
    pub fault_at: Option<Duration>,
}

impl Observed<'_> {
    /// The record of the run.
    #[must_use]
    pub fn record(&self, policy: Policy, repeat: u32) -> RunRecord {
        let classes = self.schedule.workload.classes();
        let mut figures = vec![self.figures(ALL_CHATS, |class| classes[class].service.is_none())];
        for (position, class) in classes.iter().enumerate() {
            figures.push(self.figures(class.name, |other| other == position));
        }
        let seconds = self.seconds();
        let recovered_after_s = self
            .fault_at
            .and_then(|at| recovered(&seconds, second_of(micros_of(at))));
        RunRecord {
            policy,
            repeat,
            figures,
            seconds,
            recovered_after_s,
            lapsed: None,
            engines: EngineTotals::default(),
            first_tokens_us: self.first_tokens(),
        }
    }

    fn class(&self, at: usize) -> ClassShape {
        self.schedule.workload.classes()[self.schedule.requests[at].class]
    }

    fn met_target(&self, at: usize) -> bool {
        let outcome = &self.outcomes[at];
        let target_ms = float(self.class(at).first_token_target_ms);
        outcome.is_complete()
            && outcome
                .first_token_us
                .is_some_and(|us| millis(us) <= target_ms)
    }

    fn work(&self, at: usize) -> Work {
        let answer_tokens = self.schedule.requests[at].max_answer_tokens;
        EngineShape::of(self.schedule.workload).work(self.unbounded[at], answer_tokens)
    }

    fn figures<F>(&self, name: &str, belongs: F) -> Figures
    where
        F: Fn(usize) -> bool,
    {
        let mut figures = Figures {
            name: name.to_owned(),
            ..Figures::default()
        };
        let mut first_token = histogram();
        let mut between_tokens = histogram();
        for at in self.counted() {
            let outcome = &self.outcomes[at];
            if !belongs(self.schedule.requests[at].class) {
                continue;
            }
            figures.requests += 1;
            let work = self.work(at);
            figures.asked_work += work;
            if self.met_target(at) {
                figures.met_target += 1;
                figures.met_work += work;
            }
            figures.count_end(&outcome.end);
            figures.count_tokens(outcome, self.unbounded[at]);
            if let Some(us) = outcome.first_token_us {
                first_token.saturating_record(us);
            }
            for gap_us in &outcome.gaps_us {
                between_tokens.saturating_record(*gap_us);
            }
        }
        figures.first_token = Percentiles::of(&first_token);
        figures.between_tokens = Percentiles::of(&between_tokens);
        figures
    }

    fn counted(&self) -> impl Iterator<Item = usize> {
        let requests = &self.schedule.requests;
        (0..self.outcomes.len()).filter(|at| requests[*at].at_us >= self.counted_from_us)
    }

    fn chats(&self) -> impl Iterator<Item = usize> {
        self.counted()
            .filter(|at| self.class(*at).service.is_none())
    }

    /// What each customer's answers cost of the requests that were sent before a time, in
    /// microcredits.
    #[must_use]
    pub fn spent_before(&self, at_us: u64) -> Vec<u64> {
        let mut spent = vec![0; self.schedule.workload.customers().len()];
        for (request, outcome) in self.schedule.requests.iter().zip(self.outcomes) {
            if request.at_us < at_us {
                spent[request.customer] += cost_microcredits(outcome);
            }
        }
        spent
    }

    fn first_tokens(&self) -> FirstTokens {
        let mut times: FirstTokens = self
            .chats()
            .filter_map(|at| self.outcomes[at].first_token_us)
            .collect();
        times.sort_unstable();
        times
    }

    fn seconds(&self) -> Vec<Second> {
        let mut seconds = Vec::new();
        for at in self.chats() {
            let at_us = self.schedule.requests[at].at_us - self.counted_from_us;
            let second = second_of(at_us);
            let position = usize::try_from(second).unwrap_or(usize::MAX);
            if seconds.len() <= position {
                seconds.resize(position + 1, Second::default());
            }
            let prompt = self.outcomes[at].prompt.unwrap_or_default();
            let row = &mut seconds[position];
            row.requests += 1;
            row.met_target += u64::from(self.met_target(at));
            row.prompt_tokens += prompt.prompt;
            row.cached_tokens += prompt.cached;
        }
        seconds
    }
}

impl Figures {
    fn count_end(&mut self, end: &End) {
        match end {
            End::Complete => self.complete += 1,
            End::Refused { cause } => count(&mut self.refused, cause),
            End::Failed { what } => count(&mut self.failed, what),
        }
    }

    fn count_tokens(&mut self, outcome: &Outcome, unbounded: PromptTokens) {
        let Some(prompt) = outcome.prompt else {
            return;
        };
        self.prompt_tokens += prompt.prompt;
        self.cached_tokens += prompt.cached;
        self.unbounded_tokens += unbounded.cached;
        self.recomputed_tokens += unbounded.cached.saturating_sub(prompt.cached);
        self.answer_tokens += outcome.answer_tokens;
        self.cost_microcredits += cost_microcredits(outcome);
    }
}

fn cost_microcredits(outcome: &Outcome) -> u64 {
    let prompt = outcome.prompt.unwrap_or_default();
    let computed = prompt.prompt.saturating_sub(prompt.cached) + outcome.answer_tokens;
    computed * PRICE_MICROCREDITS / TOKENS_PER_PRICE
}

/// An empty histogram of microseconds, up to more than a request may take.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS)
        .expect("the bounds and the number of digits are allowed")
}

/// Seconds that are judged together, so that one request doesn't decide.
const RECOVERY_WINDOW_S: usize = 2;
const RECOVERED_SHARE: f64 = 0.9;

fn recovered(seconds: &[Second], fault_at_s: u64) -> Option<u64> {
    let fault_at = usize::try_from(fault_at_s).ok()?.min(seconds.len());
    let before = met_share(&seconds[..fault_at]);
    let after = &seconds[fault_at..];
    let calm = |start: usize| {
        after[start..]
            .windows(RECOVERY_WINDOW_S)
            .all(|window| met_share(window) >= before * RECOVERED_SHARE)
    };
    let last_start = after.len().checked_sub(RECOVERY_WINDOW_S)?;
    (0..=last_start)
        .find(|start| calm(*start))
        .map(|start| start as u64)
}

fn met_share(seconds: &[Second]) -> f64 {
    let met = seconds.iter().map(|second| second.met_target).sum();
    let requests = seconds.iter().map(|second| second.requests).sum();
    ratio(met, requests)
}

/// A figure that policies are compared by.
#[derive(Clone, Copy)]
pub struct Column {
    /// Its name with its unit.
    pub name: &'static str,
    /// How many digits after the point are shown.
    pub digits: usize,
    /// Reads it.
    pub of: fn(&Figures) -> f64,
}

const fn column(name: &'static str, digits: usize, of: fn(&Figures) -> f64) -> Column {
    Column { name, digits, of }
}

/// The figures that policies are compared by, in the order in which they are shown.
pub const COLUMNS: [Column; 17] = [
    column("requests", 0, |f| float(f.requests)),
    column("complete", 0, |f| float(f.complete)),
    column("refused", 0, |f| float(total(&f.refused))),
    column("failed", 0, |f| float(total(&f.failed))),
    column("first token p50 ms", 1, |f| f.first_token.p50_ms),
    column("first token p95 ms", 1, |f| f.first_token.p95_ms),
    column("first token p99 ms", 1, |f| f.first_token.p99_ms),
    column("between tokens p50 ms", 1, |f| f.between_tokens.p50_ms),
    column("between tokens p95 ms", 1, |f| f.between_tokens.p95_ms),
    column("between tokens p99 ms", 1, |f| f.between_tokens.p99_ms),
    column("prefix hit rate", 3, |f| {
        ratio(f.cached_tokens, f.prompt_tokens)
    }),
    column("unbounded hit rate", 3, |f| {
        ratio(f.unbounded_tokens, f.prompt_tokens)
    }),
    column("recomputed tokens", 0, |f| float(f.recomputed_tokens)),
    column("recomputed per request", 1, |f| {
        ratio(f.recomputed_tokens, f.complete)
    }),
    column("met target", 0, |f| float(f.met_target)),
    column("met target share", 3, |f| ratio(f.met_target, f.requests)),
    column("cost microcredits", 0, |f| float(f.cost_microcredits)),
];

/// A median with its spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The least value.
    pub min: f64,
    /// The greatest value.
    pub max: f64,
}

impl Spread {
    /// The spread of some values; all zero when there are none.
    #[must_use]
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let (Some(min), Some(max)) = (values.first(), values.last()) else {
            return Self::default();
        };
        let middle = values.len() / 2;
        let median = if values.len().is_multiple_of(2) {
            f64::midpoint(values[middle - 1], values[middle])
        } else {
            values[middle]
        };
        Self {
            median,
            min: *min,
            max: *max,
        }
    }
}
