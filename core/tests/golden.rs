//! Snapshot tests of whole sessions: the events that the core handles and the commands that it
//! returns.

mod common;

use {
    cactusspur_core::{
        Arrival, AttemptId, CallId, Command, Core, DurationMs, Event, Failure, IdempotencyRecord,
        IdempotencyState, Incarnation, Record, RecordAnswer, RecordCall, Row, RowVersion, TimeMs,
        Tokens, Verdict, VmList, WorkerId,
    },
    common::{CHAT, CUSTOMERS, DISPATCH},
};

const START: TimeMs = TimeMs(1_000_000);

/// A core with two engines and two dispatch services, and the transcript of its session.
struct Session {
    core: Core,
    elapsed_ms: u64,
    lines: Vec<String>,
}

const WORKERS: [(&str, Option<&str>); 4] = [
    ("engine-a", None),
    ("engine-b", None),
    ("dispatch-a", Some(DISPATCH)),
    ("dispatch-b", Some(DISPATCH)),
];

impl Session {
    fn open() -> Self {
        let mut core = common::core("entry-a", "a", 1);
        let vms = WORKERS.map(|(name, service)| common::vm(name, "a", service, false));
        core.handle(START, Event::Configured(common::configuration(1)));
        core.handle(START, Event::Vms(VmList { vms: vms.into() }));
        for (name, service) in WORKERS {
            let loaded = service.is_none().then(|| common::weights(1));
            core.handle(START, Event::Load(common::load(name, 1, START, loaded)));
        }
        Self {
            core,
            elapsed_ms: 0,
            lines: Vec::new(),
        }
    }

    /// Lets the core handle an event `after_ms` later, and adds the event and the commands to the
    /// transcript.
    fn handle(&mut self, after_ms: u64, event: Event) -> Vec<Command> {
        self.elapsed_ms += after_ms;
        let description = describe_event(&event);
        let now = START.after(DurationMs(self.elapsed_ms));
        let commands = self.core.handle(now, event);
        if !(description == "tick" && commands.is_empty()) {
            self.lines
                .push(format!("{:>6} ms > {description}", self.elapsed_ms));
        }
        let described = commands.iter().map(describe_command);
        self.lines
            .extend(described.map(|command| format!("          < {command}")));
        commands
    }

    /// Ticks until the core returns a command.
    fn tick_until_command(&mut self) -> Vec<Command> {
        for _ in 0..2_000 {
            let commands = self.handle(20, Event::Tick);
            if !commands.is_empty() {
                return commands;
            }
        }
        panic!("no command after 2000 ticks");
    }

    fn transcript(&self) -> String {
        self.lines.join("\n")
    }
}

fn worker_name(worker: WorkerId) -> &'static str {
    let row = WORKERS
        .iter()
        .find(|row| WorkerId::from_name(row.0) == worker);
    row.map_or("unknown", |row| row.0)
}

/// The part of an attempt's id that counts the attempts of its process.
fn attempt_number(attempt: AttemptId) -> u128 {
    attempt.0 & u128::from(u64::MAX)
}

fn describe_event(event: &Event) -> String {
    match event {
        Event::Arrived(arrival) => format!("request {} arrives", arrival.request),
        Event::AttemptAccepted { attempt, .. } => {
            format!("attempt {} accepted", attempt_number(*attempt))
        }
        Event::Piece {
            attempt,
            offset_bytes,
            text,
        } => format!(
            "attempt {}: piece at {offset_bytes}: {text:?}",
            attempt_number(*attempt)
        ),
        Event::AttemptFinished {
            attempt,
            answer_bytes,
            ..
        } => format!(
            "attempt {}: finished at {answer_bytes}",
            attempt_number(*attempt)
        ),
        Event::CallAnswered { attempt, body, .. } => {
            format!("attempt {}: answered {body:?}", attempt_number(*attempt))
        }
        Event::AttemptFailed {
            attempt,
            verdict,
            failure,
        } => format!(
            "attempt {}: failed: {failure:?}, {verdict}",
            attempt_number(*attempt)
        ),
        Event::RecordAnswered { call, answer } => match answer {
            RecordAnswer::Conflict(_) => format!("call {call}: conflict"),
            other => format!("call {call}: {other:?}"),
        },
        Event::Probed {
            worker,
            incarnation,
        } => format!("{} probed: {incarnation:?}", worker_name(*worker)),
        Event::WorkerLeaving { worker, .. } => {
            format!("{} says it is leaving", worker_name(*worker))
        }
        Event::ShutdownStarted => "shutdown starts".into(),
        Event::Tick => "tick".into(),
        other => format!("{other:?}"),
    }
}

