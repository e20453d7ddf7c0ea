//! Relays a backend server's event stream to the caller, one complete event at a time. When the
//! stream breaks off or stays silent and its route allows it, another server resumes it.

use {
    super::{
        Shared,
        call::{Call, InFlightRequest},
        clock::now,
        event_stream::{EventReader, StreamEvent},
        forward,
        link::{Connection, UnreadResponse},
        quarantine, reach,
        response::{self, ResponseBody, StreamPart, StreamedBody},
        versions,
    },
    cactusspur_core::{
        DurationMs, TimeMs, WorkerId,
        gateway::{Admission, CallKind, Choice, EventPlace, StreamPosition},
    },
    futures::future::abortable,
    http::Response,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{
        cell::{Cell, RefCell},
        pin::pin,
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::mpsc, time::timeout},
};

/// Events that are buffered for the caller. While the buffer is full, nothing is read from the
/// backend server.
const MAX_BUFFERED_EVENTS: usize = 8;
/// How long a resumable stream may be silent between events, as a multiple of the route's event
/// gap.
const MAX_SILENT_GAPS: u64 = 3;
/// How long a resumable stream may take to its first event beyond the predicted time, in percent of
/// the route's target.
const FIRST_EVENT_PERCENT: u64 = 100;

/// Starts relaying a stream and returns the response that carries it. The relay is aborted when
/// the response's body is dropped.
pub fn start(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    choice: Choice,
    reply: UnreadResponse,
    in_flight: InFlightRequest,
) -> Response<ResponseBody> {
    let (sender, events) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let mut response = Response::builder().status(reply.head.status);
    if let Some(headers) = response.headers_mut() {
        *headers = forward::response_headers(shared, &reply.head);
    }
    let relay = Relay {
        shared: Rc::clone(shared),
        call: Rc::clone(call),
        sender,
        position: StreamPosition::after(call.head.last_event),
        event_count: 0,
        last_event_at_ms: call.arrived_at_ms,
        longest_gap_ms: DurationMs(0),
        tried: RefCell::new(vec![choice.worker]),
        unsent: Cell::new(0),
    };
    let (relay_task, abort) = abortable(relay.run(Source::new(choice, reply, in_flight)));
    ntex::rt::spawn(relay_task);
    let body = ResponseBody::Streamed(StreamedBody::new(events, abort));
    response
        .body(body)
        .unwrap_or_else(|_| response::empty(http::StatusCode::BAD_GATEWAY))
}

/// A stream from one backend server.
struct Source {
    choice: Choice,
    body: Incoming,
    connection: Connection,
    /// How long the connection may be pooled once the stream is complete.
    keep_ms: DurationMs,
    in_flight: InFlightRequest,
    reader: EventReader,
    /// Whether this server has sent an event.
    has_events: bool,
    /// When the last event arrived, or the answer began.
    silent_since_ms: TimeMs,
    /// Whether the body has a length or chunks, so that its end is known.
    is_framed: bool,
}

impl Source {
    fn new(choice: Choice, reply: UnreadResponse, in_flight: InFlightRequest) -> Self {
        let is_framed = reply.is_framed();
        let (_, body, connection, keep_ms) = reply.into_parts();
        Self {
            is_framed,
            choice,
            body,
            connection,
            keep_ms,
            in_flight,
            reader: EventReader::default(),
            has_events: false,
            silent_since_ms: now(),
        }
    }
}

/// Why the relay stopped reading from a source.
enum SourceEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// The source was silent for too long and the contained source resumes the stream.
    TakenOver(Box<Source>),
    /// The stream ended early, for the contained reason.
    Broken(String),
    /// The connection ended before the stream, as described.
    Lost(String),
    /// The silent source broke off, which is recorded. The contained source resumes the stream, if any does.
    Replaced(Option<Box<Source>>),
}

/// The outcome of waiting on a silent source.
enum SilenceOutcome {
    /// The silent source delivered an event of the stream.
    Events,
    /// The silent source ended or was replaced.
    Ended(SourceEnd),
    /// No other server can resume the stream.
    NoReplacement,
}

/// The task that relays one stream.
struct Relay {
    shared: Rc<Shared>,
    call: Rc<Call>,
    sender: mpsc::Sender<StreamPart>,
    position: StreamPosition,
    /// Events received from all sources, including repeated ones.
    event_count: u64,
    /// When the last event arrived.
    last_event_at_ms: TimeMs,
    /// The longest time between two events.
    longest_gap_ms: DurationMs,
    /// Servers that were chosen for the request.
    tried: RefCell<Vec<WorkerId>>,
    /// Those of them to which nothing could be sent.
    unsent: Cell<usize>,
}

