//! Finds the prompt part on which engines crash, and keeps requests with it away from them.
//!
//! A crash ends everything that runs on an engine. The requests that may have caused it are those
//! whose answer had begun and had no event yet; each of them may have done so by any part but the
//! last, which belongs to it alone. A part that gets past this point at any engine is cleared of all
//! crashes before that. What is left is counted over the crashes of all gateways:
//!
//! - A part needs [`MIN_CRASHES`] crashes at different moments, or [`MIN_CRASHES_PASSED`] if some
//!   answer has got past it before. Engines that crash together count once, since something else may
//!   have ended them all.
//! - Of several parts, the one with most crashes is quarantined, and the crashes that it explains don't
//!   count against others. Parts that were in just the same crashes are quarantined together: only
//!   requests with all of them are refused, until one of them is cleared.
//!
//! A quarantine ends when an answer gets past the part, or after [`TERM_MS`] without a crash: then one
//! request at a time is let through, and a single crash begins a term twice as long.

mod identity;

pub use identity::{RequestContent, RequestDigest};

use {
    super::cached::PromptPart,
    crate::{
        id::WorkerId,
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
    derive_more::{Display, From, FromStr, Into},
    serde::{Deserialize, Serialize},
};

/// The crashes at different moments that quarantine a part which no answer has got past.
pub const MIN_CRASHES: usize = 3;
/// The same for a part which some answer has got past before.
pub const MIN_CRASHES_PASSED: usize = 5;
/// Crashes within this time count as one moment.
const SAME_MOMENT_MS: DurationMs = DurationMs(50);
/// Reports of one engine's crash by several gateways differ by less than this; the engine takes longer
/// to start again.
const SAME_CRASH_MS: DurationMs = DurationMs(1_000);
/// How long a crash counts as evidence.
const EVIDENCE_MS: DurationMs = DurationMs(600_000);
/// How long a quarantine lasts without another crash.
const TERM_MS: DurationMs = DurationMs(600_000);
/// The most times that the term doubles.
const MAX_DOUBLINGS: u32 = 5;
/// How long a request that was let through after the term may take to its first event.
const TRIAL_MS: DurationMs = DurationMs(30_000);
/// The range over which gateways spread the end of a term.
const TERM_SPREAD_MS: u64 = 60_000;
/// Crashes that are kept. The oldest are dropped first.
const MAX_CRASHES: usize = 128;
/// Parts of one crash that are kept. The first ones are shared by the most requests.
const MAX_PARTS_EACH: usize = 16;
/// Quarantines that are kept. Those that refused nothing for the longest time are dropped first.
const MAX_QUARANTINES: usize = 64;
/// Parts whose last pass is kept. The least recently passed half is dropped at this limit.
const MAX_PASSES: usize = 4_096;
/// The least time between two reports of the same part's pass to the other entry VMs.
const PASS_REPORT_INTERVAL_MS: DurationMs = DurationMs(300);
/// Crashes and quarantines in one report.
const MAX_REPORTED: usize = 12;
/// Rows of each kind in a merged report.
const MAX_MERGED: usize = 48;

/// The id of a prompt part: the hash of its name.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct PartId(pub u64);

/// The parts of a prompt that other requests may share: all but the last one.
#[must_use]
pub fn shared_parts(parts: &[PromptPart]) -> Vec<PartId> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| PartId(part.id)).collect()
}

/// A crash of an engine while it began to answer requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The engine.
    pub worker: WorkerId,
    /// The start of the engine's incarnation that crashed, by its own description.
    pub started_at_ms: u64,
    /// The time since the crash.
    pub age_ms: DurationMs,
    /// The shared parts of the requests whose answer had begun and had no event yet.
    pub parts: Vec<PartId>,
}

/// A set of parts whose requests are refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The parts, all of which a refused request has.
    pub parts: Vec<PartId>,
    /// The time since the last crash that they explain.
    pub age_ms: DurationMs,
}

/// That an answer got past a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassReport {
    /// The part.
    pub part: PartId,
    /// The time since.
    pub age_ms: DurationMs,
}

