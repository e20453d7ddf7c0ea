//! The crashes that requests may have caused, and what answers have got past since.

use {
    super::{
        identity::{Culprit, PartId, RequestDigest, RequestIdentity, Trigger},
        report::{AccusedRequest, CrashReport, PassReport},
    },
    crate::{
        id::WorkerId,
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
};

/// The crashes at different moments that suffice against what no answer has got past.
pub const MIN_CRASHES: usize = 3;
/// The same for what some answer has got past before, and for a request while servers crash without it.
pub const MIN_CRASHES_UNLIKELY: usize = 5;
/// Crashes that no request explains, as with faulty hardware, from which on a request may have been in
/// some by chance.
const MIN_OTHER_CRASHES: usize = 2;
/// The crashes of a request of which a gateway may have missed the news.
const MAX_LOST_NEWS: usize = 1;
/// How long before the first crash of a request others count as going on.
const OTHER_CRASHES_MS: DurationMs = DurationMs(5_000);
/// Crashes within this time count as one moment.
const SAME_MOMENT_MS: DurationMs = DurationMs(50);
/// By how much a report may be late, so that the crash in it seems to be later than it was.
const REPORT_DELAY_MS: DurationMs = DurationMs(25);
/// Reports of one server's crash by several gateways differ by less than this; the server takes longer
/// to start again.
const SAME_CRASH_MS: DurationMs = DurationMs(1_000);
/// How long after a crash the other gateways have reported the requests that they had at the server.
const SETTLING_MS: DurationMs = DurationMs(250);
/// How long it takes until all of them have repeated what they know of an older crash.
const REPEATED_REPORTS_MS: DurationMs = DurationMs(1_100);
/// How long a crash counts as evidence.
pub(super) const EVIDENCE_MS: DurationMs = DurationMs(600_000);
/// Crashes that are kept. The oldest are dropped first.
const MAX_CRASHES: usize = 128;
/// Requests of one crash that are kept.
const MAX_REQUESTS_EACH: usize = 32;
/// Requests of one crash in a periodic report, those in most crashes first.
const MAX_REPORTED_REQUESTS: usize = 6;
/// Triggers whose last pass is kept. The least recently passed half is dropped at this limit.
const MAX_PASSES: usize = 4_096;
/// The least time between two reports of the same pass to the other entry VMs.
const PASS_REPORT_INTERVAL_MS: DurationMs = DurationMs(300);

#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) worker: WorkerId,
    pub(super) started_at_ms: u64,
    pub(super) at_ms: TimeMs,
    pub(super) requests: Vec<AccusedRequest>,
    /// When other gateways have reported what they know of it.
    settled_at_ms: TimeMs,
}

impl Crash {
    /// Whether it is the one of a server's incarnation at about a time.
    fn is_same(&self, worker: WorkerId, started_at_ms: u64, at_ms: TimeMs) -> bool {
        let apart_ms = self.at_ms.since(at_ms).max(at_ms.since(self.at_ms));
        self.worker == worker && self.started_at_ms == started_at_ms && apart_ms < SAME_CRASH_MS
    }

    fn has(&self, trigger: Trigger) -> bool {
        self.requests.iter().any(|row| row.request.has(trigger))
    }

    /// When the first request with the trigger was sent to the server.
    fn sent_at_ms(&self, trigger: Trigger) -> TimeMs {
        let accused = self.requests.iter().filter(|row| row.request.has(trigger));
        let ran_ms = accused.map(|row| row.ran_ms).max().unwrap_or_default();
        TimeMs(self.at_ms.0.saturating_sub(ran_ms.0))
    }
}

/// What explains a crash already.
struct Explanation<'a> {
    by_parts: bool,
    by_requests: Vec<&'a RequestIdentity>,
}

