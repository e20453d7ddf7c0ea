//! Tests of placement: cache reuse, agreement between entry VMs, distribution of load, stale
//! reports, failures and roll-outs.

mod fleet;

use {
    bytes::Bytes,
    cactusspur_core::{Event, Failure, Tokens, TokensPerSecond, WeightsVersion, WorkerId},
    fleet::{Fleet, sent, text, worker},
    std::collections::{BTreeSet, VecDeque},
    test_case::test_case,
};

/// Tokens in the first two levels of a prompt, its rules and its site.
const HOME_TOKENS: u64 = 3_072;

fn prompt(site: usize, question: usize) -> Vec<Bytes> {
    vec![
        text("rules", 8_192),
        text(&format!("site {site}"), 4_096),
        text(&format!("question {question}"), 300),
    ]
}

#[test_case(12; "all compared")]
#[test_case(1_000; "a few compared")]
fn entry_vms_agree_without_talking(workers: usize) {
    let mut first_vm = Fleet::open("entry-0", workers, 1);
    let mut second_vm = Fleet::open("entry-1", workers, 1);
    for site in 0..10 {
        let first = first_vm.send(&prompt(site, 0)).worker;
        let second = second_vm.send(&prompt(site, 1)).worker;
        assert_eq!(first, second, "site {site}");
        first_vm.wait(3_000);
        second_vm.wait(3_000);
    }
}

#[test_case(12; "all compared")]
#[test_case(1_000; "a few compared")]
fn the_holder_of_a_prefix_gets_its_next_request(workers: usize) {
    let mut fleet = Fleet::open("entry-0", workers, 3);
    let first = fleet.send(&prompt(1, 0));
    fleet.finish(first.attempt, 0);
    fleet.wait(2_000);
    let second = fleet.send(&prompt(1, 1));
    assert_eq!(first.worker, second.worker);
}

#[test]
fn a_holder_out_of_reach_is_passed_over() {
    let mut fleet = Fleet::open("entry-0", 12, 1);
    let first = fleet.send(&prompt(1, 0));
    fleet.finish(first.attempt, 0);
    let busy = (0..12).find(|number| worker(*number) == first.worker);
    fleet.report(busy.unwrap_or_default(), |report| {
        report.queued_tokens = Tokens(40_000);
    });
    assert_ne!(fleet.send(&prompt(1, 1)).worker, first.worker);
}

#[test]
fn own_sends_count_on_top_of_a_stale_report() {
    let mut fleet = Fleet::open("entry-0", 12, 1);
    let workers: BTreeSet<WorkerId> = (0..24)
        .map(|question| {
            let levels = [text(&format!("question {question}"), 16_000)];
            fleet.send(&levels).worker
        })
        .collect();
    assert!(workers.len() > 8, "{workers:?}");
}

#[test_case(12; "all compared")]
#[test_case(1_000; "a few compared")]
fn a_hot_level_spreads_and_shrinks_again(workers: usize) {
    let mut fleet = Fleet::open("entry-0", workers, 1);
    let first = fleet.send(&prompt(1, 0));
    fleet.finish(first.attempt, 0);
    fleet.wait(3_000);
    let mut hot = BTreeSet::from([first.worker]);
    let mut running = VecDeque::new();
    for question in 1..400 {
        let send = fleet.send(&prompt(1, question));
        let cached = if hot.insert(send.worker) {
            0
        } else {
            HOME_TOKENS
        };
        running.push_back((send.attempt, cached));
        if running.len() > 60 {
            let (attempt, cached) = running.pop_front().unwrap_or_default();
            fleet.finish(attempt, cached);
        }
        fleet.wait(10);
    }
    assert!(hot.len() > 2, "{hot:?}");
    for (attempt, cached) in running {
        fleet.finish(attempt, cached);
    }
    for _ in 0..100 {
        fleet.wait(12_000);
        for number in 0..workers {
            fleet.report(number, |_| {});
        }
    }
    for question in 500..510 {
        let send = fleet.send(&prompt(1, question));
        assert_eq!(send.worker, first.worker, "{question}");
        fleet.finish(send.attempt, if question == 500 { 0 } else { HOME_TOKENS });
        fleet.wait(10_000);
    }
}

