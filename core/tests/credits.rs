//! Tests of credits: lapse dates, class limits, draws from the ledger, lost answers, outages of the
//! table service.

mod fleet;

use {
    cactusspur_core::{
        AttemptId, CallId, Cause, Command, CreditGrant, DurationMs, Event, MicroCredits, Record,
        RecordAnswer, RecordCall, RecordKey, Row, RowVersion, Send, Tokens,
    },
    fleet::{Fleet, class, customer, refused, sent, text},
    std::collections::BTreeMap,
};

/// Amount reserved for a request of these tests: 250 prompt and 100 answer tokens.
const RESERVED: u64 = 350;
/// Actual cost of a request with its answer of two tokens.
const COST: u64 = 252;
const HOUR_MS: u64 = 3_600_000;

/// A table service with the ledger's rows. It applies all writes, but loses the answers of those
/// whose numbers are in `lost`.
#[derive(Default)]
struct Ledger {
    rows: BTreeMap<RecordKey, Row>,
    writes: usize,
    lost: Vec<usize>,
    is_down: bool,
}

impl Ledger {
    fn answer(&mut self, operation: RecordCall) -> RecordAnswer {
        if self.is_down {
            return RecordAnswer::Unknown;
        }
        match operation {
            RecordCall::Read { key } => RecordAnswer::Read(self.rows.get(&key).cloned()),
            RecordCall::Write {
                key,
                expected,
                record,
            } => self.write(key, expected, record),
        }
    }

    fn write(
        &mut self,
        key: RecordKey,
        expected: Option<RowVersion>,
        record: Record,
    ) -> RecordAnswer {
        let current = self.rows.get(&key);
        if current.map(|row| row.version) != expected {
            return RecordAnswer::Conflict(current.cloned());
        }
        let version = RowVersion(expected.map_or(1, |version| version.0 + 1));
        self.rows.insert(key, Row { version, record });
        self.writes += 1;
        if self.lost.contains(&self.writes) {
            return RecordAnswer::Unknown;
        }
        RecordAnswer::Written(version)
    }

    fn drawn(&self, grant: &str) -> u64 {
        self.rows
            .iter()
            .filter(
                |(key, _)| matches!(key, RecordKey::Ledger { grant: name, .. } if name == grant),
            )
            .map(|(_, row)| match &row.record {
                Record::Ledger(ledger) => ledger.drawn_microcredits.0,
                _ => 0,
            })
            .sum()
    }

    /// Answers all calls among the commands, and the calls that result from the answers.
    fn serve(&mut self, fleet: &mut Fleet, commands: Vec<Command>) {
        let calls: Vec<(CallId, RecordCall)> = commands
            .into_iter()
            .filter_map(|command| match command {
                Command::Record { call, operation } => Some((call, operation)),
                _ => None,
            })
            .collect();
        for (call, operation) in calls {
            let answer = self.answer(operation);
            let next = fleet.handle(Event::RecordAnswered { call, answer });
            self.serve(fleet, next);
        }
    }
}

fn grant(fleet: &Fleet, name: &str, amount: u64, lapses_in_ms: u64) -> CreditGrant {
    CreditGrant {
        name: name.to_owned(),
        amount_microcredits: MicroCredits(amount),
        lapses_at_ms: fleet.now.after(DurationMs(lapses_in_ms)),
    }
}

/// A fleet whose customer has grants, given as (name, amount, milliseconds to lapse).
fn metered(entry: &str, grants: &[(&str, u64, u64)]) -> Fleet {
    let mut fleet = Fleet::open(entry, 1, 1);
    let grants = grants
        .iter()
        .map(|(name, amount, lapses)| grant(&fleet, name, *amount, *lapses))
        .collect();
    let classes = vec![class("check", false), class("notes", true)];
    fleet.configure(2, classes, vec![customer("trust", grants)]);
    fleet
}

fn finish(fleet: &mut Fleet, attempt: AttemptId) -> u64 {
    let commands = fleet.finish(attempt, 0);
    let complete = commands.into_iter().find_map(|command| match command {
        Command::Complete { usage, .. } => Some(usage.cost_microcredits.0),
        _ => None,
    });
    complete.unwrap_or_default()
}