impl<'a> Explanation<'a> {
    fn new(crash: &'a Crash, culprits: &[Culprit]) -> Self {
        let mut explanation = Self {
            by_parts: false,
            by_requests: Vec::new(),
        };
        for culprit in culprits {
            let mut requests = crash.requests.iter().map(|row| &row.request);
            let Some(request) = requests.find(|request| culprit.is_in(request)) else {
                continue;
            };
            match culprit {
                Culprit::Parts(_) => explanation.by_parts = true,
                Culprit::Request(_) => explanation.by_requests.push(request),
            }
        }
        explanation
    }

    /// Whether the crash counts against `trigger` nevertheless. A request as a culprit doesn't clear its
    /// own parts: one of them may be why it crashes servers.
    fn leaves(&self, trigger: Trigger) -> bool {
        let is_own_part = |request: &&RequestIdentity| matches!(trigger, Trigger::Part(part) if request.parts.contains(&part));
        !self.by_parts && self.by_requests.iter().all(is_own_part)
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

/// What the evidence says against one trigger.
#[derive(Clone, Debug)]
pub(super) struct Accusation {
    pub(super) trigger: Trigger,
    /// The crashes that count, by index.
    crashes: Vec<usize>,
    /// How many of them count as different.
    pub(super) moments: usize,
    /// Whether some answer has got past it before.
    has_passed: bool,
}

impl Accusation {
    /// How many crashes count, also at one moment.
    pub(super) const fn crash_count(&self) -> usize {
        self.crashes.len()
    }
}

/// The crashes and passes that one gateway knows of.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// From when on this gateway knows of all that ran at a server that crashed.
    complete_since_ms: TimeMs,
    crashes: Vec<Crash>,
    passes: VecMap<Trigger, Pass>,
}

impl Evidence {
    /// The evidence of a gateway that starts now. Reports of earlier crashes may still arrive.
    pub(super) fn new(now: TimeMs) -> Self {
        Self {
            complete_since_ms: now.after(SETTLING_MS),
            ..Self::default()
        }
    }

