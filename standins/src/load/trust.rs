//! The Trust's traffic: consultations, each about one design of one customer.
//!
//! A consultation reads a saved design, has the design checked several times against the house
//! rules, has it described, and now and then holds a stone. Consultations arrive steadily, with a
//! burst of one second in five.

use {
    crate::load::{
        schedule::{LEAD_IN_S, Plan, Planned, Sessions},
        text,
    },
    cactusspur_core::PIECE_BYTES,
    rand::RngExt,
    std::sync::Arc,
};

/// Pieces of a customer's house rules.
pub const RULES_PIECES: usize = 47;
/// Pieces of a design.
pub const DESIGN_PIECES: usize = 10;
/// Bytes of a question.
pub const QUESTION_BYTES: usize = 240;

const CHECKS: std::ops::RangeInclusive<u32> = 3..=5;
const REQUESTS_PER_CONSULTATION: f64 = 5.0;
const CHECK_GAP_S: std::ops::Range<f64> = 0.3..1.2;
const BURST_EVERY_S: f64 = 5.0;
const BURST_S: f64 = 1.0;
const BURST_FACTOR: f64 = 2.2;
const QUIET_FACTOR: f64 = 0.7;
const HOLD_SHARE: f64 = 0.3;
const HOLD_RETRY_SHARE: f64 = 0.1;
const HOLD_RETRY_AFTER_S: f64 = 0.5;
const MOVED_BY: usize = 3;

/// The requests of a plan, unsorted.
pub(crate) fn requests(plan: &Plan) -> Vec<Planned> {
    let mut sessions = Sessions::open(plan);
    let consultations_per_s = plan.rate_per_s / REQUESTS_PER_CONSULTATION;
    let mut at_s = -LEAD_IN_S;
    let mut number = 0;
    while at_s < sessions.end_s() {
        at_s += sessions.wait_s(consultations_per_s * BURST_FACTOR);
        if !sessions.rng.random_bool(intensity(at_s) / BURST_FACTOR) {
            continue;
        }
        number += 1;
        consultation(&mut sessions, at_s, number);
    }
    sessions.into_requests()
}

fn intensity(at_s: f64) -> f64 {
    if at_s.rem_euclid(BURST_EVERY_S) < BURST_S {
        BURST_FACTOR
    } else {
        QUIET_FACTOR
    }
}

fn consultation(sessions: &mut Sessions<'_>, start_s: f64, number: u32) {
    let mut customer = sessions.customer();
    if sessions.moved(start_s) {
        customer = (customer + MOVED_BY) % sessions.plan.workload.customers().len();
    }
    let mut at_s = start_s;
    call(sessions, at_s, customer, "saved-design", number, None);
    for check in 0..sessions.rng.random_range(CHECKS) {
        chat(sessions, at_s, customer, "design-check", number, check);
        at_s += sessions.rng.random_range(CHECK_GAP_S);
    }
    chat(sessions, at_s, customer, "ring-description", number, 0);
    if !sessions.rng.random_bool(HOLD_SHARE) {
        return;
    }
    let key = format!("hold-{}-{number}", sessions.plan.seed);
    call(sessions, at_s, customer, "stone-hold", number, Some(&key));
    if sessions.rng.random_bool(HOLD_RETRY_SHARE) {
        let retry_s = at_s + HOLD_RETRY_AFTER_S;
        call(
            sessions,
            retry_s,
            customer,
            "stone-hold",
            number,
            Some(&key),
        );
    }
}

fn chat(
    sessions: &mut Sessions<'_>,
    at_s: f64,
    customer: usize,
    class_name: &str,
    consultation: u32,
    check: u32,
) {
    let seed = sessions.plan.seed;
    let edition = u32::from(sessions.moved(at_s));
    let rules = sessions.shared_pieces(
        format!("house rules {customer} edition {edition}"),
        RULES_PIECES,
    );
    let design = sessions.shared_pieces(format!("design {consultation}"), DESIGN_PIECES);
    let question = text::text(
        seed,
        &format!("{class_name} {consultation} {check}"),
        QUESTION_BYTES,
    );
    let class = sessions.class(class_name);
    let max_answer_tokens = sessions.answer_tokens(class);
    sessions.push(
        at_s,
        Planned {
            at_us: 0,
            customer,
            class,
            levels: vec![rules, design, question],
            max_answer_tokens,
            key: None,
        },
    );
}

fn call(
    sessions: &mut Sessions<'_>,
    at_s: f64,
    customer: usize,
    class_name: &str,
    consultation: u32,
    key: Option<&str>,
) {
    let body: Arc<str> = text::text(
        sessions.plan.seed,
        &format!("{class_name} {consultation}"),
        PIECE_BYTES,
    );
    let class = sessions.class(class_name);
    sessions.push(
        at_s,
        Planned {
            at_us: 0,
            customer,
            class,
            levels: vec![body],
            max_answer_tokens: 0,
            key: key.map(str::to_owned),
        },
    );
}