/// What gateways tell each other about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Crashes that no quarantine explains.
    pub crashes: Vec<CrashReport>,
    /// Quarantines.
    pub quarantines: Vec<QuarantineNotice>,
    /// Parts that answers got past.
    pub passes: Vec<PassReport>,
}

impl QuarantineReport {
    /// Whether there is nothing to report.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantines.is_empty() && self.passes.is_empty()
    }

    /// Adds another report. Rows beyond the size of a report are dropped; a later report repeats them.
    pub fn merge(&mut self, other: Self) {
        for crash in other.crashes {
            let is_same = |row: &CrashReport| {
                row.worker == crash.worker && row.started_at_ms == crash.started_at_ms
            };
            if let Some(index) = self.crashes.iter().position(is_same) {
                let parts = &mut self.crashes[index].parts;
                parts.extend(crash.parts);
                parts.sort_unstable();
                parts.dedup();
                parts.truncate(MAX_PARTS_EACH);
            } else if self.crashes.len() < MAX_MERGED {
                self.crashes.push(crash);
            }
        }
        for notice in other.quarantines {
            let is_known = self.quarantines.iter().any(|row| row.parts == notice.parts);
            if !is_known && self.quarantines.len() < MAX_MERGED {
                self.quarantines.push(notice);
            }
        }
        for pass in other.passes {
            let known = self.passes.iter().position(|row| row.part == pass.part);
            if let Some(index) = known {
                let age_ms = &mut self.passes[index].age_ms;
                *age_ms = pass.age_ms.min(*age_ms);
            } else if self.passes.len() < MAX_MERGED {
                self.passes.push(pass);
            }
        }
    }
}

/// A change of what is known about crashes, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A crash was added to the evidence.
    Crashed(CrashReport),
    /// Requests with these parts are refused from now on.
    Began {
        /// The parts.
        parts: Vec<PartId>,
        /// The crashes that led to it; none if another gateway said so.
        crashes: usize,
    },
    /// Requests with these parts are no longer refused, since an answer got past one of them.
    Ended {
        /// The parts.
        parts: Vec<PartId>,
    },
}

/// A quarantine or a suspicion, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The parts.
    pub parts: Vec<PartId>,
    /// Whether requests with them are refused.
    pub is_quarantined: bool,
    /// The crashes at different moments that count against them.
    pub crashes: usize,
    /// The time since the last one.
    pub age_ms: DurationMs,
    /// The requests that this gateway refused.
    pub refused: u64,
}

#[derive(Clone, Debug)]
struct Crash {
    worker: WorkerId,
    started_at_ms: u64,
    at_ms: TimeMs,
    parts: Vec<PartId>,
}

#[derive(Clone, Debug)]
struct Quarantined {
    parts: Vec<PartId>,
    crashes: usize,
    last_crash_at_ms: TimeMs,
    last_refusal_at_ms: TimeMs,
    refused: u64,
    doublings: u32,
    trial_at_ms: Option<TimeMs>,
}