    /// Adds a crash. Returns what one more crash counts against; `None` if it says nothing new.
    pub(super) fn add(
        &mut self,
        report: &CrashReport,
        awaits_reports: bool,
        now: TimeMs,
    ) -> Option<Vec<Trigger>> {
        let at_ms = TimeMs(now.0.saturating_sub(report.age_ms.0));
        let mut crashes = self.crashes.iter();
        let known =
            crashes.position(|crash| crash.is_same(report.worker, report.started_at_ms, at_ms));
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            let index = self.crashes.partition_point(|crash| crash.at_ms <= at_ms);
            let crash = Crash {
                worker: report.worker,
                started_at_ms: report.started_at_ms,
                at_ms,
                requests: Vec::new(),
                settled_at_ms: if awaits_reports {
                    at_ms.after(SETTLING_MS)
                } else {
                    at_ms
                },
            };
            self.crashes.insert(index, crash);
            index
        });
        let mut is_new = false;
        let mut triggers = Vec::new();
        for accused in &report.requests {
            let crash = &self.crashes[index];
            let unknown = accused.request.triggers().filter(|trigger| {
                !crash.has(*trigger) && !self.passed_since(*trigger, crash.at_ms)
            });
            let unknown: Vec<Trigger> = unknown.collect();
            if self.accuse(index, accused) {
                is_new = true;
                triggers.extend(unknown);
            }
        }
        if is_new && report.age_ms > SETTLING_MS {
            let crash = &mut self.crashes[index];
            crash.settled_at_ms = crash.settled_at_ms.max(now.after(REPEATED_REPORTS_MS));
        }
        is_new.then_some(triggers)
    }

    /// Adds a request to a crash. Without room, one that is in other crashes too replaces one that isn't.
    fn accuse(&mut self, index: usize, accused: &AccusedRequest) -> bool {
        let requests = &self.crashes[index].requests;
        let digest = accused.request.digest;
        if requests.iter().any(|row| row.request.digest == digest) {
            return false;
        }
        if requests.len() < MAX_REQUESTS_EACH {
            self.crashes[index].requests.push(accused.clone());
            return true;
        }
        let is_elsewhere = |digest| {
            let mut others = self.crashes.iter().enumerate();
            others.any(|(other, crash)| other != index && crash.has(Trigger::Request(digest)))
        };
        if !is_elsewhere(digest) {
            return false;
        }
        let replaced = requests
            .iter()
            .position(|row| !is_elsewhere(row.request.digest));
        if let Some(position) = replaced {
            self.crashes[index].requests[position] = accused.clone();
        }
        replaced.is_some()
    }

    pub(super) fn forget_old(&mut self, now: TimeMs) {
        self.crashes
            .retain(|crash| now.since(crash.at_ms) < EVIDENCE_MS);
    }

    /// Whether a crash of this server is known that happened at about a time.
    pub(super) fn has_crashed(&self, worker: WorkerId, started_at_ms: u64, at_ms: TimeMs) -> bool {
        let mut crashes = self.crashes.iter().rev();
        crashes.any(|crash| crash.is_same(worker, started_at_ms, at_ms))
    }

    /// Whether a crash of an incarnation of a server is known.
    pub(super) fn has_ended(&self, worker: WorkerId, started_at_ms: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| (crash.worker, crash.started_at_ms) == (worker, started_at_ms))
    }

    /// What the evidence says against all triggers, in their order.
    pub(super) fn accusations(&self, culprits: &[Culprit]) -> Vec<Accusation> {
        let mut rows: Vec<(Trigger, usize)> = Vec::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            let explanation = Explanation::new(crash, culprits);
            let triggers = crash.requests.iter().flat_map(|row| row.request.triggers());
            let open = triggers.filter(|trigger| {
                explanation.leaves(*trigger) && !self.passed_since(*trigger, crash.at_ms)
            });
            rows.extend(open.map(|trigger| (trigger, index)));
        }
        rows.sort_unstable();
        rows.dedup();
        let accusations = rows.chunk_by(|left, right| left.0 == right.0).map(|rows| {
            let trigger = rows[0].0;
            let crashes: Vec<usize> = rows.iter().map(|row| row.1).collect();
            Accusation {
                trigger,
                moments: self.moments(trigger, &crashes),
                has_passed: self.passes.contains(&trigger),
                crashes,
            }
        });
        accusations.collect()
    }

    /// What has enough crashes, of some accusations. Who ran at a server that crashed before this gateway
    /// started is known in part only, and others conclude from it.
    pub(super) fn sufficient(&self, accusations: &[Accusation]) -> Vec<Accusation> {
        let others = self.unrelated_crashes(accusations);
        let sufficient = accusations.iter().filter(|row| {
            let needed = if self.is_among_others(row, &others) {
                MIN_CRASHES_UNLIKELY
            } else {
                self.needed_crashes(row.trigger)
            };
            let moments = match row.trigger {
                Trigger::Request(_) => {
                    let crashes = row.crashes.iter().copied();
                    let is_known =
                        |index: &usize| self.crashes[*index].at_ms >= self.complete_since_ms;
                    let known: Vec<usize> = crashes.filter(is_known).collect();
                    self.moments(row.trigger, &known)
                }
                Trigger::Part(_) => row.moments,
            };
            moments >= needed
        });
        sufficient.cloned().collect()
    }

    /// The least number of crashes that suffices against a trigger.
    pub(super) fn needed_crashes(&self, trigger: Trigger) -> usize {
        if self.passes.contains(&trigger) {
            MIN_CRASHES_UNLIKELY
        } else {
            MIN_CRASHES
        }
    }

    /// What explains most crashes, of some accusations with enough of them and not in `aside`, with the number and the time
    /// of the last.
    pub(super) fn strongest(
        &self,
        accusations: &[Accusation],
        aside: &[Trigger],
        now: TimeMs,
    ) -> Option<(Culprit, usize, TimeMs)> {
        let mut suspects = self.sufficient(accusations);
        suspects.retain(|row| !aside.contains(&row.trigger));
        let eligible = suspects.iter().filter(|row| match row.trigger {
            Trigger::Request(_) => {
                now >= self.settled_at_ms(row)
                    && is_unrivalled(row, &suspects)
                    && is_likeliest(row, accusations)
            }
            Trigger::Part(_) => !self.has_common_request(&row.crashes),
        });
        let strongest = eligible.max_by_key(|row| {
            let is_request = matches!(row.trigger, Trigger::Request(_));
            let crashes = row.crash_count();
            (
                !row.has_passed,
                row.moments,
                is_request,
                crashes,
                row.trigger,
            )
        })?;
        let last = strongest.crashes.last().copied().unwrap_or_default();
        let culprit = match strongest.trigger {
            Trigger::Request(digest) => Culprit::Request(digest),
            Trigger::Part(_) => Culprit::Parts(parts_with_same_crashes(strongest, &suspects)),
        };
        Some((culprit, strongest.moments, self.crashes[last].at_ms))
    }

    /// The times of the crashes in which no request is that is in another one too.
    fn unrelated_crashes(&self, accusations: &[Accusation]) -> Vec<TimeMs> {
        let repeated = accusations
            .iter()
            .filter(|row| matches!(row.trigger, Trigger::Request(_)) && row.crash_count() > 1);
        let mut related: Vec<usize> = repeated.flat_map(|row| row.crashes.clone()).collect();
        related.sort_unstable();
        let crashes = self.crashes.iter().enumerate();
        let unrelated = crashes.filter(|(index, _)| related.binary_search(index).is_err());
        unrelated.map(|(_, crash)| crash.at_ms).collect()
    }

    /// Whether servers crashed without a request at the time of its crashes.
    fn is_among_others(&self, accused: &Accusation, others: &[TimeMs]) -> bool {
        let (Trigger::Request(_), Some(first), Some(last)) = (
            accused.trigger,
            accused.crashes.first(),
            accused.crashes.last(),
        ) else {
            return false;
        };
        let since_ms = self.crashes[*first]
            .at_ms
            .0
            .saturating_sub(OTHER_CRASHES_MS.0);
        let until_ms = self.crashes[*last].at_ms;
        let during = others
            .iter()
            .filter(|at| at.0 >= since_ms && **at <= until_ms);
        during.count() >= MIN_OTHER_CRASHES
    }

    /// Whether one request was in all of these crashes, which then is the narrower explanation.
    fn has_common_request(&self, crashes: &[usize]) -> bool {
        let Some((first, others)) = crashes.split_first() else {
            return false;
        };
        self.crashes[*first].requests.iter().any(|row| {
            let trigger = Trigger::Request(row.request.digest);
            others.iter().all(|index| self.crashes[*index].has(trigger))
        })
    }

    /// The crashes, in the order of time, that count as different. Servers that crash together may have
    /// been ended by something else, unless a request was at each of them, or was sent to one of them
    /// after the crash before.
    fn moments(&self, trigger: Trigger, crashes: &[usize]) -> usize {
        let is_request = matches!(trigger, Trigger::Request(_));
        let mut count = 0;
        let mut moment: Option<TimeMs> = None;
        for index in crashes {
            let crash = &self.crashes[*index];
            let is_other = moment.is_none_or(|earlier| {
                crash.at_ms.since(earlier) >= SAME_MOMENT_MS
                    || is_request
                        && (crash.sent_at_ms(trigger).after(REPORT_DELAY_MS) >= earlier
                            || self.was_at_all_near(trigger, crash.at_ms))
            });
            if is_other {
                count += 1;
                moment = Some(crash.at_ms);
            }
        }
        count
    }

    /// Whether a trigger was at all servers that crashed at about a time.
    fn was_at_all_near(&self, trigger: Trigger, at_ms: TimeMs) -> bool {
        let mut near = self.crashes.iter().filter(|crash| {
            crash.at_ms.since(at_ms).max(at_ms.since(crash.at_ms)) < SAME_MOMENT_MS
        });
        near.all(|crash| crash.has(trigger))
    }

    /// Whether an answer got past a trigger after a time.
    pub(super) fn passed_since(&self, trigger: Trigger, at_ms: TimeMs) -> bool {
        let pass = self.passes.get(&trigger);
        pass.is_some_and(|pass| pass.at_ms > at_ms)
    }

    /// Records a pass. Returns whether it must be reported, as it was not lately.
    pub(super) fn record_pass(&mut self, trigger: Trigger, is_needed: bool, now: TimeMs) -> bool {
        let pass = self.passes.get_or_insert_with(trigger, Pass::default);
        pass.at_ms = pass.at_ms.max(now);
        let is_due = is_needed && pass.is_report_due(now);
        if is_due {
            pass.reported_at_ms = Some(now);
        }
        is_due
    }

    /// Records a pass that another gateway reports, so that the others have heard of it too. Returns
    /// whether it is later than those that were known.
    pub(super) fn adopt_pass(&mut self, trigger: Trigger, at_ms: TimeMs) -> bool {
        let pass = self.passes.get_or_insert_with(trigger, Pass::default);
        let is_newer = pass.at_ms < at_ms;
        pass.at_ms = pass.at_ms.max(at_ms);
        pass.reported_at_ms = pass.reported_at_ms.max(Some(at_ms));
        is_newer
    }

    /// The pass of a trigger, if it is to be reported to a gateway that blames crashes of this age on it
    /// and knows these passes.
    pub(super) fn pass_to_report(
        &mut self,
        trigger: Trigger,
        crash_age_ms: DurationMs,
        known: &[PassReport],
        now: TimeMs,
    ) -> Option<PassReport> {
        let pass = self.passes.get_mut(&trigger)?;
        let age_ms = now.since(pass.at_ms);
        let mut reported = known.iter().filter(|row| row.trigger == trigger);
        let is_known = reported.any(|row| row.age_ms < crash_age_ms || age_ms >= crash_age_ms);
        if is_known || !pass.is_report_due(now) {
            return None;
        }
        pass.reported_at_ms = Some(now);
        Some(PassReport { trigger, age_ms })
    }

    /// The known passes of some triggers.
    pub(super) fn known_passes<I>(&self, triggers: I, now: TimeMs) -> Vec<PassReport>
    where
        I: Iterator<Item = Trigger>,
    {
        let mut triggers: Vec<Trigger> = triggers.collect();
        triggers.sort_unstable();
        triggers.dedup();
        let passes = triggers.into_iter().filter_map(|trigger| {
            let age_ms = now.since(self.passes.get(&trigger)?.at_ms);
            Some(PassReport { trigger, age_ms })
        });
        passes.collect()
    }

    /// Forgets the least recently passed half of the triggers, but for those in `kept`, if there are too
    /// many.
    pub(super) fn limit_passes<F>(&mut self, is_kept: F)
    where
        F: Fn(Trigger) -> bool,
    {
        if self.passes.len() < MAX_PASSES {
            return;
        }
        let mut times: Vec<TimeMs> = self.passes.iter().map(|row| row.1.at_ms).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.passes
            .retain(|trigger, pass| pass.at_ms > median || is_kept(*trigger));
    }

    /// Up to `limit` crashes to report, newest first, without what answers got past since or culprits
    /// explain. A request without shared parts that is in one crash only is left out after `single_ms`.
    pub(super) fn reports(
        &self,
        culprits: &[Culprit],
        limit: usize,
        single_ms: DurationMs,
        now: TimeMs,
    ) -> Vec<CrashReport> {
        let requests = self.crashes.iter().flat_map(|crash| &crash.requests);
        let mut digests: Vec<RequestDigest> = requests.map(|row| row.request.digest).collect();
        digests.sort_unstable();
        let count = |digest: RequestDigest| {
            let first = digests.partition_point(|other| *other < digest);
            digests[first..].partition_point(|other| *other == digest)
        };
        let reports = self.crashes.iter().rev().filter_map(|crash| {
            let age_ms = now.since(crash.at_ms);
            let explanation = Explanation::new(crash, culprits);
            let requests = crash.requests.iter().filter(|row| {
                let mut triggers = row.request.triggers();
                let is_open = triggers.any(|trigger| {
                    explanation.leaves(trigger) && !self.passed_since(trigger, crash.at_ms)
                });
                let is_outdated = age_ms >= single_ms
                    && row.request.parts.is_empty()
                    && count(row.request.digest) == 1;
                is_open && !is_outdated
            });
            let mut requests: Vec<AccusedRequest> = requests.cloned().collect();
            requests.sort_by_key(|row| std::cmp::Reverse(count(row.request.digest)));
            requests.truncate(MAX_REPORTED_REQUESTS);
            (!requests.is_empty()).then_some(CrashReport {
                worker: crash.worker,
                started_at_ms: crash.started_at_ms,
                age_ms,
                requests,
            })
        });
        reports.take(limit).collect()
    }

    /// When other gateways have reported what they know of the crashes of an accusation.
    pub(super) fn settled_at_ms(&self, accusation: &Accusation) -> TimeMs {
        let crashes = accusation.crashes.iter();
        let settled = crashes.map(|index| self.crashes[*index].settled_at_ms);
        settled.max().unwrap_or(TimeMs(0))
    }

    /// When the last crash of an accusation happened.
    pub(super) fn last_crash_at_ms(&self, accusation: &Accusation) -> TimeMs {
        let last = accusation.crashes.last();
        last.map_or(TimeMs(0), |index| self.crashes[*index].at_ms)
    }
}