/// Sends a request with a unique prompt. Returns the attempt or the cause of its rejection.
fn send_unique(fleet: &mut Fleet, ledger: &mut Ledger, number: usize) -> Result<Send, Cause> {
    let commands = fleet.arrive(&[text(&format!("question {number}"), 1_000)]);
    let result = sent(&commands);
    let cause = refused(&commands).map(|refusal| refusal.cause);
    ledger.serve(fleet, commands);
    result.ok_or(cause.unwrap_or(Cause::BadRequest))
}

/// Sends `questions` requests through each fleet, 600 ms apart. Returns the amount spent.
fn spend(fleets: &mut [Fleet], ledger: &mut Ledger, questions: usize) -> u64 {
    let mut spent = 0;
    for number in 0..questions {
        for fleet in &mut *fleets {
            let tick = fleet.wait(600);
            ledger.serve(fleet, tick);
            if let Ok(send) = send_unique(fleet, ledger, number) {
                spent += finish(fleet, send.attempt);
            }
        }
    }
    spent
}

#[test]
fn the_cost_is_what_was_computed() {
    let mut fleet = metered("entry-0", &[("seed", 1_000_000, HOUR_MS)]);
    let send = send_unique(&mut fleet, &mut Ledger::default(), 0).expect("sent");
    assert_eq!(finish(&mut fleet, send.attempt), COST);
}

#[test]
fn a_class_refuses_what_may_cost_more() {
    let mut fleet = metered("entry-0", &[("seed", 1_000_000, HOUR_MS)]);
    let mut cheap = class("check", false);
    cheap.max_cost_microcredits = MicroCredits(RESERVED - 1);
    let grants = vec![grant(&fleet, "seed", 1_000_000, HOUR_MS)];
    fleet.configure(3, vec![cheap], vec![customer("trust", grants)]);
    let result = send_unique(&mut fleet, &mut Ledger::default(), 0);
    assert_eq!(result.err(), Some(Cause::OverCost));
}

#[test]
fn an_answer_of_any_length_costs_as_much_as_the_longest_of_its_class() {
    let mut fleet = metered("entry-0", &[("seed", 1_000_000, HOUR_MS)]);
    let mut ledger = Ledger::default();
    assert!(send_unique(&mut fleet, &mut ledger, 0).is_ok());
    let commands = fleet.arrive_unbounded(&[text("question 1", 1_000)]);
    assert!(sent(&commands).is_some(), "{:?}", refused(&commands));
}

#[test]
fn the_grant_that_lapses_first_is_spent_first() {
    let grants = [("late", 50_000, 20 * HOUR_MS), ("early", 50_000, HOUR_MS)];
    let mut fleet = metered("entry-0", &grants);
    let mut ledger = Ledger::default();
    spend(std::slice::from_mut(&mut fleet), &mut ledger, 20);
    assert!(ledger.drawn("early") > 0);
    assert_eq!(ledger.drawn("late"), 0);
}

#[test]
fn a_lapsed_grant_is_never_spent() {
    let mut fleet = metered("entry-0", &[("early", 1_000_000, HOUR_MS)]);
    let mut ledger = Ledger::default();
    assert!(send_unique(&mut fleet, &mut ledger, 0).is_ok());
    fleet.wait(HOUR_MS);
    let writes = ledger.writes;
    let result = send_unique(&mut fleet, &mut ledger, 1);
    assert_eq!(result.err(), Some(Cause::NoCredits));
    assert_eq!(ledger.writes, writes);
}

#[test]
fn entry_vms_together_spend_a_grant_and_not_more() {
    let open = |entry| metered(entry, &[("seed", 20_000, HOUR_MS)]);
    let mut fleets = ["entry-0", "entry-1", "entry-2"].map(open);
    for fleet in &mut fleets {
        fleet.entries = 3;
        fleet.list();
    }
    let mut ledger = Ledger::default();
    let spent = spend(&mut fleets, &mut ledger, 60);
    assert!((18_000..=20_000).contains(&spent), "{spent}");
    assert!(ledger.drawn("seed") <= 20_000);
}

