//! Makes the events of a time line from what goes in and out of the decision core.

use {
    super::{
        HybridClock, HybridTime, MAX_ANSWER_EVENTS, RequestName, TimelineFilter, TimelinePart,
    },
    cactusspur_core::{
        AttemptId, CallId, ClassId, Command, Configuration, Event, Order, RecordAnswer, RecordCall,
        RecordKey, RequestId, Send, TimeMs, VecMap, VmList, WorkerId,
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// The longest detail of an event in bytes; the rest is cut off.
const MAX_DETAIL_BYTES: usize = 160;
/// Calls to the table service that are remembered until they are answered.
const MAX_CALLS: usize = 4_096;

/// What an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A caller's request came in.
    #[display("arrived")]
    Arrived,
    /// An attempt was sent to a worker.
    #[display("sent")]
    Sent,
    /// A worker took an attempt on.
    #[display("accepted")]
    Accepted,
    /// The first piece of an answer came.
    #[display("first piece")]
    FirstPiece,
    /// A model's answer was whole.
    #[display("finished")]
    Finished,
    /// A plain service answered.
    #[display("answered")]
    Answered,
    /// An attempt failed.
    #[display("failed")]
    Failed,
    /// An attempt was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// The caller got its whole answer.
    #[display("complete")]
    Complete,
    /// The caller was refused.
    #[display("refused")]
    Refused,
    /// The caller has gone.
    #[display("caller left")]
    CallerLeft,
    /// The table service was called.
    #[display("record called")]
    RecordCalled,
    /// The table service answered, or didn't in time.
    #[display("record answered")]
    RecordAnswered,
    /// A worker was asked whether it is alive.
    #[display("probe")]
    Probe,
    /// A worker was given an order.
    #[display("order")]
    Order,
    /// What became of an order.
    #[display("order answered")]
    OrderAnswered,
    /// The result of asking.
    #[display("probed")]
    Probed,
    /// A worker said that it is leaving.
    #[display("leaving")]
    Leaving,
    /// A worker was asked for its whole cache.
    #[display("resynchronise")]
    Resynchronise,
    /// A configuration came into force.
    #[display("configured")]
    Configured,
    /// An entry VM's state changed, as this process sees it.
    #[display("member")]
    Member,
    /// The process was asked to stop.
    #[display("shutdown started")]
    ShutdownStarted,
}

/// An event of a time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// When, in an order that respects causes.
    #[serde(rename = "at")]
    pub time: HybridTime,
    /// The entry VM that it happened on.
    pub entry: String,
    /// The life of its process.
    pub incarnation: u64,
    /// Its number in that process.
    pub sequence: u64,
    /// What it is about.
    pub kind: EventKind,
    /// The request that it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestName>,
    /// The attempt that it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// The class's name, or its id when the name isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The worker's name, or its id when the name isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
    /// More.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// What an event belongs to.
#[derive(Clone, Copy, Debug, Default)]
struct Subject {
    request: Option<RequestId>,
    attempt: Option<AttemptId>,
    class: Option<ClassId>,
    worker: Option<WorkerId>,
}

/// A filter by ids.
struct Wanted {
    request: Option<RequestName>,
    class: Option<ClassId>,
    worker: Option<WorkerId>,
}

impl Wanted {
    fn of(filter: &TimelineFilter) -> Self {
        Self {
            request: filter.request,
            class: filter.class.as_deref().map(ClassId::from_name),
            worker: filter.worker.as_deref().map(WorkerId::from_name),
        }
    }

    fn has(&self, incarnation: u64, subject: &Subject) -> bool {
        let request = subject.request.map(|request| RequestName {
            incarnation,
            request,
        });
        (self.request.is_none() || self.request == request)
            && (self.class.is_none() || self.class == subject.class)
            && (self.worker.is_none() || self.worker == subject.worker)
    }
}

#[derive(Debug)]
struct Recorded {
    time: HybridTime,
    kind: EventKind,
    subject: Subject,
    detail: String,
}

#[derive(Debug)]
struct OpenRequest {
    class: ClassId,
    attempts: Vec<AttemptId>,
}

#[derive(Debug)]
struct OpenAttempt {
    request: RequestId,
    worker: WorkerId,
    has_piece: bool,
}

/// Records events into a ring buffer.
#[derive(Debug)]
pub(super) struct Recorder {
    entry: String,
    incarnation: u64,
    capacity: usize,
    pub(super) clock: HybridClock,
    events: VecDeque<Recorded>,
    dropped: u64,
    requests: VecMap<RequestId, OpenRequest>,
    attempts: VecMap<AttemptId, OpenAttempt>,
    calls: VecMap<CallId, Option<ClassId>>,
    classes: VecMap<ClassId, String>,
    workers: VecMap<WorkerId, String>,
}

impl Recorder {
    pub(super) fn open(entry: String, incarnation: u64, capacity: usize) -> Self {
        Self {
            entry,
            incarnation,
            capacity,
            clock: HybridClock::default(),
            events: VecDeque::new(),
            dropped: 0,
            requests: VecMap::default(),
            attempts: VecMap::default(),
            calls: VecMap::default(),
            classes: VecMap::default(),
            workers: VecMap::default(),
        }
    }

    fn push(&mut self, now: TimeMs, kind: EventKind, subject: Subject, mut detail: String) {
        let mut length = detail.len().min(MAX_DETAIL_BYTES);
        while !detail.is_char_boundary(length) {
            length -= 1;
        }
        detail.truncate(length);
        if self.events.len() >= self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        let time = self.clock.stamp(now);
        self.events.push_back(Recorded {
            time,
            kind,
            subject,
            detail,
        });
    }

    pub(super) fn record(&mut self, now: TimeMs, kind: EventKind, detail: String) {
        self.push(now, kind, Subject::default(), detail);
    }

    fn of_request(&self, request: RequestId) -> Subject {
        Subject {
            request: Some(request),
            class: self.requests.get(&request).map(|open| open.class),
            ..Subject::default()
        }
    }

    fn of_attempt(&self, attempt: AttemptId) -> Subject {
        let open = self.attempts.get(&attempt);
        let subject = open.map_or_else(Subject::default, |open| self.of_request(open.request));
        Subject {
            attempt: Some(attempt),
            worker: open.map(|open| open.worker),
            ..subject
        }
    }

    fn of_worker(worker: WorkerId) -> Subject {
        Subject {
            worker: Some(worker),
            ..Subject::default()
        }
    }

    pub(super) fn event(&mut self, now: TimeMs, event: &Event) {
        match event {
            Event::Arrived(arrival) => {
                let open = OpenRequest {
                    class: arrival.class,
                    attempts: Vec::new(),
                };
                self.requests.insert(arrival.request, open);
                let subject = self.of_request(arrival.request);
                self.push(now, EventKind::Arrived, subject, String::new());
            }
            Event::AttemptAccepted {
                attempt,
                cached_tokens,
                ..
            } => {
                let detail = format!("{cached_tokens} cached");
                self.push(now, EventKind::Accepted, self.of_attempt(*attempt), detail);
            }
            Event::Piece { attempt, .. } => self.piece(now, *attempt),
            Event::AttemptFinished {
                attempt,
                answer_tokens,
                ..
            } => {
                let detail = answer_tokens.to_string();
                self.push(now, EventKind::Finished, self.of_attempt(*attempt), detail);
            }
            Event::CallAnswered {
                attempt, status, ..
            } => {
                let detail = format!("status {status}");
                self.push(now, EventKind::Answered, self.of_attempt(*attempt), detail);
            }
            Event::AttemptFailed {
                attempt,
                verdict,
                failure,
            } => {
                let detail = format!("{failure:?}, {verdict}");
                self.push(now, EventKind::Failed, self.of_attempt(*attempt), detail);
            }
            Event::CallerLeft { request } => {
                let subject = self.of_request(*request);
                self.push(now, EventKind::CallerLeft, subject, String::new());
                self.close(*request);
            }
            Event::RecordAnswered { call, answer } => self.record_answered(now, *call, answer),
            Event::Probed {
                worker,
                incarnation,
            } => {
                let detail = match incarnation {
                    Some(incarnation) => format!("alive, incarnation {incarnation}"),
                    None => "no answer".to_owned(),
                };
                self.push(now, EventKind::Probed, Self::of_worker(*worker), detail);
            }
            Event::Configured(configuration) => self.configured(now, configuration),
            Event::Vms(list) => self.learn_workers(list),
            Event::ShutdownStarted => self.record(now, EventKind::ShutdownStarted, String::new()),
            Event::OrderAnswered {
                worker,
                fencing,
                outcome,
            } => {
                let detail = format!("fencing {fencing}: {outcome:?}");
                self.push(
                    now,
                    EventKind::OrderAnswered,
                    Self::of_worker(*worker),
                    detail,
                );
            }
            Event::WorkerLeaving { worker, .. } => {
                self.push(
                    now,
                    EventKind::Leaving,
                    Self::of_worker(*worker),
                    String::new(),
                );
            }
            Event::Load(_)
            | Event::CurrentLoad(_)
            | Event::Cache(_)
            | Event::CacheSnapshot(_)
            | Event::Tick => {}
        }
    }

    pub(super) fn command(&mut self, now: TimeMs, command: &Command) {
        match command {
            Command::Send(send) => self.sent(now, send),
            Command::Cancel { attempt, worker } => {
                let subject = Subject {
                    worker: Some(*worker),
                    ..self.of_attempt(*attempt)
                };
                self.push(now, EventKind::Cancelled, subject, String::new());
            }
            Command::Complete { request, usage } => {
                let detail = format!(
                    "{} of {} cached, first token after {}",
                    usage.cached_tokens.0, usage.prompt_tokens, usage.first_token_ms
                );
                self.last(now, EventKind::Complete, *request, detail);
            }
            Command::Answer {
                request,
                status,
                replayed,
                ..
            } => {
                let replayed = if *replayed { ", replayed" } else { "" };
                let detail = format!("status {status}{replayed}");
                self.last(now, EventKind::Complete, *request, detail);
            }
            Command::Refuse { request, refusal } => {
                self.last(now, EventKind::Refused, *request, refusal.to_string());
            }
            Command::Record { call, operation } => self.record_called(now, *call, operation),
            Command::Order {
                worker,
                fencing,
                order: Order::Load(model),
            } => {
                let detail = format!(
                    "fencing {fencing}: load {} at weights {}",
                    model.name, model.weights_version
                );
                self.push(now, EventKind::Order, Self::of_worker(*worker), detail);
            }
            Command::Probe { worker } => {
                self.push(
                    now,
                    EventKind::Probe,
                    Self::of_worker(*worker),
                    String::new(),
                );
            }
            Command::Resynchronise { worker, after } => {
                let detail = format!("after {after}");
                self.push(
                    now,
                    EventKind::Resynchronise,
                    Self::of_worker(*worker),
                    detail,
                );
            }
            Command::Deliver { .. } => {}
        }
    }

    fn piece(&mut self, now: TimeMs, attempt: AttemptId) {
        let Some(open) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if std::mem::replace(&mut open.has_piece, true) {
            return;
        }
        let subject = self.of_attempt(attempt);
        self.push(now, EventKind::FirstPiece, subject, String::new());
    }

    fn sent(&mut self, now: TimeMs, send: &Send) {
        let open = OpenAttempt {
            request: send.request,
            worker: send.worker,
            has_piece: false,
        };
        self.attempts.insert(send.attempt, open);
        if let Some(request) = self.requests.get_mut(&send.request) {
            request.attempts.push(send.attempt);
        }
        let detail = match send.resume_offset_bytes {
            0 => String::new(),
            offset => format!("resumed at byte {offset}"),
        };
        self.push(now, EventKind::Sent, self.of_attempt(send.attempt), detail);
    }

    fn last(&mut self, now: TimeMs, kind: EventKind, request: RequestId, detail: String) {
        self.push(now, kind, self.of_request(request), detail);
        self.close(request);
    }

    fn close(&mut self, request: RequestId) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        for attempt in open.attempts {
            self.attempts.remove(&attempt);
        }
    }

    fn record_called(&mut self, now: TimeMs, call: CallId, operation: &RecordCall) {
        let (verb, key) = match operation {
            RecordCall::Read { key } => ("read", key),
            RecordCall::Write { key, .. } => ("write", key),
        };
        let class = match key {
            RecordKey::Idempotency(key) => Some(key.class),
            _ => None,
        };
        if self.calls.len() < MAX_CALLS {
            self.calls.insert(call, class);
        }
        let subject = Subject {
            class,
            ..Subject::default()
        };
        let detail = format!("call {} {verb} {key}", call.0);
        self.push(now, EventKind::RecordCalled, subject, detail);
    }

    fn record_answered(&mut self, now: TimeMs, call: CallId, answer: &RecordAnswer) {
        let class = self.calls.remove(&call).flatten();
        let subject = Subject {
            class,
            ..Subject::default()
        };
        let answer = match answer {
            RecordAnswer::Read(Some(_)) => "there is a row",
            RecordAnswer::Read(None) => "there is no row",
            RecordAnswer::Written(_) => "written",
            RecordAnswer::Conflict(_) => "another row stands",
            RecordAnswer::Unknown => "no answer",
        };
        let detail = format!("call {} {answer}", call.0);
        self.push(now, EventKind::RecordAnswered, subject, detail);
    }

    fn configured(&mut self, now: TimeMs, configuration: &Configuration) {
        let classes = configuration.declarations.classes.iter();
        self.classes = classes
            .map(|class| (class.id(), class.name.clone()))
            .collect();
        let detail = format!(
            "generation {} (change {})",
            configuration.generation, configuration.change_id
        );
        self.record(now, EventKind::Configured, detail);
    }

    fn learn_workers(&mut self, list: &VmList) {
        for vm in &list.vms {
            if !self.workers.contains(&vm.worker()) {
                self.workers.insert(vm.worker(), vm.name.clone());
            }
        }
    }

    pub(super) fn select(&self, filter: &TimelineFilter) -> TimelinePart {
        let wanted = Wanted::of(filter);
        let events = self.events.iter().enumerate().rev();
        let passing = events.filter(|(_, event)| wanted.has(self.incarnation, &event.subject));
        let mut events: Vec<TimelineEvent> = passing
            .take(MAX_ANSWER_EVENTS)
            .map(|(at, event)| self.named(event, self.dropped + at as u64))
            .collect();
        events.reverse();
        TimelinePart {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            dropped: self.dropped,
            events,
        }
    }

    fn named(&self, event: &Recorded, sequence: u64) -> TimelineEvent {
        let subject = &event.subject;
        let class_name = |id: ClassId| self.classes.get(&id).cloned();
        let worker_name = |id: WorkerId| self.workers.get(&id).cloned();
        TimelineEvent {
            time: event.time,
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            sequence,
            kind: event.kind,
            request: subject.request.map(|request| RequestName {
                incarnation: self.incarnation,
                request,
            }),
            attempt: subject.attempt,
            class: subject
                .class
                .map(|id| class_name(id).unwrap_or_else(|| id.to_string())),
            worker: subject
                .worker
                .map(|id| worker_name(id).unwrap_or_else(|| id.to_string())),
            detail: event.detail.clone(),
        }
    }
}