/// Whether no other request was in all of these crashes. While one was, the evidence doesn't tell
/// them apart.
fn is_unrivalled(accused: &Accusation, suspects: &[Accusation]) -> bool {
    let mut rivals = suspects
        .iter()
        .filter(|row| matches!(row.trigger, Trigger::Request(_)) && row.trigger != accused.trigger);
    !rivals.any(|row| {
        accused
            .crashes
            .iter()
            .all(|crash| row.crashes.contains(crash))
    })
}

/// Whether no other request is in as many crashes and in all of these but one. News of that one may be
/// lost for good if the gateway that sent it has restarted, so that the next crash must tell them apart.
fn is_likeliest(accused: &Accusation, accusations: &[Accusation]) -> bool {
    let mut rivals = accusations.iter().filter(|row| {
        matches!(row.trigger, Trigger::Request(_))
            && row.trigger != accused.trigger
            && !row.has_passed
            && row.crash_count() >= accused.crash_count()
    });
    !rivals.any(|row| {
        let crashes = accused.crashes.iter();
        let unshared = crashes.filter(|crash| !row.crashes.contains(crash));
        unshared.count() <= MAX_LOST_NEWS
    })
}

/// The parts that were in just these crashes.
fn parts_with_same_crashes(strongest: &Accusation, suspects: &[Accusation]) -> Vec<PartId> {
    let same = suspects
        .iter()
        .filter(|row| row.crashes == strongest.crashes);
    let mut parts: Vec<(PartId, bool)> = same
        .filter_map(|row| match row.trigger {
            Trigger::Part(part) => Some((part, row.has_passed)),
            Trigger::Request(_) => None,
        })
        .collect();
    // Of parts with the same crashes, one that answers got past is the least likely cause.
    if parts.iter().any(|row| !row.1) {
        parts.retain(|row| !row.1);
    }
    parts.into_iter().map(|row| row.0).collect()
}