fn describe_command(command: &Command) -> String {
    match command {
        Command::Send(send) => format!(
            "send request {} as attempt {} to {} from byte {}",
            send.request,
            attempt_number(send.attempt),
            worker_name(send.worker),
            send.resume_offset_bytes
        ),
        Command::Cancel { attempt, worker } => {
            format!(
                "cancel attempt {} at {}",
                attempt_number(*attempt),
                worker_name(*worker)
            )
        }
        Command::Deliver { request, text } => format!("deliver to request {request}: {text:?}"),
        Command::Complete { request, .. } => format!("complete request {request}"),
        Command::Answer {
            request,
            body,
            replayed,
            ..
        } => format!("answer request {request}: {body:?}, replayed: {replayed}"),
        Command::Refuse { request, refusal } => format!("refuse request {request}: {refusal}"),
        Command::Record { call, operation } => describe_call(*call, operation),
        Command::Probe { worker } => format!("probe {}", worker_name(*worker)),
        other => format!("{other:?}"),
    }
}

fn describe_call(call: CallId, operation: &RecordCall) -> String {
    match operation {
        RecordCall::Read { key } => format!("call {call}: read {key}"),
        RecordCall::Write {
            expected, record, ..
        } => {
            let version = expected.map_or_else(|| "none".into(), |version| version.to_string());
            format!(
                "call {call}: write over {version}: {}",
                describe_record(record)
            )
        }
    }
}

fn describe_record(record: &Record) -> String {
    match record {
        Record::Idempotency(IdempotencyRecord { attempt, state, .. }) => {
            format!("attempt {}: {state:?}", attempt_number(*attempt))
        }
        other => format!("{other:?}"),
    }
}

fn chat(request: u64) -> Event {
    let arrival = common::arrival(request, CUSTOMERS[0], CHAT, &["rules", "question"]);
    Event::Arrived(arrival)
}

fn dispatch(request: u64) -> Event {
    let arrival = common::arrival(request, CUSTOMERS[1], DISPATCH, &["van"]);
    Event::Arrived(Arrival {
        idempotency_key: Some("key".into()),
        ..arrival
    })
}

fn sent(commands: &[Command]) -> (AttemptId, WorkerId) {
    let send = commands.iter().find_map(|command| match command {
        Command::Send(send) => Some((send.attempt, send.worker)),
        _ => None,
    });
    send.expect("a sent attempt")
}

fn call(commands: &[Command]) -> (CallId, Record) {
    let call = commands.iter().find_map(|command| match command {
        Command::Record {
            call,
            operation: RecordCall::Write { record, .. },
        } => Some((*call, record.clone())),
        _ => None,
    });
    call.expect("a write")
}

fn accepted(attempt: AttemptId) -> Event {
    Event::AttemptAccepted {
        attempt,
        incarnation: Incarnation(1),
        cached_tokens: Tokens(0),
    }
}

fn piece(attempt: AttemptId, offset_bytes: u64, text: &'static str) -> Event {
    Event::Piece {
        attempt,
        offset_bytes,
        text: text.into(),
    }
}

fn finished(attempt: AttemptId, answer_bytes: u64) -> Event {
    Event::AttemptFinished {
        attempt,
        answer_bytes,
        answer_tokens: Tokens(answer_bytes / 4),
    }
}

fn broken(attempt: AttemptId) -> Event {
    Event::AttemptFailed {
        attempt,
        verdict: Verdict::MayHaveRun,
        failure: Failure::Broken,
    }
}

fn answered(attempt: AttemptId) -> Event {
    Event::CallAnswered {
        attempt,
        status: 200,
        body: "van 7".into(),
    }
}

fn probed(worker: WorkerId, incarnation: Option<u64>) -> Event {
    Event::Probed {
        worker,
        incarnation: incarnation.map(Incarnation),
    }
}

fn record_answered(call: CallId, answer: RecordAnswer) -> Event {
    Event::RecordAnswered { call, answer }
}

fn written(call: CallId, version: u64) -> Event {
    record_answered(call, RecordAnswer::Written(RowVersion(version)))
}

