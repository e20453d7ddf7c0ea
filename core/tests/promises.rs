//! Fixed sequences that have broken a promise once.

mod common;

use {
    cactusspur_core::{
        Arrival, AttemptId, Command, Core, Event, Failure, Refusal, Send, TimeMs, Verdict, VmList,
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
