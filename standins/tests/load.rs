//! The load tool's schedules, accounting and choices.

use {
    cactusspur_core::{PIECE_BYTES, PIECE_TOKENS, TimeMs},
    cactusspur_standins::load::{
        kitahama,
        measure::{ALL_CHATS, COLUMNS, Observed, Spread},
        outcome::{End, Outcome},
        plot,
        policy::{Chooser, EngineLoad, Policy},
        report::Report,
        scenario::Scenario,
        schedule::{Plan, Planned, Schedule},
        text, trust,
        unbounded::{PromptTokens, chain, unbounded},
        workload::{Workload, lasting_grant},
    },
    std::time::Duration,
    test_case::test_case,
};

const CUSTOMERS: usize = 8;

fn plan(workload: Workload) -> Plan {
    Plan {
        workload,
        seed: 7,
        duration: Duration::from_secs(10),
        warm_up: Duration::ZERO,
        rate_per_s: 40.0,
        hot_prefix_moves: false,
    }
}

fn is_chat(schedule: &Schedule, request: &Planned) -> bool {
    let class = schedule.workload.classes()[request.class];
    class.service.is_none()
}

fn chats(schedule: &Schedule) -> impl Iterator<Item = &Planned> {
    let requests = schedule.requests.iter();
    requests.filter(|request| is_chat(schedule, request))
}

#[test_case(Workload::Trust)]
#[test_case(Workload::Kitahama)]
fn the_same_seed_gives_the_same_schedule(workload: Workload) {
    let schedule = Schedule::of(&plan(workload));
    assert_eq!(schedule, Schedule::of(&plan(workload)));
    let other = Plan {
        seed: 8,
        ..plan(workload)
    };
    assert_ne!(schedule, Schedule::of(&other));
}

#[test_case(Workload::Trust)]
#[test_case(Workload::Kitahama)]
fn requests_are_in_order_within_the_run_at_about_the_rate(workload: Workload) {
    let schedule = Schedule::of(&plan(workload));
    assert!(schedule.requests.is_sorted_by_key(|request| request.at_us));
    assert!(schedule.requests.last().unwrap().at_us < 10_000_000);
    let count = chats(&schedule).count();
    assert!(
        (280..=520).contains(&count),
        "{count} chats in place of 400"
    );
}

#[test_case(Workload::Trust)]
#[test_case(Workload::Kitahama)]
fn few_customers_are_large_and_all_take_part(workload: Workload) {
    let schedule = Schedule::of(&plan(workload));
    let mut counts = [0; CUSTOMERS];
    for request in chats(&schedule) {
        counts[request.customer] += 1;
    }
    let large: usize = counts[..3].iter().sum();
    let all: usize = counts.iter().sum();
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    assert!(large * 2 > all, "{counts:?}");
}

#[test_case(
    Workload::Trust,
    trust::RULES_PIECES,
    trust::DESIGN_PIECES,
    trust::QUESTION_BYTES
)]
#[test_case(
    Workload::Kitahama,
    kitahama::MANUAL_PIECES,
    kitahama::HISTORY_PIECES,
    kitahama::QUESTION_BYTES
)]
fn levels_end_at_the_edges_of_pieces(
    workload: Workload,
    first_pieces: usize,
    second_pieces: usize,
    question_bytes: usize,
) {
    let schedule = Schedule::of(&plan(workload));
    for request in chats(&schedule) {
        let sizes: Vec<usize> = request.levels.iter().map(|level| level.len()).collect();
        let first = first_pieces * PIECE_BYTES;
        assert_eq!(sizes, [first, second_pieces * PIECE_BYTES, question_bytes]);
        let chain = chain(&schedule, request);
        assert_eq!(
            chain.level_ends[..2],
            [first_pieces, first_pieces + second_pieces]
        );
    }
}

#[test]
fn house_rules_are_one_text_a_customer_and_move_when_asked() {
    let steady = Schedule::of(&plan(Workload::Trust));
    let moving = Schedule::of(&Plan {
        hot_prefix_moves: true,
        ..plan(Workload::Trust)
    });
    let rules = |schedule: &Schedule| {
        let mut rules: Vec<_> = chats(schedule).map(|chat| chat.levels[0].clone()).collect();
        rules.sort();
        rules.dedup();
        rules.len()
    };
    assert_eq!(rules(&steady), CUSTOMERS);
    assert!(rules(&moving) > CUSTOMERS);
}

#[test]
fn customers_share_no_pieces() {
    let schedule = Schedule {
        workload: Workload::Trust,
        requests: vec![chat(0, &[("rules", 2)]), chat(1, &[("rules", 2)])],
    };
    let chains: Vec<_> = schedule
        .requests
        .iter()
        .map(|request| chain(&schedule, request).pieces)
        .collect();
    assert_ne!(chains[0][0], chains[1][0]);
}

