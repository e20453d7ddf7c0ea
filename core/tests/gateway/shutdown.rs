//! Requests that come during a shutdown are answered whole or refused as not run, at any moment of it.

use {
    cactusspur_core::{DurationMs, TimeMs, gateway::ShutdownSchedule},
    test_case::test_case,
};

const BEGIN: TimeMs = TimeMs(1_000_000);
/// Callers are promised whole answers to what they send later than this after the signal.
const PROMISED_AFTER_MS: u64 = 3_000;
/// The longest time after the signal at which a busy process notices it.
const NOTICED_MS: u64 = 200;

/// A gateway took requests 3.0 to 3.2 s after SIGTERM whatever their deadline was, and cut them off at the end
/// of the grace period (review/5).
#[test_case(4; "a short grace period")]
#[test_case(8; "the usual grace period")]
#[test_case(30; "a long grace period")]
fn what_is_taken_late_ends_before_the_process(grace_s: u64) {
    let schedule = ShutdownSchedule::new(DurationMs(grace_s * 1_000), BEGIN);
    for at_ms in (0..grace_s * 1_000).step_by(10) {
        let now = BEGIN.after(DurationMs(at_ms));
        for limit_ms in [100, 1_500, 4_400, 6_000, 15_000, 60_000] {
            let answer_by_ms = now.after(DurationMs(limit_ms));
            let is_promised = at_ms + NOTICED_MS >= PROMISED_AFTER_MS;
            if schedule.takes(answer_by_ms, now) && is_promised {
                assert!(
                    answer_by_ms <= schedule.ends_at_ms(),
                    "a request of {limit_ms} ms is taken {at_ms} ms after the signal"
                );
            }
        }
    }
}

/// Requests that end long before the process were refused in a shutdown, so that their callers came back.
#[test]
fn what_ends_in_time_is_taken_until_connections_are_closed() {
    let schedule = ShutdownSchedule::new(DurationMs(8_000), BEGIN);
    for at_ms in (0..=3_100).step_by(10) {
        let now = BEGIN.after(DurationMs(at_ms));
        assert!(schedule.takes(now.after(DurationMs(1_500)), now), "{at_ms}");
    }
    // Most long ones end soon, and a refusal costs their callers one of few repeats.
    let early = BEGIN.after(DurationMs(2_000));
    assert!(schedule.takes(early.after(DurationMs(15_000)), early));
}

/// A process that was busy when connections had to be closed refused the requests that waited in them.
#[test]
fn what_waits_while_the_process_is_busy_is_taken() {
    let schedule = ShutdownSchedule::new(DurationMs(8_000), BEGIN);
    let late = BEGIN.after(DurationMs(3_600));
    let answer_by_ms = late.after(DurationMs(1_500));
    assert!(schedule.takes(answer_by_ms, late));
    assert!(schedule.closed(late).takes(answer_by_ms, late));
    let later = late.after(DurationMs(300));
    assert!(!schedule.closed(late).takes(answer_by_ms, later));
}

/// What is cut off at the end may be so only in the last sixth of the grace period.
#[test]
fn the_process_ends_in_the_last_sixth_of_any_grace_period() {
    for grace_ms in (600..60_000).step_by(100) {
        let schedule = ShutdownSchedule::new(DurationMs(grace_ms), BEGIN);
        let ends_after_ms = schedule.ends_at_ms().since(BEGIN).0;
        assert!(ends_after_ms < grace_ms, "{grace_ms}");
        assert!(ends_after_ms * 6 >= grace_ms * 5, "{grace_ms}");
        assert!(
            schedule.closes_at_ms() < schedule.ends_at_ms(),
            "{grace_ms}"
        );
    }
}
