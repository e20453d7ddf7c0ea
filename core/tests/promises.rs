//! Fixed sequences that have broken a promise once.

mod common;

use {
    cactusspur_core::{
        Arrival, AttemptId, CallId, Command, Core, DurationMs, Event, Failure, Record,
        RecordAnswer, RecordCall, Refusal, Row, RowVersion, Send, TimeMs, Verdict, VmList,
    },
    common::{CHAT, CUSTOMERS, DISPATCH, READ},
};

const START: TimeMs = TimeMs(1_000_000);

/// A core that knows two engines and two plain services of each kind, all alive.
fn open() -> Core {
    let mut core = common::core("entry-a", "a", 1);
    let services = [
        ("dispatch-a", DISPATCH),
        ("dispatch-b", DISPATCH),
        ("read-a", READ),
        ("read-b", READ),
    ];
    let mut vms: Vec<_> = services
        .iter()
        .map(|(name, service)| common::vm(name, "a", Some(service), false))
        .collect();
    vms.extend(["engine-a", "engine-b"].map(|name| common::vm(name, "a", None, false)));
    core.handle(START, Event::Configured(common::configuration(1)));
    core.handle(START, Event::Vms(VmList { vms }));
    for engine in ["engine-a", "engine-b"] {
        let report = common::load(engine, 1, START, Some(common::weights(1)));
        core.handle(START, Event::Load(report));
    }
    for (service, _) in services {
        core.handle(START, Event::Load(common::load(service, 1, START, None)));
    }
    core
}

fn chat(request: u64) -> Arrival {
    common::arrival(request, CUSTOMERS[0], CHAT, &["rules", "question"])
}

fn dispatch(request: u64) -> Arrival {
    Arrival {
        once_key: Some("key".into()),
        ..common::arrival(request, CUSTOMERS[0], DISPATCH, &["call"])
    }
}

fn later(ms: u64) -> TimeMs {
    START.after(DurationMs(ms))
}

/// The call to the table service: its number, the version that it expects, and what it writes.
fn written(commands: &[Command]) -> Option<(CallId, Option<RowVersion>, Record)> {
    commands.iter().find_map(|command| match command {
        Command::Record {
            call,
            what: RecordCall::Write {
                expected, record, ..
            },
        } => Some((*call, *expected, record.clone())),
        _ => None,
    })
}

fn record_answered(call: CallId, answer: RecordAnswer) -> Event {
    Event::RecordAnswered { call, answer }
}

fn sent(commands: &[Command]) -> Option<Send> {
    commands.iter().find_map(|command| match command {
        Command::Send(send) => Some(send.clone()),
        _ => None,
    })
}

fn refused(commands: &[Command]) -> Option<Refusal> {
    commands.iter().find_map(|command| match command {
        Command::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

fn failed(attempt: AttemptId, verdict: Verdict, failure: Failure) -> Event {
    Event::AttemptFailed {
        attempt,
        verdict,
        failure,
    }
}

#[test]
fn a_refusal_counts_all_attempts() {
    let mut core = open();
    let first = sent(&core.handle(START, Event::Arrived(chat(1)))).expect("sent");
    let broken = failed(first.attempt, Verdict::MayHaveRun, Failure::Broken);
    let second = sent(&core.handle(START, broken)).expect("sent again");
    let refusing = failed(second.attempt, Verdict::NotRun, Failure::Refused);
    let refusal = refused(&core.handle(START, refusing)).expect("refused");
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn a_late_bind_does_not_block_the_key() {
    let mut core = open();
    let bind = written(&core.handle(START, Event::Arrived(dispatch(1)))).expect("bound");
    let overdue = core.handle(later(1_100), Event::Tick);
    assert_eq!(refused(&overdue).expect("refused").verdict, Verdict::NotRun);
    let abandon = written(&overdue).expect("abandoned");
    let version = RowVersion(1);
    let bound = record_answered(bind.0, RecordAnswer::Written(version));
    core.handle(later(1_200), bound);
    let row = Row {
        version,
        record: bind.2,
    };
    let conflict = record_answered(abandon.0, RecordAnswer::Conflict(Some(row)));
    let again = written(&core.handle(later(1_200), conflict)).expect("abandoned again");
    assert_eq!(again, (again.0, Some(version), abandon.2));
}