/// A chat with levels of whole pieces, then a question shorter than a piece.
fn chat(customer: usize, levels: &[(&str, usize)]) -> Planned {
    let mut levels: Vec<_> = levels
        .iter()
        .map(|(label, pieces)| text::pieces(1, label, *pieces))
        .collect();
    levels.push(text::text(1, "question", 40));
    Planned {
        at_us: 0,
        customer,
        class: 0,
        levels,
        max_answer_tokens: 4,
        key: None,
    }
}

fn hold() -> Planned {
    Planned {
        at_us: 0,
        customer: 0,
        class: Workload::Trust.class("stone-hold").unwrap(),
        levels: vec![text::text(1, "hold", 40)],
        max_answer_tokens: 0,
        key: Some("key".to_owned()),
    }
}

/// Three levels of sharing: nothing, the rules, the rules and the design; then another customer.
fn tiny() -> Schedule {
    Schedule {
        workload: Workload::Trust,
        requests: vec![
            chat(0, &[("rules", 3), ("design a", 2)]),
            chat(0, &[("rules", 3), ("design b", 2)]),
            hold(),
            chat(0, &[("rules", 3), ("design a", 2)]),
            chat(1, &[("rules", 3), ("design a", 2)]),
        ],
    }
}

#[test]
fn the_unbounded_cache_is_accounted_exactly() {
    let prompt = 5 * PIECE_TOKENS + 10;
    let tokens = |pieces: u64| PromptTokens {
        prompt,
        cached: pieces * PIECE_TOKENS,
    };
    let expected = [
        tokens(0),
        tokens(3),
        PromptTokens::default(),
        tokens(5),
        tokens(0),
    ];
    assert_eq!(unbounded(&tiny()), expected);
}

fn complete(first_token_us: u64, cached_pieces: u64) -> Outcome {
    Outcome {
        end: End::Complete,
        first_token_us: Some(first_token_us),
        gaps_us: vec![1_000],
        prompt: Some(PromptTokens {
            prompt: 5 * PIECE_TOKENS + 10,
            cached: cached_pieces * PIECE_TOKENS,
        }),
        answer_tokens: 4,
    }
}

fn refused() -> Outcome {
    Outcome::without_answer(End::Refused {
        cause: "overload".to_owned(),
    })
}

#[test]
fn figures_count_recomputed_tokens_targets_and_refusals() {
    let schedule = tiny();
    let outcomes = [
        complete(200_000, 0),
        complete(251_000, 1),
        refused(),
        complete(100_000, 5),
        refused(),
    ];
    let observed = Observed {
        schedule: &schedule,
        unbounded: &unbounded(&schedule),
        outcomes: &outcomes,
        counted_from_us: 0,
        fault_at: None,
    };
    let record = observed.record(Policy::RoundRobin, 0);
    let all = &record.figures[0];
    assert_eq!(all.name, ALL_CHATS);
    assert_eq!((all.requests, all.complete, all.met_target), (4, 3, 2));
    assert_eq!(all.refused[0].count, 1);
    assert_eq!(all.recomputed_tokens, 2 * PIECE_TOKENS);
    assert_eq!(all.cached_tokens, 6 * PIECE_TOKENS);
    assert_eq!(all.unbounded_tokens, 8 * PIECE_TOKENS);
    let computed = 9 * PIECE_TOKENS + 3 * 10 + 3 * 4;
    assert_eq!(all.cost_microcredits, computed);
    assert_eq!(observed.spent_before(1)[0], computed);
    assert_eq!(observed.spent_before(0), [0; CUSTOMERS]);
}

#[test]
fn a_report_is_shown_and_drawn_with_all_its_policies() {
    let schedule = tiny();
    let outcomes: Vec<Outcome> = (1..=5).map(|at| complete(at * 10_000, 0)).collect();
    let observed = Observed {
        schedule: &schedule,
        unbounded: &unbounded(&schedule),
        outcomes: &outcomes,
        counted_from_us: 0,
        fault_at: None,
    };
    let report = Report {
        workload: Workload::Trust,
        scenario: Scenario::Steady,
        seed: 7,
        seconds: 1,
        warm_up_seconds: 0,
        rate_per_s: 4.0,
        capacity_per_s: 100.0,
        entry_vms: 3,
        unbounded_hit_rate: 0.5,
        runs: vec![
            observed.record(Policy::RoundRobin, 0),
            observed.record(Policy::PrefixHash, 0),
        ],
        medians: Vec::new(),
    }
    .with_medians();
    let drawing = plot::svg(&report).unwrap();
    for policy in ["round-robin", "prefix-hash"] {
        assert!(report.to_string().contains(policy));
        assert!(drawing.contains(policy));
    }
    let classes = report.classes().len();
    assert_eq!(report.medians.len(), 2 * classes * COLUMNS.len());
    let text = serde_json::to_string(&report).unwrap();
    let read: Report = serde_json::from_str(&text).unwrap();
    assert_eq!(read.medians, report.medians);
}

