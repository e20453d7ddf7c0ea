//! Records the events of a time line from the inputs and commands of the core.

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

/// The longest detail of an event; longer ones are truncated.
const MAX_DETAIL_BYTES: usize = 160;
/// The most pending calls to the table service whose class is kept.
const MAX_PENDING_CALLS: usize = 4_096;

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A caller's request was received.
    #[display("arrived")]
    Arrived,
    /// An attempt was sent to a worker.
    #[display("sent")]
    Sent,
    /// A worker accepted an attempt.
    #[display("accepted")]
    Accepted,
    /// The first piece of an answer was received.
    #[display("first piece")]
    FirstPiece,
    /// A worker completed a model's answer.
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
    /// The complete answer was passed on to the caller.
    #[display("complete")]
    Complete,
    /// The caller's request was refused.
    #[display("refused")]
    Refused,
    /// The caller disconnected.
    #[display("caller left")]
    CallerLeft,
    /// The table service was called.
    #[display("record called")]
    RecordCalled,
    /// A call to the table service was answered or timed out.
    #[display("record answered")]
    RecordAnswered,
    /// A worker was probed for liveness.
    #[display("probe")]
    Probe,
    /// An order was sent to a worker.
    #[display("order")]
    Order,
    /// The outcome of an order is known.
    #[display("order answered")]
    OrderAnswered,
    /// A probe was answered or timed out.
    #[display("probed")]
    Probed,
    /// A worker announced that it is leaving.
    #[display("leaving")]
    Leaving,
    /// A worker's complete cache state was requested.
    #[display("resynchronise")]
    Resynchronise,
    /// A configuration was activated.
    #[display("configured")]
    Configured,
    /// An entry VM's state changed, as this process sees it.
    #[display("member")]
    Member,
    /// The process was requested to stop.
    #[display("shutdown started")]
    ShutdownStarted,
}

/// An event of a time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// When the event happened; sorts in causal order over all processes.
    #[serde(rename = "at")]
    pub time: HybridTime,
    /// The entry VM that it happened on.
    pub entry: String,
    /// Identifies the run of its process.
    pub incarnation: u64,
    /// The number of the event in its process.
    pub sequence: u64,
    /// The kind of the event.
    pub kind: EventKind,
    /// The request that the event belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestName>,
    /// The attempt that the event belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// The class's name, or its id if the name isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The worker's name, or its id if the name isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
    /// Further text for operators, by kind of event.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// The request, attempt, class and worker that an event belongs to.
#[derive(Clone, Copy, Debug, Default)]
struct Subject {
    request: Option<RequestId>,
    attempt: Option<AttemptId>,
    class: Option<ClassId>,
    worker: Option<WorkerId>,
}

/// A filter with names resolved to ids.
struct IdFilter {
    request: Option<RequestName>,
    class: Option<ClassId>,
    worker: Option<WorkerId>,
}

impl IdFilter {
    fn new(filter: &TimelineFilter) -> Self {
        Self {
            request: filter.request,
            class: filter.class.as_deref().map(ClassId::from_name),
            worker: filter.worker.as_deref().map(WorkerId::from_name),
        }
    }

