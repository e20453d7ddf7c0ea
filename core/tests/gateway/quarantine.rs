//! Engines that crash on a part of a prompt, before fleets of gateways without a network.

use {
    cactusspur_core::{
        DurationMs, TimeMs, WorkerId,
        gateway::{
            CrashReport, PartId, Quarantine, QuarantineChange, QuarantineReport,
            quarantine::{MIN_CRASHES, MIN_CRASHES_PASSED},
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    test_case::test_case,
};

const START: TimeMs = TimeMs(1_000_000);
const STEP_MS: u64 = 10;
const SECONDS: u64 = 24;
/// When requests with the crashing parts begin to come.
const POISON_FROM_MS: u64 = 3_000;
/// The time after which gateways in touch must know of a crash.
const CONTACT_MS: u64 = 3_000;
/// Requests with a crashing part that may reach engines once that time is over after the fifth crash.
const MAX_LATE_REQUESTS: usize = 3;
const RESTART_MS: u64 = 3_000;
/// From the head of an answer to its first event.
const PREFILL_MS: u64 = 100;
const HOUSE_RULES: PartId = PartId(1);
const DESIGNS: u64 = 60;

/// A request in progress at an engine.
#[derive(Clone, Debug)]
struct Run {
    gateway: usize,
    engine: usize,
    parts: Vec<PartId>,
    head_at_ms: u64,
    tries: usize,
}

impl Run {
    fn crashing_part(&self) -> Option<PartId> {
        self.parts.iter().copied().find(|part| is_crashing(*part))
    }
}

fn is_crashing(part: PartId) -> bool {
    part.0 >= 9_000
}

struct Message {
    to: usize,
    at_ms: u64,
    report: QuarantineReport,
}

/// Engines that end for other reasons than a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherCrashes {
    None,
    /// One engine at a time, about one a second.
    Single,
    /// A third of them at the same moment, every four seconds.
    Together,
}

struct Scenario {
    gateways: usize,
    engines: usize,
    requests_per_s: u64,
    /// The parts on which engines crash.
    crashing: Vec<PartId>,
    /// The position of a crashing part in a prompt.
    position: usize,
    others: OtherCrashes,
    loss_percent: u32,
    /// When all gateways but each tenth one restart.
    restart_at_ms: Option<u64>,
}

impl Scenario {
    fn new(gateways: usize) -> Self {
        Self {
            gateways,
            engines: if gateways > 100 { 240 } else { 12 },
            requests_per_s: if gateways > 100 { 480 } else { 40 },
            crashing: vec![PartId(9_000)],
            position: 1,
            others: OtherCrashes::None,
            loss_percent: 0,
            restart_at_ms: None,
        }
    }
}

struct Cluster {
    scenario: Scenario,
    random: StdRng,
    quarantines: Vec<Quarantine>,
    runs: Vec<Run>,
    down_until_ms: Vec<u64>,
    in_flight: Vec<Message>,
    crashes: Vec<(PartId, u64)>,
    sends: Vec<(PartId, u64)>,
    sound: usize,
    refused_sound: usize,
}

impl Cluster {
    fn play(scenario: Scenario, seed: u64) -> Self {
        let mut cluster = Self {
            random: StdRng::seed_from_u64(seed),
            quarantines: (0..scenario.gateways as u64).map(Quarantine::new).collect(),
            runs: Vec::new(),
            down_until_ms: vec![0; scenario.engines],
            in_flight: Vec::new(),
            crashes: Vec::new(),
            sends: Vec::new(),
            sound: 0,
            refused_sound: 0,
            scenario,
        };
        for step in 0..SECONDS * 1_000 / STEP_MS {
            cluster.step(step * STEP_MS);
        }
        cluster
    }

    fn step(&mut self, at_ms: u64) {
        if self.scenario.restart_at_ms == Some(at_ms) {
            for number in (0..self.scenario.gateways).filter(|number| number % 10 != 0) {
                self.quarantines[number] = Quarantine::new(number as u64);
                self.runs.retain(|run| run.gateway != number);
            }
        }
        self.deliver(at_ms);
        self.arrive(at_ms);
        self.crash_others(at_ms);
        self.advance(at_ms);
        for number in 0..self.scenario.gateways {
            if (at_ms + number as u64 * STEP_MS).is_multiple_of(1_000) {
                let report = self.quarantines[number].report(time(at_ms));
                self.broadcast(number, &report, at_ms);
            }
        }
    }

    fn deliver(&mut self, at_ms: u64) {
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.at_ms <= at_ms);
        self.in_flight = later;
        let due: Vec<Message> = due;
        for Message { to, report, .. } in due {
            let (passes, _) = self.quarantines[to].apply(&report, time(at_ms));
            let reply = QuarantineReport {
                passes,
                ..QuarantineReport::default()
            };
            self.broadcast(to, &reply, at_ms);
        }
    }

    fn broadcast(&mut self, from: usize, report: &QuarantineReport, at_ms: u64) {
        if report.is_empty() {
            return;
        }
        for to in (0..self.scenario.gateways).filter(|to| *to != from) {
            if self.random.random_range(0..100) >= self.scenario.loss_percent {
                self.in_flight.push(Message {
                    to,
                    at_ms: at_ms + self.random.random_range(STEP_MS..150),
                    report: report.clone(),
                });
            }
        }
    }

    fn arrive(&mut self, at_ms: u64) {
        let chance = f64::from(u32::try_from(self.scenario.requests_per_s * STEP_MS).expect("few"))
            / 1_000.0;
        let mut left = chance;
        while left > 0.0 {
            if self.random.random_bool(left.min(1.0)) {
                let design = PartId(100 + self.random.random_range(0..DESIGNS));
                let mut parts = vec![HOUSE_RULES, design];
                let has_crashing = !self.scenario.crashing.is_empty();
                if has_crashing && at_ms >= POISON_FROM_MS && self.random.random_range(0..20) == 0 {
                    let number = self.random.random_range(0..self.scenario.crashing.len());
                    parts.insert(self.scenario.position, self.scenario.crashing[number]);
                }
                let gateway = self.random.random_range(0..self.scenario.gateways);
                self.send(gateway, parts, at_ms, 1);
            }
            left -= 1.0;
        }
    }

    fn send(&mut self, gateway: usize, parts: Vec<PartId>, at_ms: u64, tries: usize) {
        let crashing = parts.iter().copied().find(|part| is_crashing(*part));
        let is_refused = self.quarantines[gateway].refuses(&parts, time(at_ms));
        if crashing.is_none() && tries == 1 {
            self.sound += 1;
            self.refused_sound += usize::from(is_refused);
        }
        let up: Vec<usize> = (0..self.scenario.engines)
            .filter(|engine| self.down_until_ms[*engine] <= at_ms)
            .collect();
        if is_refused || up.is_empty() {
            return;
        }
        self.sends.extend(crashing.map(|part| (part, at_ms)));
        self.runs.push(Run {
            gateway,
            engine: up[self.random.random_range(0..up.len())],
            parts,
            head_at_ms: at_ms + self.random.random_range(20..400),
            tries,
        });
    }

    fn crash_others(&mut self, at_ms: u64) {
        match self.scenario.others {
            OtherCrashes::None => {}
            OtherCrashes::Single => {
                if self.random.random_range(0..1_000 / STEP_MS) == 0 {
                    let engine = self.random.random_range(0..self.scenario.engines);
                    self.crash(engine, at_ms);
                }
            }
            OtherCrashes::Together => {
                if at_ms.is_multiple_of(4_000) {
                    for engine in (0..self.scenario.engines).step_by(3) {
                        self.crash(engine, at_ms);
                    }
                }
            }
        }
    }

    fn advance(&mut self, at_ms: u64) {
        let due = |run: &Run| run.head_at_ms + PREFILL_MS <= at_ms;
        while let Some(index) = self.runs.iter().position(due) {
            let run = self.runs.swap_remove(index);
            let is_recalled = self.quarantines[run.gateway].recalls(&run.parts);
            match run.crashing_part() {
                Some(_) if is_recalled => {}
                Some(part) => {
                    self.crashes.push((part, at_ms));
                    let engine = run.engine;
                    self.runs.push(Run {
                        head_at_ms: at_ms,
                        ..run
                    });
                    self.crash(engine, at_ms);
                }
                None => {
                    let (passes, _) =
                        self.quarantines[run.gateway].record_pass(&run.parts, time(at_ms));
                    let report = QuarantineReport {
                        passes,
                        ..QuarantineReport::default()
                    };
                    self.broadcast(run.gateway, &report, at_ms);
                }
            }
        }
    }

    fn crash(&mut self, engine: usize, at_ms: u64) {
        if self.down_until_ms[engine] > at_ms {
            return;
        }
        self.down_until_ms[engine] = at_ms + RESTART_MS;
        let (lost, kept) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.engine == engine);
        self.runs = kept;
        let lost: Vec<Run> = lost;
        for run in lost {
            if run.head_at_ms <= at_ms {
                let crash = CrashReport {
                    worker: WorkerId(engine as u64),
                    started_at_ms: at_ms / RESTART_MS,
                    age_ms: DurationMs(0),
                    parts: run.parts.clone(),
                };
                let gateway = &mut self.quarantines[run.gateway];
                gateway.record_crash(&crash, time(at_ms));
                let report = gateway.report_of(crash, time(at_ms));
                self.broadcast(run.gateway, &report, at_ms);
            }
            if run.tries == 1 {
                self.send(run.gateway, run.parts, at_ms, 2);
            }
        }
    }

    /// Sends of requests with a part later than allowed after the fifth crash on it.
    fn late_sends(&self, part: PartId) -> usize {
        let mut crashes = self.crashes.iter().filter(|row| row.0 == part);
        let Some((_, fifth_at_ms)) = crashes.nth(4) else {
            return 0;
        };
        let sends = self.sends.iter().filter(|row| row.0 == part);
        sends.filter(|row| row.1 > fifth_at_ms + CONTACT_MS).count()
    }

    fn check(&self, what: &str) {
        for part in &self.scenario.crashing {
            let late = self.late_sends(*part);
            assert!(late <= MAX_LATE_REQUESTS, "{what}: {late} late requests");
        }
        assert_eq!(
            self.refused_sound, 0,
            "{what}: of {} sound requests",
            self.sound
        );
    }
}

