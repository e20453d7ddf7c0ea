//! Transcripts of whole sessions: what the core is told and what it asks for.

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
    at_ms: u64,
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
            at_ms: 0,
            lines: Vec::new(),
        }
    }

    /// Tells the core something `after_ms` later.
    fn tell(&mut self, after_ms: u64, event: Event) -> Vec<Command> {
        self.at_ms += after_ms;
        let told = describe_event(&event);
        let now = START.after(DurationMs(self.at_ms));
        let commands = self.core.handle(now, event);
        if !(told == "tick" && commands.is_empty()) {
            self.lines.push(format!("{:>6} ms > {told}", self.at_ms));
        }
        let described = commands.iter().map(describe);
        self.lines
            .extend(described.map(|command| format!("          < {command}")));
        commands
    }

    /// Ticks until some command comes out.
    fn wait(&mut self) -> Vec<Command> {
        for _ in 0..2_000 {
            let commands = self.tell(20, Event::Tick);
            if !commands.is_empty() {
                return commands;
            }
        }
        panic!("nothing happened");
    }

    fn transcript(&self) -> String {
        self.lines.join("\n")
    }
}

fn name(worker: WorkerId) -> &'static str {
    let known = WORKERS
        .iter()
        .find(|row| WorkerId::from_name(row.0) == worker);
    known.map_or("unknown", |row| row.0)
}

/// The attempt's number in its process.
fn number(attempt: AttemptId) -> u128 {
    attempt.0 & u128::from(u64::MAX)
}

fn describe_event(event: &Event) -> String {
    match event {
        Event::Arrived(arrival) => format!("request {} arrives", arrival.request),
        Event::AttemptAccepted { attempt, .. } => format!("attempt {} accepted", number(*attempt)),
        Event::Piece {
            attempt,
            offset_bytes,
            text,
        } => format!(
            "attempt {}: piece at {offset_bytes}: {text:?}",
            number(*attempt)
        ),
        Event::AttemptFinished {
            attempt,
            answer_bytes,
            ..
        } => format!("attempt {}: finished at {answer_bytes}", number(*attempt)),
        Event::CallAnswered { attempt, body, .. } => {
            format!("attempt {}: answered {body:?}", number(*attempt))
        }
        Event::AttemptFailed {
            attempt,
            verdict,
            failure,
        } => format!(
            "attempt {}: failed: {failure:?}, {verdict}",
            number(*attempt)
        ),
        Event::RecordAnswered { call, answer } => match answer {
            RecordAnswer::Conflict(_) => format!("call {call}: conflict"),
            other => format!("call {call}: {other:?}"),
        },
        Event::Probed {
            worker,
            incarnation,
        } => format!("{} probed: {incarnation:?}", name(*worker)),
        Event::WorkerLeaving { worker, .. } => format!("{} says it is leaving", name(*worker)),
        Event::ShutdownStarted => "shutdown starts".into(),
        Event::Tick => "tick".into(),
        other => format!("{other:?}"),
    }
}

