//! Finds the requests and prompt parts on which backend servers crash, and keeps requests with them
//! away from servers.
//!
//! A crash ends everything that runs on a server. Each request that ran there and had no event or
//! complete answer yet may have caused it: as a whole, so that its repeats do it again, or by any part
//! of its prompt but the last, which other requests share. What an answer gets past is cleared of all
//! crashes before that. What is left is counted over the crashes of all gateways:
//!
//! - It takes [`MIN_CRASHES`] crashes at different moments, or [`MIN_CRASHES_UNLIKELY`] if some answer has
//!   got past it before, or for a request while servers crash without it. Servers that crash together
//!   count once, since something else may have ended them all.
//! - What explains most crashes is quarantined, and these don't count against others. A part isn't while
//!   one request explains as many; parts that were in just the same crashes are quarantined together:
//!   only requests with all of them are refused, until one of them is cleared.
//! - Of requests that were in the same crashes none is. A request in two crashes is suspected and runs
//!   apart from other suspects, one attempt at a time, so that the next crash tells them apart.
//!
//! A connection that ends may be lost to one entry VM alone. What that one can't tell from a crash is held back
//! until the server's next start or another entry VM confirms the crash.
//!
//! Evidence is taken in at once, and conclusions are drawn once for what arrives within
//! [`CONCLUSION_DELAY_MS`], or earlier for a request that they may concern.
//!
//! A quarantine ends when an answer gets past it, or after [`TERM_MS`] without a crash: then one
//! request at a time is let through, and a single crash begins a term twice as long.

mod evidence;
mod identity;
mod report;
mod trial;

pub use {
    evidence::{MIN_CRASHES, MIN_CRASHES_UNLIKELY},
    identity::{
        Culprit, CulpritError, PartId, RequestContent, RequestDigest, RequestIdentity, Trigger,
        shared_parts,
    },
    report::{
        AccusedRequest, CrashReport, PassReport, QuarantineNotice, QuarantineReport, TrialNotice,
    },
};

use {
    crate::{
        id::WorkerId,
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
    evidence::{Accusation, EVIDENCE_MS, Evidence},
    serde::{Deserialize, Serialize},
    trial::Trials,
};

/// The crashes that make a request suspected.
const MIN_SUSPICIONS: usize = 2;
/// How long a quarantine lasts without another crash.
const TERM_MS: DurationMs = DurationMs(600_000);
/// The most times that the term doubles.
const MAX_DOUBLINGS: u32 = 5;
/// How long a request that was let through after the term may take to its first event.
const TRIAL_MS: DurationMs = DurationMs(30_000);
/// The range over which gateways spread the end of a term.
const TERM_SPREAD_MS: u64 = 60_000;
/// Quarantines that are kept. Those that refused nothing for the longest time are dropped first.
const MAX_QUARANTINES: usize = 64;
/// Crashes and quarantines in one report.
const MAX_REPORTED: usize = 12;
/// How long new evidence may wait for more, so that conclusions are drawn once for all of it.
const CONCLUSION_DELAY_MS: DurationMs = DurationMs(25);
/// How long a request that is in one crash only is in the periodic reports. Until then a lost report is
/// made up for.
const SINGLE_REPORT_MS: DurationMs = DurationMs(10_000);

/// How long a crash may be held back. A later start of its server may have another reason.
const UNCONFIRMED_MS: DurationMs = DurationMs(10_000);
/// Crashes that are held back. The oldest are dropped first.
const MAX_UNCONFIRMED: usize = 128;

/// How a request may be sent to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// To any server.
    Free,
    /// To a server at which no other suspected request runs.
    Apart,
    /// Not now, since another attempt of the same request is in progress and may crash its server, or
    /// other gateways may still report what ran at a server that it may have crashed.
    Later,
    /// To none.
    Refused,
}

