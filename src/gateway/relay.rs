//! Passes a stream of events on, whole event by whole event, and has it resumed elsewhere when
//! it breaks off and that is allowed.

use {
    super::{
        Shared,
        call::{Call, InFlightRequest},
        clock::now,
        event_stream::EventReader,
        forward,
        link::{Connection, Reply},
        response::{IncompleteResponse, ResponseBody, StreamedBody},
    },
    bytes::Bytes,
    cactusspur_core::{
        DurationMs, TimeMs, WorkerId,
        gateway::{CallKind, Choice},
    },
    futures::future::abortable,
    http::Response,
    http_body_util::BodyExt,
    hyper::body::{Frame, Incoming},
    std::{rc::Rc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
};

/// Pieces that wait for the caller; further ones wait at the backend server.
const MAX_WAITING_PIECES: usize = 8;
/// How many times the route's longest pause a resumable stream may be silent.
const SILENT_GAPS: u64 = 3;
/// How many times the route's target a resumable stream may take to its first event, in percent,
/// beside what was predicted.
const FIRST_EVENT_PERCENT: u64 = 100;

/// Starts to pass a stream on.
pub fn start(
    shared: &Rc<Shared>,
    call: &Rc<Call>,
    choice: Choice,
    reply: Reply,
    in_flight: InFlightRequest,
) -> Response<ResponseBody> {
    let (sender, pieces) = mpsc::channel(MAX_WAITING_PIECES);
    let mut response = Response::builder().status(reply.head.status);
    if let Some(headers) = response.headers_mut() {
        *headers = forward::response_headers(shared, &reply.head);
    }
    let relay = Relay {
        shared: Rc::clone(shared),
        call: Rc::clone(call),
        sender,
        last_event: call.head.last_event,
        events: 0,
        last_event_at_ms: call.arrived_at_ms,
        longest_gap_ms: DurationMs(0),
        tried: vec![choice.worker],
    };
    let (relaying, abort) = abortable(relay.run(Source::new(choice, reply, in_flight)));
    ntex::rt::spawn(relaying);
    let body = ResponseBody::Streamed(StreamedBody::new(pieces, abort));
    response
        .body(body)
        .unwrap_or_else(|_| super::response::empty(http::StatusCode::BAD_GATEWAY))
}

/// A backend server that streams.
struct Source {
    choice: Choice,
    body: Incoming,
    connection: Connection,
    keep_ms: DurationMs,
    in_flight: InFlightRequest,
    reader: EventReader,
}

impl Source {
    fn new(choice: Choice, reply: Reply, in_flight: InFlightRequest) -> Self {
        let (_, body, connection, keep_ms) = reply.into_parts();
        Self {
            choice,
            body,
            connection,
            keep_ms,
            in_flight,
            reader: EventReader::default(),
        }
    }
}

/// How a source ended.
enum Ended {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// It fell silent, and another one goes on.
    TakenOver(Box<Source>),
    /// It broke off.
    Broken(String),
}

/// What ended the silence of a source.
enum Silence {
    /// The source itself goes on, or ends.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// Another one goes on.
    TakenOver(Box<Source>),
    /// No other one takes the stream.
    Lasts,
}

struct Relay {
    shared: Rc<Shared>,
    call: Rc<Call>,
    sender: mpsc::Sender<Result<Bytes, IncompleteResponse>>,
    last_event: Option<u64>,
    events: u64,
    last_event_at_ms: TimeMs,
    longest_gap_ms: DurationMs,
    tried: Vec<WorkerId>,
}

impl Relay {
    async fn run(mut self, source: Source) {
        let mut source = source;
        loop {
            let worker = source.choice.worker;
            let ended = self.pass_on(&mut source).await;
            match ended {
                Ended::Complete => {
                    forward::record_result(&self.shared, worker, true);
                    self.log(worker, "complete");
                    self.shared
                        .links
                        .give_back(source.connection, source.keep_ms);
                    return;
                }
                Ended::CallerLeft => {
                    self.log(worker, "caller left");
                    return;
                }
                Ended::TakenOver(next) => {
                    forward::record_result(&self.shared, worker, false);
                    self.log(worker, "silent");
                    // The run there ends as the other one goes on.
                    source = *next;
                    continue;
                }
                Ended::Broken(what) => {
                    forward::record_result(&self.shared, worker, false);
                    self.log(worker, &what);
                    // The run there ends before another one begins.
                    drop(source);
                }
            }
            if let Some(next) = self.resume().await {
                source = next;
            } else {
                // The caller may have left meanwhile.
                let _ = self.sender.send(Err(IncompleteResponse)).await;
                return;
            }
        }
    }

    /// Passes events on until the source ends.
    async fn pass_on(&mut self, source: &mut Source) -> Ended {
        loop {
            let Some(limit) = self.silence_limit(source) else {
                return Ended::Broken("out of time".to_owned());
            };
            let frame = match timeout(limit, source.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if !self.may_resume() => return Ended::Broken("out of time".to_owned()),
                Err(_) => match self.end_silence(source).await {
                    Silence::Frame(frame) => frame,
                    Silence::TakenOver(next) => return Ended::TakenOver(next),
                    Silence::Lasts => continue,
                },
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Ended::Broken(format!("broke off: {error}")),
                None if source.reader.has_partial() => {
                    return Ended::Broken("ended within an event".to_owned());
                }
                None => return Ended::Complete,
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if let Err(error) = source.reader.push(&bytes) {
                return Ended::Broken(error.to_string());
            }
            if !self.pass_events(source).await {
                return Ended::CallerLeft;
            }
        }
    }

    /// Has another server go on while the source is silent. The source is kept until then: a silent
    /// one may still go on, and is better than none.
    async fn end_silence(&mut self, source: &mut Source) -> Silence {
        tokio::select! {
            frame = source.body.frame() => Silence::Frame(frame),
            next = self.resume() => next.map_or(Silence::Lasts, |next| Silence::TakenOver(Box::new(next))),
        }
    }

    /// Passes on the whole events that have come. Gives back whether the caller is still there.
    async fn pass_events(&mut self, source: &mut Source) -> bool {
        for event in source.reader.by_ref() {
            if self.events == 0 {
                source.in_flight.record_first_token();
                self.call.record_parts(&self.shared, &source.choice, true);
                self.log(source.choice.worker, "first event");
            }
            let now = now();
            if self.events > 0 {
                let gap_ms = now.since(self.last_event_at_ms);
                self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
            }
            self.last_event_at_ms = now;
            self.events += 1;
            let is_repeated = match (event.id, self.last_event) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_repeated {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            if self.sender.send(Ok(event.bytes)).await.is_err() {
                return false;
            }
        }
        true
    }

    /// How long the source may be silent; none when the time is over.
    fn silence_limit(&self, source: &Source) -> Option<Duration> {
        let left_ms = self.call.remaining_ms().0;
        if left_ms == 0 {
            return None;
        }
        if !self.may_resume() {
            return Some(Duration::from_millis(left_ms));
        }
        let silent_ms = if self.events == 0 {
            let target_ms = self.call.route.target_ms.0 * FIRST_EVENT_PERCENT / 100;
            target_ms + source.choice.first_token_ms.0
        } else {
            let gap = self
                .call
                .route
                .event_gap_ms
                .unwrap_or(self.call.route.target_ms);
            gap.0 * SILENT_GAPS
        };
        Some(Duration::from_millis(left_ms.min(silent_ms)))
    }

    fn may_resume(&self) -> bool {
        self.call.kind() == CallKind::Stream { resumable: true }
            && self.tried.len() < self.call.route.max_backends
    }

    /// Has the stream go on at another server.
    async fn resume(&mut self) -> Option<Source> {
        while self.may_resume() && self.call.remaining_ms() > DurationMs(0) {
            let service = &self.call.service;
            if !self
                .shared
                .state
                .borrow_mut()
                .withdraw_retry(service, now())
            {
                tracing::info!(request = self.call.head.request_id, "no repeat is left");
                return None;
            }
            let choice = self.call.choose(&self.shared, &self.tried)?;
            self.tried.push(choice.worker);
            let limit = Duration::from_millis(self.call.remaining_ms().0);
            let sent = forward::send(&self.shared, &self.call, &choice, self.last_event);
            match timeout(limit, sent).await {
                Ok(Ok((reply, head, in_flight)))
                    if reply.head.status.is_success() && head.is_signed =>
                {
                    self.log(choice.worker, "resumed");
                    return Some(Source::new(choice, reply, in_flight));
                }
                Ok(Ok((reply, ..))) => {
                    forward::record_result(&self.shared, choice.worker, false);
                    let status = reply.head.status;
                    self.log(choice.worker, &format!("not resumed: {status}"));
                }
                Ok(Err(failed)) => self.log(choice.worker, &failed.reason),
                Err(_) => self.log(choice.worker, "out of time"),
            }
        }
        None
    }

    fn log(&self, worker: WorkerId, what: &str) {
        tracing::info!(
            request = self.call.head.request_id, route = self.call.route.name, %worker,
            events = self.events, longest_gap_ms = self.longest_gap_ms.0, last_event = self.last_event,
            after_ms = now().since(self.call.arrived_at_ms).0, what, "stream"
        );
    }
}
