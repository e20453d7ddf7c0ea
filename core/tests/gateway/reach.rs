//! When a gateway concludes that it is cut off from the servers of a service.

use cactusspur_core::{DurationMs, TimeMs, WorkerId, gateway::Reach};

const SERVICE: &str = "plain";
const LISTED: usize = 8;

fn unreachable(reach: &mut Reach, server: u64, at_ms: u64) -> bool {
    reach.record_unreachable(SERVICE, WorkerId(server), LISTED, TimeMs(at_ms))
}

/// A single server that crashed, however often it is tried, is no cut; nor are several with answers of
/// others in between.
#[test]
fn failed_servers_among_others_that_answer_are_no_cut() {
    let mut reach = Reach::default();
    for at_ms in 1..9 {
        assert!(!unreachable(&mut reach, 1, at_ms));
    }
    reach.record_answer(SERVICE);
    assert!(!unreachable(&mut reach, 2, 10));
    reach.record_answer(SERVICE);
    assert!(!unreachable(&mut reach, 3, 12));
    assert!(!reach.is_lost(SERVICE));
}

#[test]
fn several_servers_without_an_answer_in_between_are_a_cut() {
    let mut reach = Reach::default();
    assert!(!unreachable(&mut reach, 1, 10));
    assert!(unreachable(&mut reach, 2, 11));
    // Once only.
    assert!(!unreachable(&mut reach, 3, 12));
    assert_eq!(reach.lost().collect::<Vec<_>>(), [SERVICE]);
    assert!(!reach.is_lost("other"));
    // A service of one server.
    assert!(reach.record_unreachable("other", WorkerId(1), 1, TimeMs(13)));
}

/// Answers on connections that were opened before the cut don't end it; a trial connection does.
#[test]
fn only_a_trial_ends_a_cut() {
    let mut reach = Reach::default();
    assert!(!unreachable(&mut reach, 1, 10));
    assert!(unreachable(&mut reach, 2, 11));
    reach.record_answer(SERVICE);
    assert!(reach.is_lost(SERVICE));
    let lasted = reach.record_reached(SERVICE, TimeMs(111));
    assert_eq!(lasted, Some(DurationMs(100)));
    assert!(!reach.is_lost(SERVICE));
    // Cut again.
    assert!(!unreachable(&mut reach, 1, 120));
    assert!(unreachable(&mut reach, 2, 121));
}

/// Exchanges that broke at several servers, without an answer in between, call for a trial, which decides.
#[test]
fn exchanges_that_break_at_several_servers_call_for_a_trial() {
    let mut reach = Reach::default();
    let mut broken = |server| reach.record_broken(SERVICE, WorkerId(server), LISTED);
    assert!(!broken(1) && !broken(1));
    assert!(broken(2));
    reach.record_answer(SERVICE);
    assert!(!reach.record_broken(SERVICE, WorkerId(3), LISTED));
    assert!(reach.record_broken("other", WorkerId(1), 1));
    assert!(!reach.is_lost(SERVICE) && !reach.is_lost("other"));
}

/// Servers that accept connections and stay silent may be slow, which any answer shows.
#[test]
fn silence_is_told_apart_from_connections_that_fail() {
    let mut reach = Reach::default();
    let before = reach.answers(SERVICE);
    assert!(!reach.record_silent(SERVICE, WorkerId(1), LISTED, TimeMs(10)));
    assert!(reach.record_silent(SERVICE, WorkerId(2), LISTED, TimeMs(11)));
    assert!(reach.is_lost(SERVICE) && !reach.has_closed(SERVICE));
    reach.record_answer(SERVICE);
    assert_ne!(reach.answers(SERVICE), before);
    assert!(!unreachable(&mut reach, 3, 12));
    assert!(reach.has_closed(SERVICE));
}

#[test]
fn one_trial_at_a_time() {
    let mut reach = Reach::default();
    assert!(reach.begin_trial(SERVICE));
    assert!(!reach.begin_trial(SERVICE));
    reach.end_trial(SERVICE);
    assert!(reach.begin_trial(SERVICE));
}

/// Requests that are given up one after the other keep the time since the first one.
#[test]
fn a_service_is_silent_until_any_server_answers() {
    let limit = DurationMs(750);
    let mut reach = Reach::default();
    assert!(!reach.is_silent(SERVICE, limit, TimeMs(9_000)));
    assert_eq!(reach.record_sent(SERVICE, TimeMs(1_000)), TimeMs(1_000));
    assert_eq!(reach.record_sent(SERVICE, TimeMs(1_500)), TimeMs(1_000));
    assert!(!reach.is_silent(SERVICE, limit, TimeMs(1_749)));
    assert!(reach.is_silent(SERVICE, limit, TimeMs(1_750)));
    reach.record_answer(SERVICE);
    assert!(!reach.is_silent(SERVICE, limit, TimeMs(1_750)));
    // A service whose servers accept connections is slow, not cut off.
    reach.record_sent(SERVICE, TimeMs(2_000));
    assert_eq!(reach.record_reached(SERVICE, TimeMs(2_800)), None);
    assert!(!reach.is_silent(SERVICE, limit, TimeMs(2_800)));
}