fn time(at_ms: u64) -> TimeMs {
    START.after(DurationMs(at_ms))
}

/// Requests with one part crashed engines as long as they came. Neither place in the prompt, size of
/// the fleet, lost news, nor crashes for other reasons may keep the part from being found, or let a part
/// of others be blamed.
#[test_case(1, 1, OtherCrashes::None, 0; "one gateway")]
#[test_case(8, 1, OtherCrashes::None, 0; "eight gateways")]
#[test_case(8, 0, OtherCrashes::None, 0; "as the first part")]
#[test_case(8, 2, OtherCrashes::None, 20; "a fifth of the news is lost")]
#[test_case(8, 1, OtherCrashes::Single, 5; "engines crash for other reasons")]
#[test_case(8, 1, OtherCrashes::Together, 5; "many engines crash at once")]
fn a_part_that_crashes_engines_is_found(
    gateways: usize,
    position: usize,
    others: OtherCrashes,
    loss_percent: u32,
) {
    for seed in 0..20 {
        let scenario = Scenario {
            position,
            others,
            loss_percent,
            ..Scenario::new(gateways)
        };
        Cluster::play(scenario, seed).check(&format!("seed {seed}"));
    }
}

/// As above, in a fleet of hundreds where many such requests are on their way when the part is found.
#[test]
fn a_part_that_crashes_engines_is_found_in_a_large_fleet() {
    let scenario = Scenario {
        loss_percent: 5,
        ..Scenario::new(300)
    };
    Cluster::play(scenario, 1).check("300 gateways");
}