fn describe(command: &Command) -> String {
    match command {
        Command::Send(send) => format!(
            "send request {} as attempt {} to {} from byte {}",
            send.request,
            number(send.attempt),
            name(send.worker),
            send.resume_offset_bytes
        ),
        Command::Cancel { attempt, worker } => {
            format!("cancel attempt {} at {}", number(*attempt), name(*worker))
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
        Command::Probe { worker } => format!("probe {}", name(*worker)),
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
            format!("attempt {}: {state:?}", number(*attempt))
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

fn probed(worker: WorkerId, life: Option<u64>) -> Event {
    Event::Probed {
        worker,
        incarnation: life.map(Incarnation),
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
    let (attempt, _) = sent(&session.tell(0, chat(1)));
    session.tell(5, accepted(attempt));
    session.tell(80, piece(attempt, 0, "The ring "));
    session.tell(40, piece(attempt, 9, "is gold."));
    session.tell(1, piece(attempt, 0, "The ring "));
    session.tell(1, finished(attempt, 17));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn an_engine_crash_with_resume() {
    let mut session = Session::open();
    let (first, worker) = sent(&session.tell(0, chat(1)));
    session.tell(5, accepted(first));
    session.tell(80, piece(first, 0, "The ring "));
    let (second, _) = sent(&session.tell(40, broken(first)));
    session.tell(2, probed(worker, None));
    session.tell(5, accepted(second));
    session.tell(1, piece(first, 9, "is late"));
    session.tell(80, piece(second, 9, "is gold."));
    session.tell(1, finished(second, 17));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_silent_connection() {
    let mut session = Session::open();
    let (first, worker) = sent(&session.tell(0, chat(1)));
    session.tell(5, accepted(first));
    session.tell(80, piece(first, 0, "The ring "));
    session.wait();
    let (second, _) = sent(&session.tell(1, probed(worker, Some(1))));
    session.tell(80, piece(second, 9, "is gold."));
    session.tell(1, finished(second, 17));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_dispatch_with_a_lost_answer_of_the_table_service_and_its_replay() {
    let mut session = Session::open();
    let (bind, record) = call(&session.tell(0, dispatch(1)));
    session.tell(500, record_answered(bind, RecordAnswer::Unknown));
    let (again, _) = call(&session.wait());
    let (attempt, _) = sent(&session.tell(5, conflict(again, 1, record)));
    let (done, record) = call(&session.tell(700, answered(attempt)));
    session.tell(5, written(done, 2));
    let (bind, _) = call(&session.tell(3_000, dispatch(2)));
    session.tell(5, conflict(bind, 2, record));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_key_in_use_at_another_entry_vm() {
    let mut session = Session::open();
    let (bind, record) = call(&session.tell(0, dispatch(1)));
    let Record::Idempotency(own) = record else {
        panic!("a key's row");
    };
    let other = Record::Idempotency(IdempotencyRecord {
        attempt: AttemptId(7),
        state: IdempotencyState::Intent,
        ..own
    });
    session.tell(5, conflict(bind, 1, other));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn an_outage_of_the_table_service() {
    let mut session = Session::open();
    let (bind, record) = call(&session.tell(0, dispatch(1)));
    session.tell(500, record_answered(bind, RecordAnswer::Unknown));
    let (again, _) = call(&session.wait());
    let (abandon, _) = call(&session.wait());
    session.tell(10, record_answered(again, RecordAnswer::Unknown));
    session.tell(400, record_answered(abandon, RecordAnswer::Unknown));
    let (abandon, _) = call(&session.wait());
    let (abandon, _) = call(&session.tell(5, conflict(abandon, 1, record)));
    session.tell(5, written(abandon, 2));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_leaving_worker() {
    let mut session = Session::open();
    let (attempt, worker) = sent(&session.tell(0, chat(1)));
    session.tell(5, piece(attempt, 0, "The ring "));
    let leaving = Event::WorkerLeaving {
        worker,
        incarnation: Incarnation(1),
    };
    session.tell(5, leaving);
    let (other, elsewhere) = sent(&session.tell(5, chat(2)));
    assert_ne!(elsewhere, worker);
    session.tell(5, piece(attempt, 9, "is gold."));
    session.tell(1, finished(attempt, 17));
    session.tell(1, piece(other, 0, "Yes"));
    session.tell(1, finished(other, 3));
    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_shutdown() {
    let mut session = Session::open();
    let (attempt, _) = sent(&session.tell(0, chat(1)));
    session.tell(5, piece(attempt, 0, "The ring "));
    session.tell(5, Event::ShutdownStarted);
    session.tell(5, chat(2));
    session.tell(5, piece(attempt, 9, "is gold."));
    session.tell(1, finished(attempt, 17));
    assert_eq!(session.core.in_progress(), 0);
    insta::assert_snapshot!(session.transcript());
}