impl Relay {
    /// Relays the stream from `source` and from the servers that resume it, until it is complete, the
    /// caller leaves, or no server can resume it.
    async fn run(mut self, source: Source) {
        let mut source = source;
        loop {
            self.position.change_server();
            let end = self.relay_events(&mut source).await;
            self.record_end(&source, &end).await;
            let next = match end {
                SourceEnd::Complete => {
                    let Source {
                        choice,
                        connection,
                        keep_ms,
                        in_flight,
                        ..
                    } = source;
                    drop(in_flight);
                    self.shared.connection_pool.release(connection, keep_ms);
                    if self.sender.send(StreamPart::End).await.is_err() {
                        self.log(choice.worker, "caller left before the end");
                    }
                    return;
                }
                SourceEnd::CallerLeft => return,
                // Dropping the silent source cancels its request.
                SourceEnd::TakenOver(next) => Some(*next),
                SourceEnd::Replaced(next) => next.map(|next| *next),
                SourceEnd::Broken(_) | SourceEnd::Lost(_) => {
                    // Cancels the request there before another server is sent one.
                    drop(source);
                    self.resume().await
                }
            };
            let Some(next) = next else {
                // The body ends as incomplete with the task.
                return;
            };
            source = next;
        }
    }

    /// Logs how a source ended, and records what follows for its server.
    async fn record_end(&self, source: &Source, end: &SourceEnd) {
        let worker = source.choice.worker;
        let (what, served) = match end {
            SourceEnd::Complete => ("complete", Some(true)),
            SourceEnd::CallerLeft => ("caller left", None),
            SourceEnd::TakenOver(_) => ("silent", Some(false)),
            SourceEnd::Broken(what) | SourceEnd::Lost(what) => (what.as_str(), Some(false)),
            SourceEnd::Replaced(_) => return,
        };
        if let Some(served) = served {
            forward::record_result(&self.shared, worker, served);
        }
        self.log(worker, what);
        if matches!(end, SourceEnd::Broken(_) | SourceEnd::Lost(_)) {
            self.log_broken(source, what);
        }
        if matches!(end, SourceEnd::Lost(_)) && !source.has_events {
            quarantine::handle_lost_server(&self.shared, &self.call, &source.in_flight).await;
        }
    }

    /// Relays events until the source ends or is replaced, or the caller leaves.
    async fn relay_events(&mut self, source: &mut Source) -> SourceEnd {
        loop {
            let Some(limit) = self.silence_limit(source) else {
                return SourceEnd::Broken("timed out".to_owned());
            };
            let frame = tokio::select! {
                frame = timeout(limit, source.body.frame()) => frame,
                () = quarantine::recalled(&self.shared, &self.call), if !source.has_events => {
                    return SourceEnd::Broken("servers crash on the request".to_owned());
                }
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(_) if !self.may_resume() => return SourceEnd::Broken("timed out".to_owned()),
                Err(_) => match self.wait_or_resume(source).await {
                    SilenceOutcome::Events => {
                        if let Err(end) = self.send_events(source).await {
                            return end;
                        }
                        continue;
                    }
                    SilenceOutcome::Ended(end) => return end,
                    SilenceOutcome::NoReplacement => {
                        source.silent_since_ms = now();
                        continue;
                    }
                },
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return lost(&error),
                None => return self.end_of(source).await,
            };
            source.connection.record_progress();
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if let Err(error) = source.reader.push(&bytes) {
                return SourceEnd::Broken(error.to_string());
            }
            if let Err(end) = self.send_events(source).await {
                return end;
            }
        }
    }

    /// The end of a source whose body has ended.
    async fn end_of(&self, source: &Source) -> SourceEnd {
        if source.reader.has_partial() {
            return SourceEnd::Lost("ended in the middle of an event".to_owned());
        }
        // Nothing tells the end of a stream without a length or chunks from that of its server.
        if !source.is_framed {
            let (worker, address) = (source.choice.worker, source.connection.address());
            if !source.has_events {
                return SourceEnd::Lost("ended before the first event".to_owned());
            }
            self.log(worker, "ended with its connection");
            let service = &self.call.service;
            if reach::has_server_failed(&self.shared, service, worker, address).await {
                return SourceEnd::Lost("ended with its server".to_owned());
            }
        }
        if self.position.is_behind() {
            return SourceEnd::Broken("ended before the caller's last event".to_owned());
        }
        SourceEnd::Complete
    }