#[test]
fn standings_are_against_the_best_baseline() {
    let schedule = tiny();
    let tokens = unbounded(&schedule);
    let run = |policy, first_token_us: u64, cached_pieces| {
        let outcomes: Vec<Outcome> = (0..5)
            .map(|_| complete(first_token_us, cached_pieces))
            .collect();
        let observed = Observed {
            schedule: &schedule,
            unbounded: &tokens,
            outcomes: &outcomes,
            counted_from_us: 0,
            fault_at: None,
        };
        observed.record(policy, 0)
    };
    let report = Report {
        workload: Workload::Trust,
        scenario: Scenario::Steady,
        seed: 7,
        seconds: 1,
        warm_up_seconds: 0,
        rate_per_s: 4.0,
        capacity_per_s: 100.0,
        entry_vms: 3,
        unbounded_hit_rate: 0.5,
        runs: vec![
            run(Policy::Cactusspur, 50_000, 4),
            run(Policy::Earlier, 10_000, 5),
            run(Policy::RoundRobin, 200_000, 3),
            run(Policy::PrefixHash, 100_000, 1),
        ],
        medians: Vec::new(),
    };
    let standings = report.standings();
    let near = |at: usize, expected: f64| (standings[at].standing - expected).abs() < 0.01;
    assert_eq!(standings[0].of, "prefix-hash");
    assert!(near(0, 0.5), "{}", standings[0]);
    assert_eq!(standings[1].of, "round-robin");
    assert!(near(1, 0.5), "{}", standings[1]);
    assert!(near(3, 1.0), "{}", standings[3]);
}

#[test]
fn customers_have_parts_of_grants_by_their_shares() {
    let lapses_at_ms = TimeMs(1_000);
    let declarations = Workload::Trust.declarations(&[lasting_grant(lapses_at_ms)]);
    let amounts: Vec<u64> = declarations
        .customers
        .iter()
        .map(|customer| customer.credits[0].amount_microcredits.0)
        .collect();
    assert_eq!(amounts[0], 5 * amounts[7]);
    assert!(declarations.customers.iter().all(|customer| {
        customer.credits.len() == 1 && customer.credits[0].lapses_at_ms == lapses_at_ms
    }));
}

#[test_case(&[3.0, 1.0, 2.0], 2.0; "odd")]
#[test_case(&[4.0, 1.0, 2.0, 3.0], 2.5; "even")]
fn a_spread_has_the_median(values: &[f64], median: f64) {
    let spread = Spread::of(values.to_vec());
    assert!((spread.median - median).abs() < f64::EPSILON);
}

#[test]
fn round_robin_takes_turns_and_passes_over_failed_engines() {
    let chooser = Chooser::open(Policy::RoundRobin, 3);
    let request = chat(0, &[("rules", 1)]);
    let chosen: Vec<_> = (0..4).map(|_| chooser.choose(&request, &[])).collect();
    assert_eq!(chosen, [Some(0), Some(1), Some(2), Some(0)]);
    assert_eq!(chooser.choose(&request, &[0, 1]), Some(2));
    assert_eq!(chooser.choose(&request, &[0, 1, 2]), None);
}

#[test]
fn prefix_hash_depends_on_the_levels_before_the_question() {
    let chooser = Chooser::open(Policy::PrefixHash, 12);
    let request = chat(0, &[("rules", 1), ("design", 1)]);
    let mut other_question = request.clone();
    other_question.levels[2] = text::text(1, "another question", 40);
    let chosen = chooser.choose(&request, &[]).unwrap();
    assert_eq!(chooser.choose(&other_question, &[]), Some(chosen));
    let next = chooser.choose(&request, &[chosen]).unwrap();
    assert_ne!(next, chosen);
}

#[test]
fn least_loaded_counts_what_it_has_sent_since_the_report() {
    let chooser = Chooser::open(Policy::LeastLoaded, 2);
    let request = chat(0, &[("rules", 1)]);
    let load = |running| EngineLoad {
        running,
        queued_tokens: 0,
    };
    chooser.report(0, load(2));
    chooser.report(1, load(0));
    let chosen: Vec<_> = (0..2).map(|_| chooser.choose(&request, &[])).collect();
    assert_eq!(chosen, [Some(1), Some(1)]);
    chooser.report(1, load(5));
    assert_eq!(chooser.choose(&request, &[]), Some(0));
}

#[test]
fn steps_of_a_scenario_are_in_order_and_end_what_they_begin() {
    let duration = Duration::from_secs(20);
    let cut = Scenario::DomainCut.steps(duration);
    assert!(cut.is_sorted_by_key(|step| step.at));
    assert_eq!(cut.len(), 4);
    let outage = Scenario::PlatformOutage.steps(duration);
    assert_eq!(outage.last().unwrap().at, Duration::from_secs(15));
    assert_eq!(Scenario::Steady.steps(duration), []);
}
