//! Overload: who is served in time when there is too little for all.

use {
    crate::queue_model::{Kind, Model, Traffic},
    cactusspur_core::{
        DurationMs, TimeMs, Tokens,
        gateway::{Applicant, Decision, Outlook, Overload, RefusalReason},
    },
    test_case::test_case,
};

const DRAFT: Kind = Kind {
    route: "draft",
    priority: 2,
    target_ms: 400,
    deadline_ms: 15_000,
    work_ms: 20,
};
const SCREEN: Kind = Kind {
    route: "screen",
    priority: 1,
    target_ms: 1_200,
    deadline_ms: 5_000,
    work_ms: 60,
};

/// Steady traffic of a customer between two times, in requests a second.
fn traffic(kind: Kind, customer: &'static str, per_second: u64, from_s: u64, to_s: u64) -> Traffic {
    Traffic {
        kind,
        customer,
        per_second,
        from_ms: from_s * 1_000,
        to_ms: to_s * 1_000,
    }
}

/// Five seconds of three times what the servers can do, of one kind of request: most of what they do
/// must be in time, and the lateness must end soon after the burst. Without the decision it lasts for
/// the backlog of the burst.
#[test]
fn a_burst_of_one_kind_does_not_outlast_itself() {
    let load = [
        traffic(DRAFT, "small", 120, 0, 30),
        traffic(DRAFT, "small", 480, 5, 10),
    ];
    let with = Model::new(4).run(&load);
    let without = Model::new(4).without_decision().run(&load);
    let burst = 5_000..10_000;
    let (in_time, before) = (
        with.in_time_percent(burst.clone(), |_| true),
        without.in_time_percent(burst, |_| true),
    );
    // A third of the requests is what the servers can answer in the burst.
    assert!(
        in_time >= 25 && in_time > before,
        "{in_time} after {before}"
    );
    let after = 12_000..30_000;
    let (in_time, before) = (
        with.in_time_percent(after.clone(), |_| true),
        without.in_time_percent(after, |_| true),
    );
    assert!(
        in_time >= 95 && before < in_time,
        "{in_time} after {before}"
    );
}

/// Calm traffic must be sent as it comes.
#[test]
fn calm_traffic_is_not_refused() {
    let load = [
        traffic(DRAFT, "small", 60, 0, 20),
        traffic(SCREEN, "small", 20, 0, 20),
    ];
    let outcome = Model::new(4).run(&load);
    assert_eq!(outcome.refusals, 0);
    assert_eq!(outcome.in_time_percent(0..20_000, |_| true), 100);
}

/// A customer at many times its usual beside small ones: the small ones are served in time, the large one
/// bears its burst, and gets what the small ones leave.
#[test]
fn a_hot_customer_does_not_displace_small_ones() {
    let load = [
        traffic(DRAFT, "small", 30, 0, 20),
        traffic(DRAFT, "second", 30, 0, 20),
        traffic(DRAFT, "large", 400, 4, 20),
    ];
    let outcome = Model::new(4).run(&load);
    let small = outcome.in_time_percent(6_000..20_000, |request| request.customer != "large");
    let large = outcome.in_time_percent(6_000..20_000, |request| request.customer == "large");
    assert!(small >= 90, "small ones in time: {small}");
    // 140 of its 400 requests a second fit beside the others.
    assert!((17..small).contains(&large), "large one in time: {large}");
}

/// Long and short requests of different urgency beyond what servers can do: neither kind starves, and
/// the less urgent one isn't served more often.
#[test]
fn kinds_share_by_urgency_and_none_starves() {
    let load = [
        traffic(DRAFT, "small", 150, 0, 20),
        traffic(SCREEN, "small", 50, 0, 20),
    ];
    let outcome = Model::new(4).run(&load);
    let served =
        |route| outcome.served_percent(4_000..20_000, |request| request.kind.route == route);
    let (draft, screen) = (served("draft"), served("screen"));
    assert!(draft <= screen + 5, "draft {draft}, screen {screen}");
    let all = outcome.served_percent(4_000..20_000, |_| true);
    assert!(draft * 4 >= all, "draft {draft}, all {all}");
}

/// Twice what servers can do, of a route with a tenth of large requests: these must be served at least half
/// as often as all of the route.
#[test]
fn large_requests_do_not_starve() {
    let large = Kind {
        work_ms: 240,
        ..SCREEN
    };
    let load = [
        traffic(SCREEN, "small", 90, 0, 20),
        traffic(large, "small", 10, 0, 20),
    ];
    let outcome = Model::new(4).run(&load);
    let all = outcome.served_percent(4_000..20_000, |_| true);
    let largest = outcome.served_percent(4_000..20_000, |request| request.kind.work_ms == 240);
    assert!(largest * 2 >= all, "largest {largest}, all {all}");
}

