//! Tests of admission under overload: targets, customers' shares, deferrable classes, the retry
//! budget and moves of overdue requests.

mod fleet;

use {
    bytes::Bytes,
    cactusspur_core::{Cause, Command, Event, Failure, Incarnation, Tokens, Verdict},
    fleet::{
        Fleet, TARGET_MS,
        model::{EngineSettings, Model},
        refused, sent, text,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    test_case::test_case,
};

fn question(number: usize) -> Vec<Bytes> {
    vec![text(&format!("question {number}"), 4_000)]
}

/// A fleet of one worker with a queue of `tokens` tokens, at 8 tokens per millisecond.
fn fleet_with_queue(tokens: u64) -> Fleet {
    let mut fleet = Fleet::open("entry-0", 1, 1);
    fleet.report(0, |report| report.queued_tokens = Tokens(tokens));
    fleet
}

#[test_case("check", 12_000, None; "within the target")]
#[test_case("check", 16_000, Some(Cause::Overload); "out of reach")]
#[test_case("notes", 12_000, Some(Cause::Overload); "deferrable work waits for a quieter time")]
#[test_case("notes", 4_000, None; "deferrable work in a quiet time")]
fn the_target_decides(class: &str, tokens: u64, cause: Option<Cause>) {
    let mut fleet = fleet_with_queue(tokens);
    let commands = fleet.arrive_as("trust", class, &question(0));
    assert_eq!(refused(&commands).map(|refusal| refusal.cause), cause);
    assert_eq!(sent(&commands).is_none(), cause.is_some());
}

#[test]
fn a_refusal_comes_at_once_and_says_when_the_backlog_is_gone() {
    let mut fleet = fleet_with_queue(80_000);
    let refusal = refused(&fleet.arrive(&question(0))).expect("a refusal");
    assert_eq!(refusal.verdict, Verdict::NotRun);
    let retry_after_ms = refusal.retry_after_ms.0;
    assert!(
        (9_000..=12_000).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
}

#[test]
fn work_that_alone_takes_the_target_is_served_by_an_idle_worker() {
    let long = [text("long", 100_000)];
    assert!(sent(&fleet_with_queue(0).arrive(&long)).is_some());
    assert!(sent(&fleet_with_queue(8_000).arrive(&long)).is_none());
}

#[test]
fn a_large_customer_leaves_room_for_a_small_one() {
    let mut fleet = Fleet::open("entry-0", 1, 1);
    fleet.arrive_as("other", "check", &question(1_000));
    let mut cause = None;
    for number in 0..100 {
        let commands = fleet.arrive_as("trust", "check", &question(number));
        cause = refused(&commands).map(|refusal| refusal.cause);
        if cause.is_some() {
            break;
        }
    }
    assert_eq!(cause, Some(Cause::OverShare));
    let small = fleet.arrive_as("other", "check", &question(1_001));
    assert!(sent(&small).is_some());
}

#[test]
fn a_customer_alone_may_use_everything() {
    let mut fleet = Fleet::open("entry-0", 1, 1);
    let sent = (0..100)
        .filter(|number| sent(&fleet.arrive(&question(*number))).is_some())
        .count();
    let admissible = TARGET_MS.0 * 8 * 9 / 10 / 1_000;
    assert_eq!(sent as u64, admissible);
}

#[test]
fn the_earlier_target_and_the_smaller_customer_go_first() {
    let mut fleet = Fleet::open("entry-0", 1, 1);
    let first = fleet.send(&question(0)).priority;
    fleet.wait(500);
    let later = sent(&fleet.arrive_as("other", "check", &question(1))).expect("sent");
    assert!(first < later.priority);
    for number in 2..6 {
        fleet.send(&question(number));
    }
    let large = fleet.send(&question(7)).priority;
    let small = sent(&fleet.arrive_as("other", "check", &question(8))).expect("sent");
    assert!(small.priority < large);
}

#[test]
fn an_outage_does_not_multiply_the_traffic() {
    let mut fleet = Fleet::open("entry-0", 12, 1);
    let mut attempts = 0;
    for number in 0..500 {
        let mut next = sent(&fleet.arrive(&question(number)));
        while let Some(send) = next {
            attempts += 1;
            next = sent(&fleet.fail(send.attempt, Failure::Refused));
        }
        fleet.wait(1);
    }
    assert!((500..=570).contains(&attempts), "{attempts}");
}

#[test]
fn a_stream_is_resumed_beyond_the_budget() {
    let mut fleet = Fleet::open("entry-0", 12, 1);
    for number in 0..30 {
        let send = fleet.send(&question(number));
        fleet.handle(Event::Piece {
            attempt: send.attempt,
            offset_bytes: 0,
            text: Bytes::from_static(b"answer"),
        });
        let retry = sent(&fleet.fail(send.attempt, Failure::Broken));
        fleet.handle(Event::Probed {
            worker: send.worker,
            incarnation: Some(Incarnation(1)),
        });
        assert_eq!(retry.map(|send| send.resume_offset_bytes), Some(6));
    }
}

/// The workers compute 96,000 tokens per second in total. With requests of a thousand tokens
/// without a common prefix, the capacity is 96 requests per second; 144 per second arrive.
#[test]
fn work_on_target_stays_near_the_capacity_under_overload() {
    const CORES: usize = 6;
    const SECONDS: u64 = 30;
    const CAPACITY: u64 = 96;
    let engines = EngineSettings {
        count: 12,
        prefill_rate: 8_000,
        slots: 16,
        answer_ms: 500,
        cache_pieces: 1_000,
    };
    let mut model = Model::open(CORES, engines);
    let mut random = StdRng::seed_from_u64(1);
    let mut number = 0;
    for _ in 0..SECONDS * 1_000 {
        if random.random_range(0..1_000) < CAPACITY * 3 / 2 {
            number += 1;
            let core = random.random_range(0..CORES);
            model.arrive(core, "trust", "check", &question(number));
        }
        model.step();
    }
    let met = model.outcome.within_target(TARGET_MS.0);
    let late = model.outcome.first_token_ms.len() - met;
    let min_met = CAPACITY * SECONDS * 9 / 10;
    assert!(met as u64 >= min_met, "{met} of {min_met}, {late} late");
}

#[test]
fn an_overdue_request_moves_once_and_its_old_attempt_is_cancelled() {
    let mut fleet = Fleet::open("entry-0", 4, 1);
    let first = fleet.send(&question(0));
    assert!(sent(&fleet.wait(TARGET_MS.0 / 4)).is_none());
    let commands = fleet.wait(TARGET_MS.0 / 2);
    let second = sent(&commands).expect("a second attempt");
    assert_ne!(second.worker, first.worker);
    let cancel = Command::Cancel {
        attempt: first.attempt,
        worker: first.worker,
    };
    assert!(commands.contains(&cancel), "{commands:?}");
    assert!(sent(&fleet.wait(TARGET_MS.0 * 3 / 4)).is_none());
}

#[test]
fn overdue_requests_move_within_the_budget() {
    let mut fleet = Fleet::open("entry-0", 12, 1);
    for number in 0..40 {
        fleet.send(&question(number));
    }
    let is_send = |command: &&Command| matches!(command, Command::Send(_));
    let moved = fleet.wait(TARGET_MS.0 * 3 / 4);
    assert!(moved.iter().filter(is_send).count() <= 14);
}

#[test]
fn begun_answers_do_not_move() {
    let mut fleet = Fleet::open("entry-0", 4, 1);
    let send = fleet.send(&question(0));
    fleet.handle(Event::Piece {
        attempt: send.attempt,
        offset_bytes: 0,
        text: Bytes::from_static(b"answer"),
    });
    assert!(sent(&fleet.wait(TARGET_MS.0 * 3 / 4)).is_none());
}