/// A change of what is known about crashes, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Crashes were added to the evidence that no quarantine explains.
    Crashed(Vec<CrashReport>),
    /// Requests are refused from now on.
    Began {
        /// What they have in common.
        culprit: Culprit,
        /// The crashes that led to it; none if another gateway said so.
        crashes: usize,
    },
    /// Requests are no longer refused, since an answer got past what they have in common, or an
    /// operator ended it.
    Ended {
        /// What they have in common.
        culprit: Culprit,
    },
}

/// A quarantine or a suspicion, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request or the prompt parts.
    pub culprit: Culprit,
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
struct Quarantined {
    culprit: Culprit,
    crashes: usize,
    last_crash_at_ms: TimeMs,
    last_refusal_at_ms: TimeMs,
    refused: u64,
    doublings: u32,
    trial_at_ms: Option<TimeMs>,
}

impl Quarantined {
    /// When requests are let through again, one at a time. `random` spreads the gateways.
    fn ends_at_ms(&self, random: u64) -> TimeMs {
        let term_ms = DurationMs(TERM_MS.0 << self.doublings.min(MAX_DOUBLINGS));
        self.last_crash_at_ms
            .after(term_ms)
            .after(DurationMs(random % TERM_SPREAD_MS))
    }
}

/// A crash that may be the loss of this entry VM's own connection instead.
#[derive(Clone, Debug)]
struct Unconfirmed {
    crash: CrashReport,
    at_ms: TimeMs,
}

/// What follows from the evidence for requests that arrive, so that most need no look at it.
#[derive(Clone, Debug, Default)]
struct Findings {
    /// What some crash counts against, with the number of crashes. New crashes are counted at once;
    /// what clears or explains them, with the next conclusions.
    accused: VecMap<Trigger, usize>,
    /// The requests with enough crashes to be quarantined, in order, and when reports of the last one are
    /// complete.
    settling: Vec<(RequestDigest, TimeMs)>,
}

/// The evidence of one gateway and the quarantines that follow from it.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    evidence: Evidence,
    unconfirmed: Vec<Unconfirmed>,
    findings: Findings,
    /// When the evidence changed first since the last conclusions.
    changed_at_ms: Option<TimeMs>,
    /// The crashes since then that no quarantine explained.
    news: Vec<CrashReport>,
    /// How often conclusions were drawn.
    inferences: u64,
    quarantined: Vec<Quarantined>,
    trials: Trials,
    /// Whether no other gateway may report anything.
    is_alone: bool,
    /// Spreads the ends of terms over the gateways.
    random: u64,
}

impl Quarantine {
    /// An empty quarantine of a gateway that starts now. `random` spreads the ends of terms over the
    /// gateways.
    #[must_use]
    pub fn new(random: u64, now: TimeMs) -> Self {
        Self {
            evidence: Evidence::new(now),
            random,
            ..Self::default()
        }
    }

    /// Whether and how a request may be sent, by conclusions from all evidence that may concern it, and
    /// what followed from these. After the term of a quarantine, one request at a time is let through.
    pub fn admit(
        &mut self,
        request: &RequestIdentity,
        now: TimeMs,
    ) -> (Admission, Vec<QuarantineChange>) {
        let is_concerned = self.changed_at_ms.is_some()
            && request
                .triggers()
                .any(|trigger| self.may_be_blamed(trigger));
        let changes = if is_concerned {
            self.infer(now)
        } else {
            self.settle(now)
        };
        (self.admission(request, now), changes)
    }

    fn admission(&mut self, request: &RequestIdentity, now: TimeMs) -> Admission {
        let random = self.random;
        let mut is_refused = false;
        let rows = self.quarantined.iter_mut();
        for row in rows.filter(|row| row.culprit.is_in(request)) {
            let is_in_trial = row.trial_at_ms.is_some_and(|at| now.since(at) < TRIAL_MS);
            if now >= row.ends_at_ms(random) && !is_in_trial {
                row.trial_at_ms = Some(now);
            } else {
                row.refused += 1;
                row.last_refusal_at_ms = now;
                is_refused = true;
            }
        }
        if is_refused {
            Admission::Refused
        } else if !self.is_suspected(request.digest) {
            Admission::Free
        } else if self.trials.has(request.digest, now) || self.is_settling(request.digest, now) {
            Admission::Later
        } else {
            Admission::Apart
        }
    }