/// Crashes on several parts at once were to be told apart.
#[test]
fn several_parts_that_crash_engines_are_found() {
    for seed in 0..20 {
        let scenario = Scenario {
            crashing: vec![PartId(9_000), PartId(9_001), PartId(9_002)],
            ..Scenario::new(8)
        };
        Cluster::play(scenario, seed).check(&format!("seed {seed}"));
    }
}

/// A gateway that starts must learn from others which parts are quarantined.
#[test]
fn a_quarantine_survives_the_restart_of_most_gateways() {
    for seed in 0..20 {
        let scenario = Scenario {
            restart_at_ms: Some(12_000),
            ..Scenario::new(20)
        };
        Cluster::play(scenario, seed).check(&format!("seed {seed}"));
    }
}

/// Crashes without such a part condemn none.
#[test_case(OtherCrashes::Single; "one after the other")]
#[test_case(OtherCrashes::Together; "many at once")]
fn crashes_for_other_reasons_quarantine_nothing(others: OtherCrashes) {
    for seed in 0..20 {
        let scenario = Scenario {
            crashing: Vec::new(),
            others,
            ..Scenario::new(8)
        };
        let cluster = Cluster::play(scenario, seed);
        assert_eq!(cluster.refused_sound, 0, "seed {seed}");
    }
}

fn crash(engine: u64, parts: &[u64]) -> CrashReport {
    CrashReport {
        worker: WorkerId(engine),
        started_at_ms: 1,
        age_ms: DurationMs(0),
        parts: parts.iter().copied().map(PartId).collect(),
    }
}

fn record(
    quarantine: &mut Quarantine,
    engine: u64,
    parts: &[u64],
    at_ms: u64,
) -> Vec<QuarantineChange> {
    quarantine
        .record_crash(&crash(engine, parts), time(at_ms))
        .1
}

fn refuses(quarantine: &mut Quarantine, parts: &[u64], at_ms: u64) -> bool {
    let parts: Vec<PartId> = parts.iter().copied().map(PartId).collect();
    quarantine.refuses(&parts, time(at_ms))
}

