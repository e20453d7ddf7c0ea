//! Kitahama's traffic: waves of calls from one customer's sites, over a thin steady flow.
//!
//! A call is triaged against the equipment's manual and the site's history, the technician's
//! notes are drafted from the same prefix, and some calls end with a dispatch.

use {
    crate::load::{
        schedule::{LEAD_IN_S, Plan, Planned, Sessions},
        text,
    },
    cactusspur_core::PIECE_BYTES,
    rand::RngExt,
};

/// Pieces of a manual.
pub const MANUAL_PIECES: usize = 94;
/// Pieces of a site's history.
pub const HISTORY_PIECES: usize = 24;
/// Bytes of a question.
pub const QUESTION_BYTES: usize = 320;

const WAVE_EVERY_S: f64 = 3.0;
const WAVE_S: f64 = 1.5;
const WAVE_SHARE: f64 = 0.7;
const WAVE_CALLS_SPREAD: std::ops::Range<f64> = 0.5..1.5;
const REQUESTS_PER_CALL: f64 = 2.3;
const SECOND_TRIAGE_SHARE: f64 = 0.3;
const SECOND_TRIAGE_AFTER_S: std::ops::Range<f64> = 0.4..1.0;
const NOTES_AFTER_S: std::ops::Range<f64> = 1.0..2.5;
const DISPATCH_SHARE: f64 = 0.4;
const DISPATCH_RETRY_SHARE: f64 = 0.1;
const DISPATCH_RETRY_AFTER_S: f64 = 0.5;
const MANUAL_WEIGHTS: [u32; 6] = [45, 20, 12, 10, 8, 5];
const MOVED_BY: usize = 3;
const LARGE_SHARE: u32 = 10;
const LARGE_SITES: u32 = 40;
const SMALL_SITES: u32 = 8;

/// The requests of a plan, unsorted.
pub(crate) fn requests(plan: &Plan) -> Vec<Planned> {
    let mut sessions = Sessions::open(plan);
    let calls_per_s = plan.rate_per_s / REQUESTS_PER_CALL;
    let mut number = 0;
    let mut at_s = -LEAD_IN_S;
    while at_s < sessions.end_s() {
        at_s += sessions.wait_s(calls_per_s * (1.0 - WAVE_SHARE));
        let customer = sessions.customer();
        call(&mut sessions, at_s, customer, &mut number);
    }
    at_s = -LEAD_IN_S;
    while at_s < sessions.end_s() {
        wave(&mut sessions, at_s, calls_per_s, &mut number);
        at_s += WAVE_EVERY_S;
    }
    sessions.into_requests()
}

fn wave(sessions: &mut Sessions<'_>, start_s: f64, calls_per_s: f64, number: &mut u32) {
    let customer = sessions.customer();
    let calls = calls_per_s * WAVE_SHARE * WAVE_EVERY_S;
    let rate_per_s = calls * sessions.rng.random_range(WAVE_CALLS_SPREAD) / WAVE_S;
    let mut at_s = start_s;
    loop {
        at_s += sessions.wait_s(rate_per_s);
        if at_s >= start_s + WAVE_S {
            return;
        }
        call(sessions, at_s, customer, number);
    }
}

fn call(sessions: &mut Sessions<'_>, start_s: f64, customer: usize, number: &mut u32) {
    *number += 1;
    let share = sessions.plan.workload.customers()[customer].share;
    let sites = if share > LARGE_SHARE {
        LARGE_SITES
    } else {
        SMALL_SITES
    };
    let mut manual = sessions.weighted(MANUAL_WEIGHTS.into_iter());
    let site = sessions.rng.random_range(0..sites);
    if sessions.moved(start_s) {
        manual = (manual + MOVED_BY) % MANUAL_WEIGHTS.len();
    }
    let subject = Subject {
        customer,
        manual,
        site,
        call: *number,
    };
    chat(sessions, start_s, &subject, "fault-triage", 0);
    if sessions.rng.random_bool(SECOND_TRIAGE_SHARE) {
        let again_s = start_s + sessions.rng.random_range(SECOND_TRIAGE_AFTER_S);
        chat(sessions, again_s, &subject, "fault-triage", 1);
    }
    let notes_s = start_s + sessions.rng.random_range(NOTES_AFTER_S);
    chat(sessions, notes_s, &subject, "technician-notes", 0);
    if !sessions.rng.random_bool(DISPATCH_SHARE) {
        return;
    }
    dispatch(sessions, notes_s, &subject);
    if sessions.rng.random_bool(DISPATCH_RETRY_SHARE) {
        dispatch(sessions, notes_s + DISPATCH_RETRY_AFTER_S, &subject);
    }
}

/// What a call is about. A site has a history for each kind of equipment that it holds.
struct Subject {
    customer: usize,
    manual: usize,
    site: u32,
    call: u32,
}

fn chat(
    sessions: &mut Sessions<'_>,
    at_s: f64,
    subject: &Subject,
    class_name: &str,
    question_number: u32,
) {
    let seed = sessions.plan.seed;
    let Subject {
        customer,
        manual,
        site,
        call,
    } = subject;
    let edition = u32::from(sessions.moved(at_s));
    let manual_text = sessions.shared_pieces(
        format!("manual {customer} {manual} edition {edition}"),
        MANUAL_PIECES,
    );
    let history = sessions.shared_pieces(
        format!("history {customer} {site} {manual}"),
        HISTORY_PIECES,
    );
    let question = text::text(
        seed,
        &format!("{class_name} {call} {question_number}"),
        QUESTION_BYTES,
    );
    let class = sessions.class(class_name);
    let max_answer_tokens = sessions.answer_tokens(class);
    sessions.push(
        at_s,
        Planned {
            at_us: 0,
            customer: *customer,
            class,
            levels: vec![manual_text, history, question],
            max_answer_tokens,
            key: None,
        },
    );
}

fn dispatch(sessions: &mut Sessions<'_>, at_s: f64, subject: &Subject) {
    let seed = sessions.plan.seed;
    let body = text::text(seed, &format!("dispatch {}", subject.call), PIECE_BYTES);
    let class = sessions.class("dispatch");
    sessions.push(
        at_s,
        Planned {
            at_us: 0,
            customer: subject.customer,
            class,
            levels: vec![body],
            max_answer_tokens: 0,
            key: Some(format!("dispatch-{seed}-{}", subject.call)),
        },
    );
}