    /// Whether a request that is in progress must be given up.
    #[must_use]
    pub fn recalls(&self, request: &RequestIdentity) -> bool {
        let mut rows = self.quarantined.iter();
        rows.any(|row| row.trial_at_ms.is_none() && row.culprit.is_in(request))
    }

    /// Whether a request may be sent apart from other suspected ones only.
    #[must_use]
    pub fn is_suspected(&self, digest: RequestDigest) -> bool {
        self.crash_count(Trigger::Request(digest)) >= MIN_SUSPICIONS
    }

    /// The crashes that count against a trigger, or more.
    fn crash_count(&self, trigger: Trigger) -> usize {
        let count = self.findings.accused.get(&trigger);
        count.copied().unwrap_or_default()
    }

    /// Whether conclusions from new evidence may change how requests with a trigger are sent.
    fn may_be_blamed(&self, trigger: Trigger) -> bool {
        let needed = match trigger {
            Trigger::Request(_) => MIN_SUSPICIONS,
            Trigger::Part(_) => self.evidence.needed_crashes(trigger),
        };
        self.crash_count(trigger) >= needed
    }

    /// Records whether there are other gateways, whose reports must be waited for.
    pub const fn set_alone(&mut self, is_alone: bool) {
        self.is_alone = is_alone;
    }

    fn is_settling(&self, digest: RequestDigest, now: TimeMs) -> bool {
        let mut rows = self.findings.settling.iter();
        rows.any(|row| row.0 == digest && now < row.1)
    }

    /// When [`Self::settle`] is due; `None` if no evidence waits.
    #[must_use]
    pub fn settles_at_ms(&self) -> Option<TimeMs> {
        let settling = self.findings.settling.iter().map(|row| row.1);
        let changed_at_ms = self.changed_at_ms;
        let concluding = changed_at_ms.map(|at_ms| at_ms.after(CONCLUSION_DELAY_MS));
        settling.chain(concluding).min()
    }

    /// How often conclusions were drawn from the evidence.
    #[must_use]
    pub const fn inferences(&self) -> u64 {
        self.inferences
    }

    /// Draws the conclusions that waited for other evidence, or for the reports of other gateways.
    pub fn settle(&mut self, now: TimeMs) -> Vec<QuarantineChange> {
        if self.settles_at_ms().is_none_or(|at_ms| now < at_ms) {
            return Vec::new();
        }
        self.infer(now)
    }

    /// Records that a request is sent to a server, for `limit_ms` at the most. Returns what the other
    /// entry VMs must know of it, if it is suspected.
    pub fn begin_trial(
        &mut self,
        digest: RequestDigest,
        worker: WorkerId,
        limit_ms: DurationMs,
        now: TimeMs,
    ) -> Option<TrialNotice> {
        if !self.is_suspected(digest) {
            return None;
        }
        let notice = TrialNotice {
            digest,
            worker,
            left_ms: limit_ms,
        };
        self.trials.apply(&notice, now);
        Some(notice)
    }

    /// Whether a trial that has begun must give way to another one, which some other gateway began at the
    /// same moment.
    #[must_use]
    pub fn gives_way(&self, begun: &TrialNotice, now: TimeMs) -> bool {
        self.trials.has_precedent(begun, now)
    }

    /// Records that a request is no longer at a server. Returns what the other entry VMs must know.
    pub fn end_trial(&mut self, begun: &TrialNotice, now: TimeMs) -> TrialNotice {
        let notice = TrialNotice {
            left_ms: DurationMs(0),
            ..*begun
        };
        self.trials.apply(&notice, now);
        notice
    }