/// Engines that are lost together, as with their rack, count as one crash.
#[test]
fn crashes_at_one_moment_count_once() {
    let mut quarantine = Quarantine::default();
    for engine in 0..12 {
        record(&mut quarantine, engine, &[1, 2], engine * 2);
    }
    assert!(!refuses(&mut quarantine, &[1, 2], 100));
}

/// A caller who sends others' parts along with a crashing one could have had them refused.
#[test]
fn a_part_with_the_same_crashes_is_refused_only_together() {
    let mut quarantine = Quarantine::default();
    for engine in 0..MIN_CRASHES as u64 {
        record(&mut quarantine, engine, &[7, 9], engine * 500);
    }
    assert!(refuses(&mut quarantine, &[7, 9], 2_000));
    assert!(!refuses(&mut quarantine, &[7, 8], 2_000));
    // An answer to a request with the one leaves the other.
    quarantine.record_pass(&[PartId(7)], time(2_100));
    assert!(refuses(&mut quarantine, &[8, 9], 2_200));
    assert!(!refuses(&mut quarantine, &[7, 8], 2_200));
}

/// A part that answers got past may crash engines later, as with new weights; it takes more crashes.
#[test]
fn a_part_that_was_sound_before_takes_more_crashes() {
    let mut quarantine = Quarantine::default();
    quarantine.record_pass(&[PartId(9)], time(0));
    for engine in 0..MIN_CRASHES_PASSED as u64 {
        assert!(!refuses(&mut quarantine, &[9], 1_000 + engine * 500));
        record(&mut quarantine, engine, &[9], 1_000 + engine * 500);
    }
    assert!(refuses(&mut quarantine, &[9], 5_000));
}

/// Trials after the term are single and a crash begins a longer term.
#[test]
fn a_quarantine_ends_by_single_trials() {
    let mut quarantine = Quarantine::default();
    for engine in 0..MIN_CRASHES as u64 {
        record(&mut quarantine, engine, &[9], engine * 500);
    }
    let minutes = |count: u64| count * 60_000;
    assert!(refuses(&mut quarantine, &[9], minutes(9)));
    assert!(!refuses(&mut quarantine, &[9], minutes(12)), "a trial");
    assert!(
        refuses(&mut quarantine, &[9], minutes(12) + 10),
        "no second one"
    );
    record(&mut quarantine, 50, &[9], minutes(12) + 100);
    assert!(refuses(&mut quarantine, &[9], minutes(25)), "a longer term");
    assert!(
        !refuses(&mut quarantine, &[9], minutes(34)),
        "the next trial"
    );
    quarantine.record_pass(&[PartId(9)], time(minutes(34) + 100));
    for number in 0..10 {
        assert!(!refuses(&mut quarantine, &[9], minutes(34) + 200 + number));
    }
}

/// Reports that come late, twice or from a gateway that knows less must not revive a quarantine.
#[test]
fn a_part_that_was_cleared_is_not_quarantined_by_older_news() {
    let mut quarantine = Quarantine::default();
    let mut other = Quarantine::default();
    for engine in 0..MIN_CRASHES as u64 {
        record(&mut quarantine, engine, &[9], engine * 500);
        record(&mut other, engine, &[9], engine * 500);
    }
    quarantine.record_pass(&[PartId(9)], time(3_000));
    assert!(!refuses(&mut quarantine, &[9], 3_100));
    let (passes, _) = quarantine.apply(&other.report(time(4_000)), time(4_100));
    assert!(!refuses(&mut quarantine, &[9], 4_200));
    assert!(!passes.is_empty(), "the other gateway is told");
    other.apply(
        &QuarantineReport {
            passes,
            ..QuarantineReport::default()
        },
        time(4_200),
    );
    assert!(!refuses(&mut other, &[9], 4_300));
}

/// Many parts, each with its crashes, must not take memory without bound, or push each other out of a
/// report that a gateway needs.
#[test]
fn what_is_kept_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..5_000 {
        for engine in 0..MIN_CRASHES as u64 {
            record(
                &mut quarantine,
                engine + number * 3,
                &[10_000 + number],
                number * 300 + engine * 100,
            );
        }
        quarantine.record_pass(&[PartId(100_000 + number)], time(number * 300));
    }
    let end_ms = 5_000 * 300;
    assert!(refuses(&mut quarantine, &[14_999], end_ms));
    assert!(quarantine.suspects(time(end_ms)).len() <= 64 + 128);
    let report = quarantine.report(time(end_ms));
    assert!(report.crashes.len() + report.quarantines.len() <= 24);
}