    fn matches(&self, incarnation: u64, subject: &Subject) -> bool {
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
struct RecordedEvent {
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
    has_first_piece: bool,
}

/// Records events into a ring buffer.
#[derive(Debug)]
pub(super) struct Recorder {
    entry: String,
    incarnation: u64,
    capacity: usize,
    pub(super) clock: HybridClock,
    events: VecDeque<RecordedEvent>,
    dropped: u64,
    open_requests: VecMap<RequestId, OpenRequest>,
    open_attempts: VecMap<AttemptId, OpenAttempt>,
    pending_calls: VecMap<CallId, Option<ClassId>>,
    class_names: VecMap<ClassId, String>,
    worker_names: VecMap<WorkerId, String>,
}

impl Recorder {
    pub(super) fn new(entry: String, incarnation: u64, capacity: usize) -> Self {
        Self {
            entry,
            incarnation,
            capacity,
            clock: HybridClock::default(),
            events: VecDeque::new(),
            dropped: 0,
            open_requests: VecMap::default(),
            open_attempts: VecMap::default(),
            pending_calls: VecMap::default(),
            class_names: VecMap::default(),
            worker_names: VecMap::default(),
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
        self.events.push_back(RecordedEvent {
            time,
            kind,
            subject,
            detail,
        });
    }

    pub(super) fn record(&mut self, now: TimeMs, kind: EventKind, detail: String) {
        self.push(now, kind, Subject::default(), detail);
    }

    fn for_request(&self, request: RequestId) -> Subject {
        Subject {
            request: Some(request),
            class: self.open_requests.get(&request).map(|open| open.class),
            ..Subject::default()
        }
    }

    fn for_attempt(&self, attempt: AttemptId) -> Subject {
        let open = self.open_attempts.get(&attempt);
        let subject = open.map_or_else(Subject::default, |open| self.for_request(open.request));
        Subject {
            attempt: Some(attempt),
            worker: open.map(|open| open.worker),
            ..subject
        }
    }

    fn for_worker(worker: WorkerId) -> Subject {
        Subject {
            worker: Some(worker),
            ..Subject::default()
        }
    }

    pub(super) fn record_event(&mut self, now: TimeMs, event: &Event) {
        match event {
            Event::Arrived(arrival) => {
                let open = OpenRequest {
                    class: arrival.class,
                    attempts: Vec::new(),
                };
                self.open_requests.insert(arrival.request, open);
                let subject = self.for_request(arrival.request);
                self.push(now, EventKind::Arrived, subject, String::new());
            }
            Event::AttemptAccepted {
                attempt,
                cached_tokens,
                ..
            } => {
                let detail = format!("{cached_tokens} cached");
                self.push(now, EventKind::Accepted, self.for_attempt(*attempt), detail);
            }
            Event::Piece { attempt, .. } => self.record_piece(now, *attempt),
            Event::AttemptFinished {
                attempt,
                answer_tokens,
                ..
            } => {
                let detail = answer_tokens.to_string();
                self.push(now, EventKind::Finished, self.for_attempt(*attempt), detail);
            }
            Event::CallAnswered {
                attempt, status, ..
            } => {
                let detail = format!("status {status}");
                self.push(now, EventKind::Answered, self.for_attempt(*attempt), detail);
            }
            Event::AttemptFailed {
                attempt,
                verdict,
                failure,
            } => {
                let detail = format!("{failure:?}, {verdict}");
                self.push(now, EventKind::Failed, self.for_attempt(*attempt), detail);
            }
            Event::CallerLeft { request } => {
                let subject = self.for_request(*request);
                self.push(now, EventKind::CallerLeft, subject, String::new());
                self.remove_request(*request);
            }
            Event::RecordAnswered { call, answer } => self.record_table_answer(now, *call, answer),
            Event::Probed {
                worker,
                incarnation,
            } => {
                let detail = match incarnation {
                    Some(incarnation) => format!("alive, incarnation {incarnation}"),
                    None => "no answer".to_owned(),
                };
                self.push(now, EventKind::Probed, Self::for_worker(*worker), detail);
            }
            Event::Configured(configuration) => self.record_configuration(now, configuration),
            Event::Vms(list) => self.add_worker_names(list),
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
                    Self::for_worker(*worker),
                    detail,
                );
            }
            Event::WorkerLeaving { worker, .. } => {
                self.push(
                    now,
                    EventKind::Leaving,
                    Self::for_worker(*worker),
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

    pub(super) fn record_command(&mut self, now: TimeMs, command: &Command) {
        match command {
            Command::Send(send) => self.record_sent(now, send),
            Command::Cancel { attempt, worker } => {
                let subject = Subject {
                    worker: Some(*worker),
                    ..self.for_attempt(*attempt)
                };
                self.push(now, EventKind::Cancelled, subject, String::new());
            }
            Command::Complete { request, usage } => {
                let detail = format!(
                    "{} of {} cached, first token after {}",
                    usage.cached_tokens.0, usage.prompt_tokens, usage.first_token_ms
                );
                self.record_end(now, EventKind::Complete, *request, detail);
            }
            Command::Answer {
                request,
                status,
                replayed,
                ..
            } => {
                let replayed = if *replayed { ", replayed" } else { "" };
                let detail = format!("status {status}{replayed}");
                self.record_end(now, EventKind::Complete, *request, detail);
            }
            Command::Refuse { request, refusal } => {
                self.record_end(now, EventKind::Refused, *request, refusal.to_string());
            }
            Command::Record { call, operation } => self.record_table_call(now, *call, operation),
            Command::Order {
                worker,
                fencing,
                order: Order::Load(model),
            } => {
                let detail = format!(
                    "fencing {fencing}: load {} at weights {}",
                    model.name, model.weights_version
                );
                self.push(now, EventKind::Order, Self::for_worker(*worker), detail);
            }
            Command::Probe { worker } => {
                self.push(
                    now,
                    EventKind::Probe,
                    Self::for_worker(*worker),
                    String::new(),
                );
            }
            Command::Resynchronise { worker, after } => {
                let detail = format!("after {after}");
                self.push(
                    now,
                    EventKind::Resynchronise,
                    Self::for_worker(*worker),
                    detail,
                );
            }
            Command::Deliver { .. } => {}
        }
    }

    fn record_piece(&mut self, now: TimeMs, attempt: AttemptId) {
        let Some(open) = self.open_attempts.get_mut(&attempt) else {
            return;
        };
        if std::mem::replace(&mut open.has_first_piece, true) {
            return;
        }
        let subject = self.for_attempt(attempt);
        self.push(now, EventKind::FirstPiece, subject, String::new());
    }

    fn record_sent(&mut self, now: TimeMs, send: &Send) {
        let open = OpenAttempt {
            request: send.request,
            worker: send.worker,
            has_first_piece: false,
        };
        self.open_attempts.insert(send.attempt, open);
        if let Some(request) = self.open_requests.get_mut(&send.request) {
            request.attempts.push(send.attempt);
        }
        let detail = match send.resume_offset_bytes {
            0 => String::new(),
            offset => format!("resumed at byte {offset}"),
        };
        self.push(now, EventKind::Sent, self.for_attempt(send.attempt), detail);
    }

    fn record_end(&mut self, now: TimeMs, kind: EventKind, request: RequestId, detail: String) {
        self.push(now, kind, self.for_request(request), detail);
        self.remove_request(request);
    }

    fn remove_request(&mut self, request: RequestId) {
        let Some(open) = self.open_requests.remove(&request) else {
            return;
        };
        for attempt in open.attempts {
            self.open_attempts.remove(&attempt);
        }
    }

    fn record_table_call(&mut self, now: TimeMs, call: CallId, operation: &RecordCall) {
        let (verb, key) = match operation {
            RecordCall::Read { key } => ("read", key),
            RecordCall::Write { key, .. } => ("write", key),
        };
        let class = match key {
            RecordKey::Idempotency(key) => Some(key.class),
            _ => None,
        };
        if self.pending_calls.len() < MAX_PENDING_CALLS {
            self.pending_calls.insert(call, class);
        }
        let subject = Subject {
            class,
            ..Subject::default()
        };
        let detail = format!("call {} {verb} {key}", call.0);
        self.push(now, EventKind::RecordCalled, subject, detail);
    }

    fn record_table_answer(&mut self, now: TimeMs, call: CallId, answer: &RecordAnswer) {
        let class = self.pending_calls.remove(&call).flatten();
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

    fn record_configuration(&mut self, now: TimeMs, configuration: &Configuration) {
        let classes = configuration.declarations.classes.iter();
        self.class_names = classes
            .map(|class| (class.id(), class.name.clone()))
            .collect();
        let detail = format!(
            "generation {} (change {})",
            configuration.generation, configuration.change_id
        );
        self.record(now, EventKind::Configured, detail);
    }

    fn add_worker_names(&mut self, list: &VmList) {
        for vm in &list.vms {
            if !self.worker_names.contains(&vm.worker()) {
                self.worker_names.insert(vm.worker(), vm.name.clone());
            }
        }
    }

    pub(super) fn select(&self, filter: &TimelineFilter) -> TimelinePart {
        let id_filter = IdFilter::new(filter);
        let events = self.events.iter().enumerate().rev();
        let matching =
            events.filter(|(_, event)| id_filter.matches(self.incarnation, &event.subject));
        let mut events: Vec<TimelineEvent> = matching
            .take(MAX_ANSWER_EVENTS)
            .map(|(index, event)| self.to_timeline_event(event, self.dropped + index as u64))
            .collect();
        events.reverse();
        TimelinePart {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            dropped: self.dropped,
            events,
        }
    }

    fn to_timeline_event(&self, event: &RecordedEvent, sequence: u64) -> TimelineEvent {
        let subject = &event.subject;
        let class_name = |id: ClassId| self.class_names.get(&id).cloned();
        let worker_name = |id: WorkerId| self.worker_names.get(&id).cloned();
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