    /// The servers at which suspected requests run.
    #[must_use]
    pub fn servers_on_trial(&self, now: TimeMs) -> Vec<WorkerId> {
        self.trials.servers(now)
    }

    /// Records that an answer got past a request and the parts of its prompt. Returns what the other
    /// entry VMs must know.
    pub fn record_pass(
        &mut self,
        request: &RequestIdentity,
        now: TimeMs,
    ) -> (Vec<PassReport>, Vec<QuarantineChange>) {
        self.record_passes(request.triggers(), now)
    }

    /// Ends a quarantine or a suspicion by hand. Returns what the other entry VMs must know.
    pub fn lift(
        &mut self,
        culprit: &Culprit,
        now: TimeMs,
    ) -> (Vec<PassReport>, Vec<QuarantineChange>) {
        self.record_passes(culprit.triggers().into_iter(), now)
    }

    fn record_passes<I>(
        &mut self,
        triggers: I,
        now: TimeMs,
    ) -> (Vec<PassReport>, Vec<QuarantineChange>)
    where
        I: Iterator<Item = Trigger>,
    {
        let mut reports = Vec::new();
        let mut clears = false;
        for trigger in triggers {
            let is_accused = self.counts_against(trigger);
            // Each request is another one, and of most nothing needs to be kept.
            if matches!(trigger, Trigger::Request(_)) && !is_accused {
                continue;
            }
            clears |= is_accused;
            self.limit_passes();
            if self.evidence.record_pass(trigger, is_accused, now) {
                reports.push(PassReport {
                    trigger,
                    age_ms: DurationMs(0),
                });
            }
        }
        if !clears {
            return (reports, Vec::new());
        }
        (reports, self.release(now))
    }

    /// Whether a crash of this server is known that happened at about a time.
    #[must_use]
    pub fn has_crashed(&self, worker: WorkerId, started_at_ms: u64, at_ms: TimeMs) -> bool {
        self.evidence.has_crashed(worker, started_at_ms, at_ms)
    }

    /// Whether a crash of an incarnation of a server is known.
    #[must_use]
    pub fn has_ended(&self, worker: WorkerId, started_at_ms: u64) -> bool {
        self.evidence.has_ended(worker, started_at_ms)
    }