    /// Waits for an event of the silent source and tries to resume the stream elsewhere at the same time;
    /// the first to succeed wins. The silent source stays open until then, since it may still continue.
    async fn wait_or_resume(&self, source: &mut Source) -> SilenceOutcome {
        let mut resumed = pin!(self.resume());
        let end = loop {
            let frame = tokio::select! {
                frame = source.body.frame() => frame,
                next = resumed.as_mut() => return next.map_or(
                    SilenceOutcome::NoReplacement,
                    |next| SilenceOutcome::Ended(SourceEnd::TakenOver(Box::new(next))),
                ),
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => break lost(&error),
                None => break self.end_of(source).await,
            };
            source.connection.record_progress();
            // Bytes that complete no event don't show that the stream goes on.
            let pushed = frame.into_data().map(|bytes| source.reader.push(&bytes));
            if let Ok(Err(error)) = pushed {
                break SourceEnd::Broken(error.to_string());
            }
            let Some(event) = source.reader.peek() else {
                continue;
            };
            let mut position = self.position;
            match advance(&mut position, &event) {
                Err(end) if !event.is_comment() => break end,
                _ => return SilenceOutcome::Events,
            }
        };
        if !matches!(end, SourceEnd::Broken(_) | SourceEnd::Lost(_)) {
            return SilenceOutcome::Ended(end);
        }
        self.record_end(source, &end).await;
        // The attempt counts, so that there may be no other one.
        let next = resumed.await;
        SilenceOutcome::Ended(SourceEnd::Replaced(next.map(Box::new)))
    }

    /// Sends the complete events that the source has received to the caller, without those that the
    /// caller already has.
    ///
    /// # Errors
    ///
    /// The end of the source: the caller has left, or the bytes are no event or can't belong to the stream.
    async fn send_events(&mut self, source: &mut Source) -> Result<(), SourceEnd> {
        for event in source.reader.by_ref() {
            if event.is_comment() {
                source.silent_since_ms = now();
                let sent = response::send_event(&self.sender, event.bytes).await;
                sent.map_err(|_| SourceEnd::CallerLeft)?;
                continue;
            }
            if event.is_valid() {
                self.log_order(source.choice.worker, !source.has_events, event.id);
            }
            let place = advance(&mut self.position, &event)?;
            if !std::mem::replace(&mut source.has_events, true) {
                quarantine::record_pass(&self.shared, &self.call);
                source.in_flight.end_trial();
            }
            if self.event_count == 0 {
                source.in_flight.record_first_token();
                self.call.record_parts(&self.shared, &source.choice, true);
                let software = source.in_flight.sent_to().software;
                versions::record_first_event(&self.shared, &self.call, software);
                self.log(source.choice.worker, "first event");
            }
            let now = now();
            source.silent_since_ms = now;
            if self.event_count > 0 {
                let gap_ms = now.since(self.last_event_at_ms);
                self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
            }
            self.last_event_at_ms = now;
            self.event_count += 1;
            if place == EventPlace::Repeated {
                continue;
            }
            let sent = response::send_event(&self.sender, event.bytes).await;
            sent.map_err(|_| SourceEnd::CallerLeft)?;
            // While a slow caller reads, nothing is read from the server.
            source.silent_since_ms = self::now();
        }
        Ok(())
    }

    /// How long the source may go on without an event, or `None` when the time for the response is over. A
    /// stream that can't be resumed may be silent until then.
    fn silence_limit(&self, source: &Source) -> Option<Duration> {
        let remaining_ms = self.call.remaining_ms().0;
        if remaining_ms == 0 {
            return None;
        }
        if !self.may_resume() {
            return Some(Duration::from_millis(remaining_ms));
        }
        let max_silence_ms = if self.event_count == 0 {
            let target_ms = self.call.route.target_ms.0 * FIRST_EVENT_PERCENT / 100;
            target_ms + source.choice.first_token_ms.0
        } else {
            let gap_ms = self
                .call
                .route
                .event_gap_ms
                .unwrap_or(self.call.route.target_ms);
            gap_ms.0 * MAX_SILENT_GAPS
        };
        let silent_ms = now().since(source.silent_since_ms).0;
        let left_ms = max_silence_ms.saturating_sub(silent_ms);
        Some(Duration::from_millis(remaining_ms.min(left_ms)))
    }

    /// Whether the stream is resumable and may be sent to another server.
    fn may_resume(&self) -> bool {
        let unsent = self.unsent.get();
        self.call.kind() == CallKind::Stream { resumable: true }
            && self.position.is_resumable()
            && unsent < forward::MAX_CONNECT_FAILURES
            && self.tried.borrow().len() - unsent < self.call.route.max_backends
    }