/// Predictions that are wrong by a factor, since servers are slower or faster than known: requests that
/// can be in time are sent, others aren't.
#[test_case(300; "servers are three times as slow as predicted")]
#[test_case(50; "servers are twice as fast as predicted")]
fn biased_predictions_are_corrected(slowness_percent: u64) {
    // Twice what the servers can do at that speed.
    let per_second = 400 * 100 / slowness_percent;
    let mut model = Model::new(4);
    model.slowness_percent = slowness_percent;
    let outcome = model.run(&[traffic(DRAFT, "small", per_second, 0, 15)]);
    let in_time = outcome.in_time_percent(5_000..15_000, |_| true);
    assert!(in_time >= 35, "{in_time}");
}

/// Half of the servers are lost under a load that all of them can take: the rest stays of use.
#[test]
fn the_loss_of_half_of_the_servers_leaves_the_rest_of_use() {
    let mut model = Model::new(4);
    model.lost_from_ms = Some(5_000);
    let outcome = model.run(&[traffic(DRAFT, "small", 180, 0, 20)]);
    let in_time = outcome.in_time_percent(7_000..20_000, |_| true);
    assert!(in_time >= 40, "{in_time}");
}

/// Gateways that restart together know nothing of shares and times.
#[test]
fn gateways_that_start_under_load_find_the_limit() {
    let mut model = Model::new(4);
    model.restart_at_ms = Some(8_000);
    let outcome = model.run(&[traffic(DRAFT, "small", 400, 0, 20)]);
    let in_time = outcome.in_time_percent(9_000..20_000, |_| true);
    assert!(in_time >= 35, "{in_time}");
}

/// Callers that repeat at once after a refusal must not crowd out others, nor be refused in favour of
/// them.
#[test]
fn callers_that_repeat_at_once_gain_nothing() {
    let mut model = Model::new(4);
    model.repeats_at_once = true;
    let outcome = model.run(&[traffic(DRAFT, "small", 300, 0, 20)]);
    let in_time = outcome.in_time_percent(5_000..20_000, |_| true);
    assert!(in_time >= 45, "{in_time}");
}

/// An applicant whose caller has `remaining_ms` of 15 s left.
fn applicant(remaining_ms: u64) -> Applicant<'static> {
    Applicant {
        service: "engines",
        route: "draft",
        customer: "small",
        priority: 2,
        work: Tokens(800),
        target_ms: DurationMs(400),
        waited_ms: DurationMs(0),
        caller_wait_ms: DurationMs(remaining_ms),
        remaining_ms: DurationMs(remaining_ms),
        takes_up_stream: false,
        has_priorities: true,
    }
}

fn outlook(queue_ms: u64, has_backlog: bool) -> Outlook {
    Outlook {
        first_token_ms: DurationMs(queue_ms + 20),
        queue_ms: DurationMs(queue_ms),
        has_backlog,
    }
}

/// A hot key whose server has a backlog: what is in time or finds nobody waiting is sent, the rest is
/// refused at once; who comes back after a refusal goes last in line rather than being refused again.
#[test_case(200, true, 15_000, false, Some(Decision::Send); "in time")]
#[test_case(3_000, false, 15_000, false, Some(Decision::Send); "late with room to spare")]
#[test_case(3_000, true, 15_000, true, Some(Decision::Send); "a stream that is taken up")]
#[test_case(200, true, 14_000, false, Some(Decision::Send); "back without overload")]
#[test_case(3_000, true, 14_000, false, Some(Decision::SendLast); "back after a refusal")]
#[test_case(3_000, true, 15_000, false, None; "late while others wait")]
#[test_case(20_000, true, 14_000, false, None; "back, but beyond the deadline")]
fn late_requests_are_refused_only_while_others_wait(
    queue_ms: u64,
    has_backlog: bool,
    remaining_ms: u64,
    takes_up_stream: bool,
    expected: Option<Decision>,
) {
    let mut overload = Overload::default();
    let now = TimeMs(1_000_000);
    overload.decide(&applicant(15_000), &outlook(0, false), now);
    let applicant = Applicant {
        takes_up_stream,
        ..applicant(remaining_ms)
    };
    let decision = overload.decide(&applicant, &outlook(queue_ms, has_backlog), now);
    match expected {
        Some(expected) => assert_eq!(decision, expected),
        None => assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}"),
    }
}

/// Many callers that are refused at the same moment: each is promised room after those before it.
#[test]
fn refused_callers_are_promised_room_in_their_order() {
    let mut overload = Overload::default();
    let now = TimeMs(1_000_000);
    let waits = (0..10).map(|_| {
        let decision = overload.decide(&applicant(15_000), &outlook(1_000, true), now);
        let Decision::Refuse { reason, wait_ms } = decision else {
            panic!("sent: {decision:?}");
        };
        assert_eq!(reason, RefusalReason::BeyondTarget);
        wait_ms
    });
    let waits: Vec<DurationMs> = waits.collect();
    assert!(waits.is_sorted_by(|a, b| a < b), "{waits:?}");
}