    /// Holds a crash back that may be the loss of this entry VM's own connection.
    pub fn hold_back(&mut self, crash: CrashReport, now: TimeMs) {
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            self.unconfirmed.remove(0);
        }
        let at_ms = TimeMs(now.0.saturating_sub(crash.age_ms.0));
        self.unconfirmed.push(Unconfirmed { crash, at_ms });
    }

    /// Takes the crashes that were held back and are confirmed: by another entry VM, or by another start of
    /// the server, whose present one `started_at_ms` returns.
    pub fn take_confirmed<F>(&mut self, started_at_ms: F, now: TimeMs) -> Vec<CrashReport>
    where
        F: Fn(WorkerId) -> Option<u64>,
    {
        let evidence = &self.evidence;
        self.unconfirmed
            .retain(|row| now.since(row.at_ms) < UNCONFIRMED_MS);
        let confirmed = self.unconfirmed.extract_if(.., |row| {
            let crash = &row.crash;
            let start = started_at_ms(crash.worker);
            start.is_some_and(|start| start != crash.started_at_ms)
                || evidence.has_crashed(crash.worker, crash.started_at_ms, row.at_ms)
        });
        let confirmed = confirmed.map(|row| CrashReport {
            age_ms: now.since(row.at_ms),
            ..row.crash
        });
        confirmed.collect()
    }

    /// Records a crash that this gateway or another one saw. Returns whether that says anything new.
    pub fn record_crash(&mut self, report: &CrashReport, now: TimeMs) -> bool {
        let at_ms = TimeMs(now.0.saturating_sub(report.age_ms.0));
        if report.age_ms >= EVIDENCE_MS {
            return false;
        }
        let Some(accused) = self.evidence.add(report, !self.is_alone, now) else {
            return false;
        };
        for trigger in accused {
            *self.findings.accused.get_or_insert_with(trigger, || 0) += 1;
        }
        self.changed_at_ms.get_or_insert(now);
        let mut is_explained = false;
        for row in &mut self.quarantined {
            let mut requests = report.requests.iter();
            if requests.any(|accused| row.culprit.is_in(&accused.request)) {
                // Somebody let a request through after the term.
                row.doublings += u32::from(at_ms >= row.ends_at_ms(0));
                row.last_crash_at_ms = row.last_crash_at_ms.max(at_ms);
                row.trial_at_ms = None;
                is_explained = true;
            }
        }
        if !is_explained {
            self.news.push(report.clone());
        }
        true
    }

    /// Applies what another gateway reports. Returns what this one must report in turn, and what follows.
    pub fn apply(
        &mut self,
        report: &QuarantineReport,
        now: TimeMs,
    ) -> (Vec<PassReport>, Vec<QuarantineChange>) {
        let mut changes = Vec::new();
        for trial in &report.trials {
            self.trials.apply(trial, now);
        }
        let mut clears = false;
        for pass in &report.passes {
            let at_ms = TimeMs(now.0.saturating_sub(pass.age_ms.0));
            self.limit_passes();
            let is_newer = self.evidence.adopt_pass(pass.trigger, at_ms);
            clears |= is_newer && self.counts_against(pass.trigger);
        }
        if clears {
            changes.extend(self.release(now));
        }
        for crash in &report.crashes {
            self.record_crash(crash, now);
        }
        for notice in &report.quarantines {
            changes.extend(self.adopt(notice, now));
        }
        (self.passes_to_report(report, now), changes)
    }

    /// Takes in a quarantine that another gateway reports, unless an answer has got past it since.
    fn adopt(&mut self, notice: &QuarantineNotice, now: TimeMs) -> Option<QuarantineChange> {
        let at_ms = TimeMs(now.0.saturating_sub(notice.age_ms.0));
        let triggers = notice.culprit.triggers();
        let mut passed = triggers.iter();
        let is_cleared = passed.any(|trigger| self.evidence.passed_since(*trigger, at_ms));
        if is_cleared || triggers.is_empty() {
            return None;
        }
        let mut rows = self.quarantined.iter_mut();
        if let Some(row) = rows.find(|row| row.culprit.covers(&notice.culprit)) {
            if row.culprit.triggers().len() == triggers.len() {
                row.last_crash_at_ms = row.last_crash_at_ms.max(at_ms);
            }
            return None;
        }
        let change = self.begin(notice.culprit.clone(), 0, at_ms, now);
        self.update_findings();
        Some(change)
    }

    fn begin(
        &mut self,
        culprit: Culprit,
        crashes: usize,
        last_crash_at_ms: TimeMs,
        now: TimeMs,
    ) -> QuarantineChange {
        // A quarantine that refuses nothing beyond this one is not needed.
        self.quarantined.retain(|row| !culprit.covers(&row.culprit));
        if self.quarantined.len() >= MAX_QUARANTINES {
            let rows = self.quarantined.iter().enumerate();
            let idle = rows.min_by_key(|row| row.1.last_refusal_at_ms);
            if let Some((index, _)) = idle {
                self.quarantined.remove(index);
            }
        }
        self.quarantined.push(Quarantined {
            culprit: culprit.clone(),
            crashes,
            last_crash_at_ms,
            last_refusal_at_ms: now,
            refused: 0,
            doublings: 0,
            trial_at_ms: None,
        });
        QuarantineChange::Began { culprit, crashes }
    }

    fn culprits(&self) -> Vec<Culprit> {
        let rows = self.quarantined.iter();
        rows.map(|row| row.culprit.clone()).collect()
    }

    /// Quarantines what the evidence suffices for.
    fn infer(&mut self, now: TimeMs) -> Vec<QuarantineChange> {
        self.inferences += 1;
        self.changed_at_ms = None;
        self.evidence.forget_old(now);
        let news = std::mem::take(&mut self.news);
        let mut changes = Vec::new();
        if !news.is_empty() {
            changes.push(QuarantineChange::Crashed(news));
        }
        let mut accusations = self.evidence.accusations(&self.culprits());
        // Parts that no request had together in some of their crashes, which count against each of them still.
        let mut apart: Vec<Trigger> = Vec::new();
        // Each round explains some crashes, or sets such parts aside.
        for _ in 0..MAX_QUARANTINES {
            let strongest = self.evidence.strongest(&accusations, &apart, now);
            let Some((culprit, crashes, last_at_ms)) = strongest else {
                break;
            };
            let mut rows = self.quarantined.iter_mut();
            if let Some(row) = rows.find(|row| row.culprit == culprit) {
                row.crashes = crashes;
                row.last_crash_at_ms = row.last_crash_at_ms.max(last_at_ms);
                apart.extend(culprit.triggers());
            } else {
                changes.push(self.begin(culprit, crashes, last_at_ms, now));
                accusations = self.evidence.accusations(&self.culprits());
            }
        }
        self.record_findings(&accusations);
        // What is rivalled waits for the next crash.
        self.findings.settling.retain(|row| row.1 > now);
        changes
    }

    fn update_findings(&mut self) {
        let accusations = self.evidence.accusations(&self.culprits());
        self.record_findings(&accusations);
    }

    fn record_findings(&mut self, accusations: &[Accusation]) {
        let sufficient = self.evidence.sufficient(accusations);
        let settling = sufficient.iter().filter_map(|row| match row.trigger {
            Trigger::Request(digest) => Some((digest, self.evidence.settled_at_ms(row))),
            Trigger::Part(_) => None,
        });
        let accused = accusations.iter();
        self.findings = Findings {
            settling: settling.collect(),
            accused: accused
                .map(|row| (row.trigger, row.crash_count()))
                .collect(),
        };
    }

    /// Whether any crash or quarantine counts against a trigger.
    fn counts_against(&self, trigger: Trigger) -> bool {
        let mut rows = self.quarantined.iter();
        self.findings.accused.contains(&trigger)
            || rows.any(|row| match (&row.culprit, trigger) {
                (Culprit::Request(digest), Trigger::Request(other)) => *digest == other,
                (Culprit::Parts(parts), Trigger::Part(part)) => parts.contains(&part),
                _ => false,
            })
    }

    /// The passes that a report lacks and that clear what it names, or make it less likely to be the
    /// cause, unless they were reported lately.
    fn passes_to_report(&mut self, report: &QuarantineReport, now: TimeMs) -> Vec<PassReport> {
        let mut named: Vec<(Trigger, DurationMs)> = Vec::new();
        for crash in &report.crashes {
            let triggers = crash.requests.iter().flat_map(|row| row.request.triggers());
            named.extend(triggers.map(|trigger| (trigger, crash.age_ms)));
        }
        for notice in &report.quarantines {
            let triggers = notice.culprit.triggers().into_iter();
            named.extend(triggers.map(|trigger| (trigger, notice.age_ms)));
        }
        let passes = named.into_iter().filter_map(|(trigger, age_ms)| {
            self.evidence
                .pass_to_report(trigger, age_ms, &report.passes, now)
        });
        passes.collect()
    }

    /// Takes in that answers have got past what crashes count against: ends quarantines. One of several
    /// parts is taken out of its quarantine.
    fn release(&mut self, now: TimeMs) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        let evidence = &self.evidence;
        self.quarantined.retain_mut(|row| {
            let last_at_ms = row.last_crash_at_ms;
            let passed = |trigger| evidence.passed_since(trigger, last_at_ms);
            let left = match &row.culprit {
                Culprit::Request(digest) if passed(Trigger::Request(*digest)) => None,
                Culprit::Request(_) => return true,
                Culprit::Parts(parts) => {
                    let parts = parts.iter().copied();
                    let left: Vec<PartId> =
                        parts.filter(|part| !passed(Trigger::Part(*part))).collect();
                    (!left.is_empty()).then_some(Culprit::Parts(left))
                }
            };
            match left {
                None => changes.push(QuarantineChange::Ended {
                    culprit: row.culprit.clone(),
                }),
                Some(culprit) if culprit == row.culprit => return true,
                Some(culprit) => {
                    row.culprit = culprit.clone();
                    changes.push(QuarantineChange::Began {
                        culprit,
                        crashes: row.crashes,
                    });
                    return true;
                }
            }
            false
        });
        self.changed_at_ms.get_or_insert(now);
        if !changes.is_empty() {
            // The crashes that it explained count against others again.
            self.update_findings();
        }
        changes
    }

    fn limit_passes(&mut self) {
        let (accused, quarantined) = (&self.findings.accused, &self.quarantined);
        self.evidence.limit_passes(|trigger| {
            accused.contains(&trigger)
                || quarantined
                    .iter()
                    .any(|row| row.culprit.triggers().contains(&trigger))
        });
    }

    /// What other gateways must know, for a periodic report that makes up for lost ones.
    #[must_use]
    pub fn report(&self, now: TimeMs) -> QuarantineReport {
        let crashes = self
            .evidence
            .reports(&self.culprits(), MAX_REPORTED, SINGLE_REPORT_MS, now);
        let mut rows: Vec<&Quarantined> = self.quarantined.iter().collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.last_refusal_at_ms));
        let quarantines = rows.iter().take(MAX_REPORTED).map(|row| QuarantineNotice {
            culprit: row.culprit.clone(),
            age_ms: now.since(row.last_crash_at_ms),
        });
        let quarantines: Vec<QuarantineNotice> = quarantines.collect();
        let accused = crashes.iter().flat_map(|row| &row.requests);
        let named = accused.flat_map(|row| row.request.triggers());
        let named = named.chain(quarantines.iter().flat_map(|row| row.culprit.triggers()));
        QuarantineReport {
            passes: self.evidence.known_passes(named, now),
            crashes,
            quarantines,
            trials: Vec::new(),
        }
    }

    /// A report of one crash, with what is known of its requests.
    #[must_use]
    pub fn report_of(&self, crash: CrashReport, now: TimeMs) -> QuarantineReport {
        let accused = crash.requests.iter();
        let triggers = accused.flat_map(|row| row.request.triggers());
        QuarantineReport {
            passes: self.evidence.known_passes(triggers, now),
            crashes: vec![crash],
            ..QuarantineReport::default()
        }
    }

    /// What is quarantined, and the suspected requests and parts, for operators.
    #[must_use]
    pub fn suspects(&self, now: TimeMs) -> Vec<Suspect> {
        let quarantined = self.quarantined.iter().map(|row| Suspect {
            culprit: row.culprit.clone(),
            is_quarantined: true,
            crashes: row.crashes,
            age_ms: now.since(row.last_crash_at_ms),
            refused: row.refused,
        });
        let accusations = self.evidence.accusations(&self.culprits());
        let suspected = accusations.into_iter().map(|row| Suspect {
            culprit: match row.trigger {
                Trigger::Request(digest) => Culprit::Request(digest),
                Trigger::Part(part) => Culprit::Parts(vec![part]),
            },
            is_quarantined: false,
            crashes: row.moments,
            age_ms: now.since(self.evidence.last_crash_at_ms(&row)),
            refused: 0,
        });
        quarantined.chain(suspected).collect()
    }
}