#[test]
fn what_was_seen_long_ago_is_hardly_trusted() {
    let mut idle = metered("entry-0", &[("seed", 20_000, HOUR_MS)]);
    let mut busy = metered("entry-1", &[("seed", 20_000, HOUR_MS)]);
    let mut ledger = Ledger::default();
    let mut spent = spend(std::slice::from_mut(&mut idle), &mut ledger, 1);
    spent += spend(std::slice::from_mut(&mut busy), &mut ledger, 120);
    idle.wait(60_000);
    for number in 0..40 {
        let commands = idle.arrive(&[text(&format!("burst {number}"), 1_000)]);
        spent += sent(&commands).map_or(0, |send| finish(&mut idle, send.attempt));
    }
    assert!((19_000..=20_000 + 20_000 / 64).contains(&spent), "{spent}");
}

#[test]
fn a_lost_answer_draws_once() {
    let mut fleet = metered("entry-0", &[("seed", 20_000, HOUR_MS)]);
    let mut ledger = Ledger {
        lost: (1..40).step_by(2).collect(),
        ..Ledger::default()
    };
    let spent = spend(std::slice::from_mut(&mut fleet), &mut ledger, 120);
    assert!((19_000..=20_000).contains(&spent), "{spent}");
    assert!(ledger.drawn("seed") <= 20_000);
}

#[test]
fn an_outage_from_the_start_costs_no_answers_up_to_a_bound() {
    let mut fleet = metered("entry-0", &[("seed", 640_000, HOUR_MS)]);
    let mut ledger = Ledger {
        is_down: true,
        ..Ledger::default()
    };
    let spent = spend(std::slice::from_mut(&mut fleet), &mut ledger, 60);
    assert!((9_000..=10_000).contains(&spent), "{spent}");
    ledger.is_down = false;
    spend(std::slice::from_mut(&mut fleet), &mut ledger, 3);
    assert!(ledger.drawn("seed") >= spent, "the debt is drawn");
}

#[test]
fn an_outage_later_is_bridged_by_what_is_left() {
    let mut fleet = metered("entry-0", &[("seed", 100_000, HOUR_MS)]);
    let mut ledger = Ledger::default();
    spend(std::slice::from_mut(&mut fleet), &mut ledger, 10);
    ledger.is_down = true;
    let spent = spend(std::slice::from_mut(&mut fleet), &mut ledger, 400);
    assert!((40_000..=60_000).contains(&spent), "{spent}");
}

#[test]
fn work_that_was_not_done_is_not_paid() {
    let mut fleet = metered("entry-0", &[("seed", 2_000, HOUR_MS)]);
    let mut ledger = Ledger::default();
    for number in 0..40 {
        let tick = fleet.wait(600);
        ledger.serve(&mut fleet, tick);
        if let Ok(send) = send_unique(&mut fleet, &mut ledger, number) {
            let request = send.request;
            fleet.handle(Event::CallerLeft { request });
        }
    }
    let spent = spend(std::slice::from_mut(&mut fleet), &mut ledger, 20);
    assert!((1_600..=2_000).contains(&spent), "{spent}");
}

#[test]
fn work_that_may_wait_gets_through_near_a_lapse() {
    let is_deferrable_admitted = |lapses_in_ms: u64| {
        let mut fleet = metered("entry-0", &[("seed", 10_000_000, lapses_in_ms)]);
        let mut ledger = Ledger::default();
        send_unique(&mut fleet, &mut ledger, 0).expect("sent");
        fleet.report(0, |report| report.queued_tokens = Tokens(12_000));
        let commands = fleet.arrive_as("trust", "notes", &[text("notes", 1_000)]);
        sent(&commands).is_some()
    };
    assert!(is_deferrable_admitted(HOUR_MS / 2));
    assert!(!is_deferrable_admitted(20 * HOUR_MS));
}