impl Quarantined {
    fn is_in(&self, parts: &[PartId]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    /// When requests are let through again, one at a time. `random` spreads the gateways.
    fn ends_at_ms(&self, random: u64) -> TimeMs {
        let term_ms = DurationMs(TERM_MS.0 << self.doublings.min(MAX_DOUBLINGS));
        self.last_crash_at_ms
            .after(term_ms)
            .after(DurationMs(random % TERM_SPREAD_MS))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Pass {
    at_ms: TimeMs,
    reported_at_ms: Option<TimeMs>,
}

impl Pass {
    fn is_report_due(&self, now: TimeMs) -> bool {
        let reported_at_ms = self.reported_at_ms;
        reported_at_ms.is_none_or(|at_ms| now.since(at_ms) >= PASS_REPORT_INTERVAL_MS)
    }
}

/// The evidence of one gateway and the quarantines that follow from it.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: Vec<Crash>,
    quarantined: Vec<Quarantined>,
    passes: VecMap<PartId, Pass>,
    /// Spreads the ends of terms over the gateways.
    random: u64,
}

impl Quarantine {
    /// An empty quarantine. `random` spreads the ends of terms over the gateways.
    #[must_use]
    pub fn new(random: u64) -> Self {
        Self {
            random,
            ..Self::default()
        }
    }

    /// Whether requests with these shared parts are refused. After the term, one request at a time is
    /// let through.
    pub fn refuses(&mut self, parts: &[PartId], now: TimeMs) -> bool {
        let random = self.random;
        let mut is_refused = false;
        for row in self.quarantined.iter_mut().filter(|row| row.is_in(parts)) {
            let is_in_trial = row.trial_at_ms.is_some_and(|at| now.since(at) < TRIAL_MS);
            if now >= row.ends_at_ms(random) && !is_in_trial {
                row.trial_at_ms = Some(now);
            } else {
                row.refused += 1;
                row.last_refusal_at_ms = now;
                is_refused = true;
            }
        }
        is_refused
    }

    /// Whether a request with these shared parts that is in progress must be given up.
    #[must_use]
    pub fn recalls(&self, parts: &[PartId]) -> bool {
        let mut rows = self.quarantined.iter();
        rows.any(|row| row.trial_at_ms.is_none() && row.is_in(parts))
    }

    /// Records that an answer got past these parts. Returns what the other entry VMs must know.
    pub fn record_pass(
        &mut self,
        parts: &[PartId],
        now: TimeMs,
    ) -> (Vec<PassReport>, Vec<QuarantineChange>) {
        let mut reports = Vec::new();
        for part in parts {
            let is_needed = self.counts_against(*part);
            self.forget_old_passes();
            let pass = self.passes.get_or_insert_with(*part, Pass::default);
            pass.at_ms = pass.at_ms.max(now);
            if is_needed && pass.is_report_due(now) {
                pass.reported_at_ms = Some(now);
                reports.push(PassReport {
                    part: *part,
                    age_ms: DurationMs(0),
                });
            }
        }
        (reports, self.release())
    }

    /// Records a crash that this gateway or another one saw. Returns whether it was unknown, and what
    /// follows from it.
    pub fn record_crash(
        &mut self,
        report: &CrashReport,
        now: TimeMs,
    ) -> (bool, Vec<QuarantineChange>) {
        let at_ms = TimeMs(now.0.saturating_sub(report.age_ms.0));
        if report.age_ms >= EVIDENCE_MS {
            return (false, Vec::new());
        }
        if !self.add_evidence(report, at_ms) {
            return (false, Vec::new());
        }
        let explained = self
            .quarantined
            .iter_mut()
            .find(|row| row.is_in(&report.parts));
        if let Some(row) = explained {
            // Somebody let a request through after the term.
            row.doublings += u32::from(at_ms >= row.ends_at_ms(0));
            row.last_crash_at_ms = row.last_crash_at_ms.max(at_ms);
            row.trial_at_ms = None;
            return (true, Vec::new());
        }
        let mut changes = vec![QuarantineChange::Crashed(report.clone())];
        changes.extend(self.infer(now));
        (true, changes)
    }

    /// Adds a crash to the evidence. Returns whether that says anything new.
    fn add_evidence(&mut self, report: &CrashReport, at_ms: TimeMs) -> bool {
        let known = self.crashes.iter().position(|crash| {
            crash.worker == report.worker
                && crash.started_at_ms == report.started_at_ms
                && crash.at_ms.since(at_ms).max(at_ms.since(crash.at_ms)) < SAME_CRASH_MS
        });
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            let index = self.crashes.partition_point(|crash| crash.at_ms <= at_ms);
            let crash = Crash {
                worker: report.worker,
                started_at_ms: report.started_at_ms,
                at_ms,
                parts: Vec::new(),
            };
            self.crashes.insert(index, crash);
            index
        });
        let crash = &mut self.crashes[index];
        let mut is_new = false;
        for part in &report.parts {
            if crash.parts.len() < MAX_PARTS_EACH && !crash.parts.contains(part) {
                crash.parts.push(*part);
                is_new = true;
            }
        }
        is_new
    }