#[test]
fn a_worker_that_fails_quickly_is_left_alone() {
    let mut fleet = Fleet::open("entry-0", 4, 1);
    let first = fleet.send(&prompt(1, 0));
    let retry = sent(&fleet.fail(first.attempt, Failure::Refused)).expect("a retry");
    assert_ne!(retry.worker, first.worker);
    fleet.wait(50);
    assert_ne!(fleet.send(&prompt(1, 1)).worker, first.worker);
}

#[test]
fn a_failed_prompt_is_not_believed_cached() {
    let mut fleet = Fleet::open("entry-0", 1_000, 1);
    let first = fleet.send(&prompt(1, 0));
    fleet.handle(Event::CallerLeft {
        request: first.request,
    });
    let mut fresh = Fleet::open("entry-0", 1_000, 1);
    let expected = fresh.send(&prompt(2, 0)).worker;
    assert_eq!(fleet.send(&prompt(2, 0)).worker, expected);
}

#[test]
fn a_roll_out_serves_the_old_weights_until_a_worker_has_the_new() {
    let mut fleet = Fleet::open("entry-0", 4, 1);
    let customers = vec![fleet::customer("trust", Vec::new())];
    fleet.configure(2, vec![fleet::class("check", false)], customers);
    let weights = |send: &cactusspur_core::Send| send.scope.map(|scope| scope.weights);
    assert_eq!(weights(&fleet.send(&prompt(1, 0))), Some(WeightsVersion(1)));
    fleet.report(2, |report| report.models[0].1 = WeightsVersion(2));
    let send = fleet.send(&prompt(1, 1));
    assert_eq!(weights(&send), Some(WeightsVersion(2)));
    assert_eq!(send.worker, worker(2));
}

#[test]
fn a_large_domain_serves_itself_while_it_can() {
    let mut fleet = Fleet::open("entry-0", 240, 3);
    let domain_workers: BTreeSet<WorkerId> = (0..240).step_by(3).map(worker).collect();
    for site in 0..20 {
        assert!(domain_workers.contains(&fleet.send(&prompt(site, 0)).worker));
    }
    for number in (0..240).step_by(3) {
        fleet.report(number, |report| report.queued_tokens = Tokens(100_000));
    }
    assert!(!domain_workers.contains(&fleet.send(&prompt(30, 0)).worker));
}

#[test]
fn kept_pieces_are_imported_where_that_is_quicker() {
    let mut fleet = Fleet::open("entry-0", 4, 1);
    for number in 0..4 {
        fleet.report(number, |report| {
            report.import_rate = TokensPerSecond(100_000);
        });
    }
    let mut exported = 0;
    let mut holder = WorkerId(0);
    for question in 0..6 {
        let send = fleet.send(&prompt(1, question));
        exported += send.export.len();
        holder = send.worker;
        fleet.finish(send.attempt, if question == 0 { 0 } else { HOME_TOKENS });
        fleet.wait(100);
    }
    assert_eq!(exported, 48, "the home level is exported once");
    let number = (0..4).find(|number| worker(*number) == holder);
    fleet.report(number.unwrap_or_default(), |report| {
        report.queued_tokens = Tokens(100_000);
    });
    let send = fleet.send(&prompt(1, 9));
    assert_ne!(send.worker, holder);
    assert_eq!(send.import.len(), 48);
}

#[test]
fn figures_out_of_all_bounds_do_no_harm() {
    let mut fleet = Fleet::open("entry-0", 3, 1);
    for number in 0..2 {
        fleet.report(number, |report| {
            report.queued_tokens = Tokens(u64::MAX);
            report.prefill_rate = TokensPerSecond(number as u64 * u64::MAX);
            report.import_rate = TokensPerSecond(u64::MAX);
            report.running = u32::MAX;
            report.slots = 0;
            report.cache_pieces = u64::MAX;
        });
    }
    let send = fleet.send(&prompt(1, 0));
    assert_eq!(send.worker, worker(2));
    fleet.wait(1_000);
    for number in 0..3 {
        fleet.report(number, |report| report.queued_tokens = Tokens(u64::MAX));
    }
    assert!(sent(&fleet.arrive(&prompt(1, 1))).is_none());
}