    /// Resumes the stream at another server after the last event that the caller has, trying further
    /// servers while the limits of the route and the retry budget allow it.
    async fn resume(&self) -> Option<Source> {
        while self.may_resume()
            && !self.call.has_lost_servers()
            && self.call.remaining_ms() > DurationMs(0)
        {
            let admission = quarantine::admit(&self.shared, &self.call);
            if matches!(admission, Admission::Refused | Admission::Later) {
                tracing::info!(
                    request = self.call.head.request_id,
                    "not resumed, since servers crash on the request"
                );
                return None;
            }
            let service = &self.call.service;
            if !self
                .shared
                .state
                .borrow_mut()
                .withdraw_retry(service, now())
            {
                tracing::info!(
                    request = self.call.head.request_id,
                    "the retry budget is used up"
                );
                return None;
            }
            let choice = self.call.choose(&self.shared, &self.tried.borrow())?;
            self.tried.borrow_mut().push(choice.worker);
            let limit = Duration::from_millis(self.call.remaining_ms().0);
            let exchange = forward::send(
                &self.shared,
                &self.call,
                &choice,
                self.position.last_event(),
            );
            match timeout(limit, exchange).await {
                Ok(Ok((reply, head, in_flight)))
                    if head.is_signed && self.is_event_stream(&reply) =>
                {
                    self.log(choice.worker, "resumed");
                    return Some(Source::new(choice, reply, in_flight));
                }
                Ok(Ok((reply, ..))) => {
                    forward::record_result(&self.shared, choice.worker, false);
                    let status = reply.head.status;
                    self.log(choice.worker, &format!("not resumed: {status}"));
                }
                Ok(Err(failure)) => {
                    self.unsent
                        .update(|count| count + usize::from(failure.is_unsent));
                    self.log(choice.worker, &failure.reason);
                }
                Err(_) => self.log(choice.worker, "timed out"),
            }
        }
        None
    }

    /// Whether a server's answer is a stream, and not an error in a successful response.
    fn is_event_stream(&self, reply: &UnreadResponse) -> bool {
        let (status, headers) = (reply.head.status.as_u16(), &reply.head.headers);
        let kind = self.call.kind();
        self.shared.protocol.is_event_stream(kind, status, headers)
    }

    /// Logs what ran at a server that broke the stream off, and how far it was.
    fn log_broken(&self, source: &Source, what: &str) {
        tracing::info!(
            request = self.call.head.request_id, worker = %source.choice.worker,
            path = self.call.path(), digest = %self.call.identity.digest, prompt = self.call.prompt_names(), has_events = source.has_events,
            ran_ms = now().since(source.in_flight.sent_to().sent_at_ms).0, what, "stream broken off"
        );
    }

    /// Logs an event whose place in the stream its id doesn't show.
    fn log_order(&self, worker: WorkerId, is_first: bool, id: Option<u64>) {
        let what = match (id, self.position.last_event()) {
            (None, _) => "an event without an id",
            (Some(id), Some(last)) if id <= last => "the caller has the event",
            (Some(id), Some(last)) if id - last > 1 => "the ids skip a number",
            _ => return,
        };
        metrics::counter!("cactusspur_odd_events_total", "what" => what).increment(1);
        tracing::warn!(
            request = self.call.head.request_id, %worker, is_first, id, last_event = self.position.last_event(), what,
            "odd event"
        );
    }

    /// Logs a step of the stream.
    fn log(&self, worker: WorkerId, what: &str) {
        tracing::info!(
            request = self.call.head.request_id, route = self.call.route.name, %worker,
            events = self.event_count, longest_gap_ms = self.longest_gap_ms.0, last_event = self.position.last_event(),
            after_ms = now().since(self.call.arrived_at_ms).0, what, "stream"
        );
    }
}

/// The end of a source whose body can't be read.
fn lost(error: &hyper::Error) -> SourceEnd {
    SourceEnd::Lost(format!("reading failed: {error}"))
}

/// Advances to an event, and says whether the caller gets it.
///
/// # Errors
///
/// The end of the source: the bytes are no event or can't belong to the stream.
fn advance(position: &mut StreamPosition, event: &StreamEvent) -> Result<EventPlace, SourceEnd> {
    if !event.is_valid() {
        return Err(SourceEnd::Broken("bytes that are no event".to_owned()));
    }
    let place = position.advance(event.id);
    place.map_err(|error| SourceEnd::Broken(error.to_string()))
}