    /// Applies what another gateway reports. Returns what this one must report in turn, and what follows.
    pub fn apply(
        &mut self,
        report: &QuarantineReport,
        now: TimeMs,
    ) -> (Vec<PassReport>, Vec<QuarantineChange>) {
        let mut changes = Vec::new();
        for pass in &report.passes {
            let at_ms = TimeMs(now.0.saturating_sub(pass.age_ms.0));
            self.forget_old_passes();
            let known = self.passes.get_or_insert_with(pass.part, Pass::default);
            known.at_ms = known.at_ms.max(at_ms);
            // The others have heard of it too.
            known.reported_at_ms = known.reported_at_ms.max(Some(at_ms));
        }
        changes.extend(self.release());
        for crash in &report.crashes {
            changes.extend(self.record_crash(crash, now).1);
        }
        for notice in &report.quarantines {
            changes.extend(self.adopt(notice, now));
        }
        (self.passes_to_report(report, now), changes)
    }

    /// Takes in a quarantine that another gateway reports, unless an answer has got past it since.
    fn adopt(&mut self, notice: &QuarantineNotice, now: TimeMs) -> Option<QuarantineChange> {
        let at_ms = TimeMs(now.0.saturating_sub(notice.age_ms.0));
        let is_cleared = notice
            .parts
            .iter()
            .any(|part| self.passed_since(*part, at_ms));
        if is_cleared || notice.parts.is_empty() {
            return None;
        }
        let known = self
            .quarantined
            .iter_mut()
            .find(|row| row.is_in(&notice.parts));
        if let Some(row) = known {
            if row.parts.len() == notice.parts.len() {
                row.last_crash_at_ms = row.last_crash_at_ms.max(at_ms);
            }
            return None;
        }
        Some(self.begin(notice.parts.clone(), 0, at_ms, now))
    }

    fn begin(
        &mut self,
        parts: Vec<PartId>,
        crashes: usize,
        last_crash_at_ms: TimeMs,
        now: TimeMs,
    ) -> QuarantineChange {
        // A quarantine of more parts refuses nothing that this one doesn't.
        self.quarantined
            .retain(|row| !parts.iter().all(|part| row.parts.contains(part)));
        if self.quarantined.len() >= MAX_QUARANTINES {
            let rows = self.quarantined.iter().enumerate();
            let idle = rows.min_by_key(|row| row.1.last_refusal_at_ms);
            if let Some((index, _)) = idle {
                self.quarantined.remove(index);
            }
        }
        self.quarantined.push(Quarantined {
            parts: parts.clone(),
            crashes,
            last_crash_at_ms,
            last_refusal_at_ms: now,
            refused: 0,
            doublings: 0,
            trial_at_ms: None,
        });
        QuarantineChange::Began { parts, crashes }
    }

    /// Quarantines the parts that the evidence suffices for.
    fn infer(&mut self, now: TimeMs) -> Vec<QuarantineChange> {
        self.crashes
            .retain(|crash| now.since(crash.at_ms) < EVIDENCE_MS);
        let mut changes = Vec::new();
        // Each round explains some crashes.
        for _ in 0..MAX_CRASHES {
            let Some((parts, crashes, last_at_ms)) = self.strongest() else {
                break;
            };
            changes.push(self.begin(parts, crashes, last_at_ms, now));
        }
        changes
    }