fn conflict(call: CallId, version: u64, record: Record) -> Event {
    let version = RowVersion(version);
    record_answered(call, RecordAnswer::Conflict(Some(Row { version, record })))
}

#[test]
fn a_plain_stream() {
    let mut session = Session::open();
    let (attempt, _) = sent(&session.handle(0, chat(1)));
    session.handle(5, accepted(attempt));
    session.handle(80, piece(attempt, 0, "The ring "));
    session.handle(40, piece(attempt, 9, "is gold."));
    session.handle(1, piece(attempt, 0, "The ring "));
    session.handle(1, finished(attempt, 17));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn an_engine_crash_with_resume() {
    let mut session = Session::open();
    let (first, worker) = sent(&session.handle(0, chat(1)));
    session.handle(5, accepted(first));
    session.handle(80, piece(first, 0, "The ring "));
    let (second, _) = sent(&session.handle(40, broken(first)));
    session.handle(2, probed(worker, None));
    session.handle(5, accepted(second));
    session.handle(1, piece(first, 9, "is late"));
    session.handle(80, piece(second, 9, "is gold."));
    session.handle(1, finished(second, 17));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_silent_connection() {
    let mut session = Session::open();
    let (first, worker) = sent(&session.handle(0, chat(1)));
    session.handle(5, accepted(first));
    session.handle(80, piece(first, 0, "The ring "));
    session.tick_until_command();
    let (second, _) = sent(&session.handle(1, probed(worker, Some(1))));
    session.handle(80, piece(second, 9, "is gold."));
    session.handle(1, finished(second, 17));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_dispatch_with_a_lost_answer_of_the_table_service_and_its_replay() {
    let mut session = Session::open();
    let (bind, record) = call(&session.handle(0, dispatch(1)));
    session.handle(500, record_answered(bind, RecordAnswer::Unknown));
    let (again, _) = call(&session.tick_until_command());
    let (attempt, _) = sent(&session.handle(5, conflict(again, 1, record)));
    let (done, record) = call(&session.handle(700, answered(attempt)));
    session.handle(5, written(done, 2));
    let (bind, _) = call(&session.handle(3_000, dispatch(2)));
    session.handle(5, conflict(bind, 2, record));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_key_in_use_at_another_entry_vm() {
    let mut session = Session::open();
    let (bind, record) = call(&session.handle(0, dispatch(1)));
    let Record::Idempotency(record) = record else {
        panic!("a key's row");
    };
    let other = Record::Idempotency(IdempotencyRecord {
        attempt: AttemptId(7),
        state: IdempotencyState::Intent,
        ..record
    });
    session.handle(5, conflict(bind, 1, other));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn an_outage_of_the_table_service() {
    let mut session = Session::open();
    let (bind, record) = call(&session.handle(0, dispatch(1)));
    session.handle(500, record_answered(bind, RecordAnswer::Unknown));
    let (again, _) = call(&session.tick_until_command());
    let (abandon, _) = call(&session.tick_until_command());
    session.handle(10, record_answered(again, RecordAnswer::Unknown));
    session.handle(400, record_answered(abandon, RecordAnswer::Unknown));
    let (abandon, _) = call(&session.tick_until_command());
    let (abandon, _) = call(&session.handle(5, conflict(abandon, 1, record)));
    session.handle(5, written(abandon, 2));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_leaving_worker() {
    let mut session = Session::open();
    let (attempt, worker) = sent(&session.handle(0, chat(1)));
    session.handle(5, piece(attempt, 0, "The ring "));
    let leaving = Event::WorkerLeaving {
        worker,
        incarnation: Incarnation(1),
    };
    session.handle(5, leaving);
    let (other, other_worker) = sent(&session.handle(5, chat(2)));
    assert_ne!(other_worker, worker);
    session.handle(5, piece(attempt, 9, "is gold."));
    session.handle(1, finished(attempt, 17));
    session.handle(1, piece(other, 0, "Yes"));
    session.handle(1, finished(other, 3));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_shutdown() {
    let mut session = Session::open();
    let (attempt, _) = sent(&session.handle(0, chat(1)));
    session.handle(5, piece(attempt, 0, "The ring "));
    session.handle(5, Event::ShutdownStarted);
    session.handle(5, chat(2));
    session.handle(5, piece(attempt, 9, "is gold."));
    session.handle(1, finished(attempt, 17));
    assert_eq!(session.core.in_progress(), 0);
    insta::assert_snapshot!(session.transcript());
}
