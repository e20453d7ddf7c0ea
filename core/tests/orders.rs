//! Orders to load weights, sent under the lease.

mod common;

use {
    cactusspur_core::{
        CallId, Command, Core, DurationMs, EntryId, Event, FencingNumber, Generation, LeaseRecord,
        Record, RecordAnswer, RecordCall, Row, RowVersion, TimeMs, VmList,
    },
    test_case::test_case,
};

const START: TimeMs = TimeMs(1_000_000);
const ENGINES: [&str; 3] = ["engine-a", "engine-b", "engine-c"];

fn after_start(ms: u64) -> TimeMs {
    START.after(DurationMs(ms))
}

/// A core whose three engines have older weights than the configuration declares.
fn open() -> Core {
    let mut core = common::core("entry-a", "a", 1);
    let vms = ENGINES.map(|name| common::vm(name, "a", None, false));
    core.handle(START, Event::Configured(common::configuration(3)));
    core.handle(START, Event::Vms(VmList { vms: vms.into() }));
    for engine in ENGINES {
        let report = common::load(engine, 1, START, Some(common::weights(1)));
        core.handle(START, Event::Load(report));
    }
    core
}

fn table_call(commands: &[Command]) -> Option<(CallId, Option<LeaseRecord>)> {
    commands.iter().find_map(|command| match command {
        Command::Record { call, operation } => Some((*call, written(operation))),
        _ => None,
    })
}

fn written(operation: &RecordCall) -> Option<LeaseRecord> {
    match operation {
        RecordCall::Write {
            record: Record::Lease(lease),
            ..
        } => Some(lease.clone()),
        _ => None,
    }
}

fn handle_answer(core: &mut Core, ms: u64, call: CallId, answer: RecordAnswer) -> Vec<Command> {
    core.handle(after_start(ms), Event::RecordAnswered { call, answer })
}

fn orders(commands: &[Command]) -> usize {
    let order = |command: &&Command| matches!(command, Command::Order { .. });
    commands.iter().filter(order).count()
}

/// Answers the first read of the lease with `row`, and returns the write that the core requests `ms`
/// after the start, if any.
fn read_and_write(core: &mut Core, row: Option<Row>, ms: u64) -> Option<(CallId, LeaseRecord)> {
    let (read, _) = table_call(&core.handle(START, Event::Tick)).expect("a read");
    handle_answer(core, 0, read, RecordAnswer::Read(row));
    let (call, lease) = table_call(&core.handle(after_start(ms), Event::Tick))?;
    Some((call, lease?))
}

/// A lease row that another process has written.
fn row_of_other_holder(generation: u64) -> Row {
    Row {
        version: RowVersion(1),
        record: Record::Lease(LeaseRecord {
            holder: EntryId::from_name("entry-b"),
            holder_incarnation: 2,
            fencing: FencingNumber(6),
            term_ms: 10_000,
            generation: Generation(generation),
            loads: Vec::new(),
        }),
    }
}

#[test]
fn two_loads_are_recorded_and_then_ordered() {
    let mut core = open();
    let (write, _) = read_and_write(&mut core, None, 0).expect("a write");
    handle_answer(&mut core, 1, write, RecordAnswer::Written(RowVersion(1)));
    let recording = core.handle(after_start(20), Event::Tick);
    assert_eq!(orders(&recording), 0);
    let (recorded, lease) = table_call(&recording).expect("a write");
    assert_eq!(lease.expect("a lease").loads.len(), 2);
    handle_answer(
        &mut core,
        21,
        recorded,
        RecordAnswer::Written(RowVersion(2)),
    );
    assert_eq!(orders(&core.handle(after_start(40), Event::Tick)), 2);
    assert_eq!(orders(&core.handle(after_start(60), Event::Tick)), 0);
}

#[test]
fn a_paused_holder_gives_no_orders() {
    let mut core = open();
    let (write, _) = read_and_write(&mut core, None, 0).expect("a write");
    handle_answer(&mut core, 1, write, RecordAnswer::Written(RowVersion(1)));
    let (recorded, _) = table_call(&core.handle(after_start(20), Event::Tick)).expect("a write");
    let late_answer = RecordAnswer::Written(RowVersion(2));
    let commands = handle_answer(&mut core, 8_100, recorded, late_answer);
    assert_eq!(orders(&commands), 0);
    assert_eq!(orders(&core.handle(after_start(8_120), Event::Tick)), 0);
}

#[test]
fn a_term_counts_from_the_first_ask_when_the_answer_was_lost() {
    let mut core = open();
    let (write, lease) = read_and_write(&mut core, None, 0).expect("a write");
    handle_answer(&mut core, 500, write, RecordAnswer::Unknown);
    let (retry, _) = table_call(&core.handle(after_start(1_600), Event::Tick)).expect("a retry");
    let current = Row {
        version: RowVersion(1),
        record: Record::Lease(lease),
    };
    handle_answer(
        &mut core,
        8_100,
        retry,
        RecordAnswer::Conflict(Some(current)),
    );
    let commands = core.handle(after_start(8_120), Event::Tick);
    assert_eq!(
        table_call(&commands).and_then(|call| call.1),
        None,
        "not held any more"
    );
}

#[test_case(11_900, 1, false; "within the term and the margin")]
#[test_case(12_100, 1, true; "after them")]
#[test_case(12_100, 9, false; "after them with a newer configuration in the row")]
fn a_successor_waits(ms: u64, generation: u64, expects_write: bool) {
    let mut core = open();
    let write = read_and_write(&mut core, Some(row_of_other_holder(generation)), ms);
    assert_eq!(write.is_some(), expects_write);
    if let Some((_, lease)) = write {
        assert_eq!(lease.fencing, FencingNumber(7));
    }
}