    /// The parts with the most crashes of those that have enough, their crashes, and the time of the last
    /// one.
    fn strongest(&self) -> Option<(Vec<PartId>, usize, TimeMs)> {
        let mut suspects: Vec<(PartId, Vec<usize>)> = Vec::new();
        for part in self.accused() {
            let crashes: Vec<usize> = self.crashes_with(part).collect();
            let has_passed = self.passes.contains(&part);
            let needed = if has_passed {
                MIN_CRASHES_PASSED
            } else {
                MIN_CRASHES
            };
            if self.moments(&crashes) >= needed {
                suspects.push((part, crashes));
            }
        }
        let (_, strongest) = suspects.iter().max_by_key(|(part, crashes)| {
            let has_passed = self.passes.contains(part);
            (!has_passed, self.moments(crashes), *part)
        })?;
        let with_same_crashes = suspects.iter().filter(|row| row.1 == *strongest);
        let mut parts: Vec<PartId> = with_same_crashes.map(|row| row.0).collect();
        // Of parts with the same crashes, one that answers got past is the least likely cause.
        if parts.iter().any(|part| !self.passes.contains(part)) {
            parts.retain(|part| !self.passes.contains(part));
        }
        let last = strongest.last().copied().unwrap_or_default();
        Some((parts, self.moments(strongest), self.crashes[last].at_ms))
    }

    /// Whether a quarantine explains a crash, so that it counts against no other part.
    fn is_explained(&self, crash: &Crash) -> bool {
        let mut rows = self.quarantined.iter();
        rows.any(|row| row.is_in(&crash.parts))
    }

    /// The parts that count in some crash.
    fn accused(&self) -> Vec<PartId> {
        let crashes = self
            .crashes
            .iter()
            .filter(|crash| !self.is_explained(crash));
        let mut parts: Vec<PartId> = crashes.flat_map(|crash| crash.parts.clone()).collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// The crashes that count against a part, by index.
    fn crashes_with(&self, part: PartId) -> impl Iterator<Item = usize> {
        let crashes = self.crashes.iter().enumerate();
        crashes
            .filter(move |(_, crash)| {
                crash.parts.contains(&part)
                    && !self.passed_since(part, crash.at_ms)
                    && !self.is_explained(crash)
            })
            .map(|row| row.0)
    }

    /// The different moments of some crashes, which are in the order of time.
    fn moments(&self, crashes: &[usize]) -> usize {
        let mut count = 0;
        let mut moment: Option<TimeMs> = None;
        for index in crashes {
            let at_ms = self.crashes[*index].at_ms;
            if moment.is_none_or(|earlier| at_ms.since(earlier) >= SAME_MOMENT_MS) {
                count += 1;
                moment = Some(at_ms);
            }
        }
        count
    }

    /// Whether any crash or quarantine counts against a part.
    fn counts_against(&self, part: PartId) -> bool {
        let mut rows = self.quarantined.iter();
        rows.any(|row| row.parts.contains(&part)) || self.crashes_with(part).next().is_some()
    }

    fn passed_since(&self, part: PartId, at_ms: TimeMs) -> bool {
        let pass = self.passes.get(&part);
        pass.is_some_and(|pass| pass.at_ms > at_ms)
    }

    /// The passes that a report lacks and that clear a part which it names, or make it less likely to
    /// be the cause, unless they were reported lately.
    fn passes_to_report(&mut self, report: &QuarantineReport, now: TimeMs) -> Vec<PassReport> {
        let crashes = report.crashes.iter().map(|row| (&row.parts, row.age_ms));
        let quarantines = report.quarantines.iter();
        let quarantines = quarantines.map(|row| (&row.parts, row.age_ms));
        let mut reports: Vec<PassReport> = Vec::new();
        for (part, crash_age_ms) in crashes
            .chain(quarantines)
            .flat_map(|(parts, age_ms)| parts.iter().map(move |part| (*part, age_ms)))
        {
            let Some(pass) = self.passes.get_mut(&part) else {
                continue;
            };
            let age_ms = now.since(pass.at_ms);
            let mut reported = report.passes.iter().filter(|row| row.part == part);
            let is_known = reported.any(|row| row.age_ms < crash_age_ms || age_ms >= crash_age_ms);
            if !is_known && pass.is_report_due(now) {
                pass.reported_at_ms = Some(now);
                reports.push(PassReport { part, age_ms });
            }
        }
        reports
    }

    /// Ends quarantines of parts that answers have got past since. One of several parts is taken out
    /// of its quarantine.
    fn release(&mut self) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        let passes = &self.passes;
        self.quarantined.retain_mut(|row| {
            let before = row.parts.clone();
            let last_at_ms = row.last_crash_at_ms;
            row.parts
                .retain(|part| passes.get(part).is_none_or(|pass| pass.at_ms <= last_at_ms));
            if row.parts.is_empty() {
                changes.push(QuarantineChange::Ended { parts: before });
            } else if row.parts.len() < before.len() {
                changes.push(QuarantineChange::Began {
                    parts: row.parts.clone(),
                    crashes: row.crashes,
                });
            }
            !row.parts.is_empty()
        });
        changes
    }

    fn forget_old_passes(&mut self) {
        if self.passes.len() < MAX_PASSES {
            return;
        }
        let mut times: Vec<TimeMs> = self.passes.iter().map(|row| row.1.at_ms).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        let accused = self.accused();
        let quarantined = &self.quarantined;
        self.passes.retain(|part, pass| {
            pass.at_ms > median
                || accused.binary_search(part).is_ok()
                || quarantined.iter().any(|row| row.parts.contains(part))
        });
    }

    /// What other gateways must know, for a periodic report that makes up for lost ones.
    #[must_use]
    pub fn report(&self, now: TimeMs) -> QuarantineReport {
        let counts =
            |crash: &&Crash| now.since(crash.at_ms) < EVIDENCE_MS && !self.is_explained(crash);
        let crashes = self.crashes.iter().rev().filter(counts);
        let crashes = crashes.take(MAX_REPORTED).map(|crash| CrashReport {
            worker: crash.worker,
            started_at_ms: crash.started_at_ms,
            age_ms: now.since(crash.at_ms),
            parts: crash.parts.clone(),
        });
        let crashes: Vec<CrashReport> = crashes.collect();
        let mut rows: Vec<&Quarantined> = self.quarantined.iter().collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.last_refusal_at_ms));
        let quarantines = rows.iter().take(MAX_REPORTED).map(|row| QuarantineNotice {
            parts: row.parts.clone(),
            age_ms: now.since(row.last_crash_at_ms),
        });
        let quarantines: Vec<QuarantineNotice> = quarantines.collect();
        let named = crashes.iter().flat_map(|row| &row.parts);
        let named = named.chain(quarantines.iter().flat_map(|row| &row.parts));
        QuarantineReport {
            passes: self.known_passes(named, now),
            crashes,
            quarantines,
        }
    }

    /// A report of one crash, with what is known of its parts.
    #[must_use]
    pub fn report_of(&self, crash: CrashReport, now: TimeMs) -> QuarantineReport {
        QuarantineReport {
            passes: self.known_passes(crash.parts.iter(), now),
            crashes: vec![crash],
            quarantines: Vec::new(),
        }
    }

    fn known_passes<'a, I>(&self, parts: I, now: TimeMs) -> Vec<PassReport>
    where
        I: Iterator<Item = &'a PartId>,
    {
        let mut parts: Vec<PartId> = parts.copied().collect();
        parts.sort_unstable();
        parts.dedup();
        let passes = parts.into_iter().filter_map(|part| {
            let age_ms = now.since(self.passes.get(&part)?.at_ms);
            Some(PassReport { part, age_ms })
        });
        passes.collect()
    }

    /// The quarantined and the suspected parts, for operators.
    #[must_use]
    pub fn suspects(&self, now: TimeMs) -> Vec<Suspect> {
        let quarantined = self.quarantined.iter().map(|row| Suspect {
            parts: row.parts.clone(),
            is_quarantined: true,
            crashes: row.crashes,
            age_ms: now.since(row.last_crash_at_ms),
            refused: row.refused,
        });
        let suspected = self.accused().into_iter().filter_map(|part| {
            let crashes: Vec<usize> = self.crashes_with(part).collect();
            let last = crashes.last()?;
            Some(Suspect {
                parts: vec![part],
                is_quarantined: false,
                crashes: self.moments(&crashes),
                age_ms: now.since(self.crashes[*last].at_ms),
                refused: 0,
            })
        });
        quarantined.chain(suspected).collect()
    }
}
