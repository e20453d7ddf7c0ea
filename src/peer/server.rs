//! Receives and answers requests of other entry VMs.

use {
    super::{
        Envelope, KeyRing, MessageError, NotTaken, PassedAnswer, PassedRequest, PeerError, PeerKey,
        PeerRequest, PeerResponse, SealedRequest, SealedResponse,
        passing::{FramedBody, INCOMPLETE, PASSED_PATH, frame},
    },
    crate::{gateway::response::ResponseBody, peer::MAX_REQUEST_BYTES},
    bytes::{Bytes, BytesMut},
    error_stack::{Report, ResultExt},
    futures::future::LocalBoxFuture,
    h2::{Reason, RecvStream, SendStream, server::SendResponse},
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode},
    http_body_util::BodyExt,
    ntex::time::{Millis, timeout},
    std::{
        cell::Cell,
        future::poll_fn,
        net::{SocketAddr, TcpListener as StdTcpListener},
        rc::Rc,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
    },
};

/// The most open connections; further ones are closed immediately.
pub const MAX_CONNECTIONS: usize = 1_024;
/// The most concurrent requests on one connection.
const MAX_CONCURRENT_REQUESTS: u32 = 256;
/// The messages and heads that are read from one connection at a time.
const MAX_CONCURRENT_READS: usize = 16;
/// The requests that are passed on by peers and in progress at a time.
const MAX_TAKEN_REQUESTS: usize = 256;
/// The bytes of their bodies together.
const MAX_TAKEN_BYTES: usize = 16 * 1_024 * 1_024;
/// The time limit for the HTTP/2 handshake of a connection.
const HANDSHAKE_TIMEOUT: Millis = Millis(2_000);
/// The time limit for receiving a request.
const REQUEST_TIMEOUT: Millis = Millis(5_000);
/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Millis = Millis(120_000);
/// The delay after accepting a connection failed.
const ACCEPT_BACKOFF: Millis = Millis(100);
/// The maximum size of a request's header list.
const MAX_HEADER_BYTES: u32 = 4_096;

/// A running server on the peers' address. It stops when it is dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    _stop: watch::Sender<()>,
}

/// Serves a request that a peer passes on.
pub type ServePassed = dyn Fn(PassedRequest, Bytes) -> LocalBoxFuture<'static, TakenRequest>;

/// Takes requests that peers pass on.
pub struct Taker {
    /// What requests in progress hold.
    pub taken: Rc<Taken>,
    /// Serves a request.
    pub serve: Box<ServePassed>,
}

/// The answer to a request that a peer passed on, and its body.
#[derive(Debug)]
pub struct TakenRequest {
    /// The head.
    pub answer: PassedAnswer,
    /// The body; `None` if there is none.
    pub body: Option<ResponseBody>,
}

impl From<NotTaken> for TakenRequest {
    fn from(reason: NotTaken) -> Self {
        Self {
            answer: PassedAnswer::NotTaken(reason),
            body: None,
        }
    }
}

/// What requests in progress that peers passed on hold.
#[derive(Debug, Default)]
pub struct Taken {
    requests: Cell<usize>,
    bytes: Cell<usize>,
}

impl Taken {
    /// The number of the requests.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.get()
    }
}

/// The share of one request in [`Taken`].
struct TakenShare {
    taken: Rc<Taken>,
    bytes: usize,
}

impl TakenShare {
    /// The share of a request with a body of `bytes`, if there is room.
    fn claim(taken: &Rc<Taken>, bytes: usize) -> Option<Self> {
        let all_bytes = taken.bytes.get().saturating_add(bytes);
        if taken.requests.get() >= MAX_TAKEN_REQUESTS || all_bytes > MAX_TAKEN_BYTES {
            return None;
        }
        taken.requests.set(taken.requests.get() + 1);
        taken.bytes.set(all_bytes);
        Some(Self {
            taken: Rc::clone(taken),
            bytes,
        })
    }
}

impl Drop for TakenShare {
    fn drop(&mut self) {
        self.taken.requests.set(self.taken.requests.get() - 1);
        self.taken.bytes.set(self.taken.bytes.get() - self.bytes);
    }
}

struct Shared<F> {
    keys: KeyRing,
    answer: F,
    taker: Option<Taker>,
    connections: Cell<usize>,
    stop: watch::Receiver<()>,
}

impl PeerServer {
    /// Binds the address and answers requests on this thread's runtime. `answer` is called for each
    /// authenticated request.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn bind<F>(address: SocketAddr, key: PeerKey, answer: F) -> Result<Self, Report<PeerError>>
    where
        F: Fn(Envelope<PeerRequest>) -> Envelope<PeerResponse> + 'static,
    {
        Self::bind_taking(address, key.into(), answer, None)
    }

    /// Does the same with any of some keys, and serves the requests of callers that peers pass on.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn bind_taking<F>(
        address: SocketAddr,
        keys: KeyRing,
        answer: F,
        taker: Option<Taker>,
    ) -> Result<Self, Report<PeerError>>
    where
        F: Fn(Envelope<PeerRequest>) -> Envelope<PeerResponse> + 'static,
    {
        let listener = StdTcpListener::bind(address)
            .change_context(PeerError::Bind)
            .attach(address)?;
        listener
            .set_nonblocking(true)
            .change_context(PeerError::Bind)?;
        let listener = TcpListener::from_std(listener).change_context(PeerError::Bind)?;
        let address = listener.local_addr().change_context(PeerError::Bind)?;
        let (stop, stopped) = watch::channel(());
        let shared = Rc::new(Shared {
            keys,
            answer,
            taker,
            connections: Cell::new(0),
            stop: stopped,
        });
        ntex::rt::spawn(accept(listener, shared));
        Ok(Self {
            address,
            _stop: stop,
        })
    }

    /// The address that was bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<F>(listener: TcpListener, shared: Rc<Shared<F>>)
where
    F: Fn(Envelope<PeerRequest>) -> Envelope<PeerResponse> + 'static,
{
    let mut stop = shared.stop.clone();
    loop {
        let accepted = tokio::select! {
            _ = stop.changed() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) if shared.connections.get() < MAX_CONNECTIONS => {
                shared.connections.set(shared.connections.get() + 1);
                let shared = Rc::clone(&shared);
                ntex::rt::spawn(async move {
                    serve(stream, &shared).await;
                    shared.connections.set(shared.connections.get() - 1);
                });
            }
            Ok((_, peer)) => tracing::warn!(%peer, "too many peer connections; closing a new one"),
            Err(error) => {
                tracing::warn!(%error, "could not accept a peer's connection");
                ntex::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve<F>(stream: TcpStream, shared: &Rc<Shared<F>>)
where
    F: Fn(Envelope<PeerRequest>) -> Envelope<PeerResponse> + 'static,
{
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_CONCURRENT_REQUESTS)
        .max_header_list_size(MAX_HEADER_BYTES);
    let handshake = builder.handshake::<_, Bytes>(stream);
    let Ok(Ok(mut connection)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        tracing::debug!("HTTP/2 handshake with a peer failed");
        return;
    };
    let mut stop = shared.stop.clone();
    let reads = Rc::new(Semaphore::new(MAX_CONCURRENT_READS));
    loop {
        let next = tokio::select! {
            _ = stop.changed() => return,
            next = timeout(IDLE_TIMEOUT, connection.accept()) => next,
        };
        let Ok(Some(Ok((request, respond)))) = next else {
            return;
        };
        let shared = Rc::clone(shared);
        let reads = Rc::clone(&reads);
        ntex::rt::spawn(async move {
            if request.uri().path() == PASSED_PATH {
                take_request(request, respond, &shared, &reads).await;
            } else {
                respond_to(request, respond, &shared, &reads).await;
            }
        });
    }
}

async fn respond_to<F>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: &Shared<F>,
    reads: &Semaphore,
) where
    F: Fn(Envelope<PeerRequest>) -> Envelope<PeerResponse>,
{
    let reading = reads.acquire().await;
    let read = timeout(
        REQUEST_TIMEOUT,
        read_all(request.into_body(), MAX_REQUEST_BYTES),
    )
    .await;
    drop(reading);
    let response = match read {
        Ok(Ok(bytes)) => response_to(bytes, shared),
        Ok(Err(error)) => Err(error),
        Err(()) => Err(MessageError::Malformed),
    };
    let (status, body) = match response {
        Ok(answer) => (StatusCode::OK, answer.into()),
        Err(error) => {
            record_rejected(error);
            (error.status(), Bytes::new())
        }
    };
    if let Err(error) = send(&mut respond, status, body) {
        tracing::debug!(%error, "could not send the response to a peer");
    }
}

fn record_rejected(error: MessageError) {
    metrics::counter!("cactusspur_peer_messages_refused_total").increment(1);
    tracing::warn!(%error, "rejected a peer's message");
}

/// Serves a request that a peer passes on, until it is answered or the peer cancels it.
async fn take_request<F>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: &Shared<F>,
    reads: &Semaphore,
) {
    let Some(taker) = &shared.taker else {
        tracing::warn!("a peer passed a request on to a process that takes none");
        if let Err(error) = send(&mut respond, StatusCode::NOT_FOUND, Bytes::new()) {
            tracing::debug!(%error, "could not send the response to a peer");
        }
        return;
    };
    let read = read_passed(request.into_body(), &shared.keys, &taker.taken, reads).await;
    let (read, key) = match read {
        Ok(read) => read,
        Err(error) => {
            record_rejected(error);
            if let Err(error) = send(&mut respond, error.status(), Bytes::new()) {
                tracing::debug!(%error, "could not send the response to a peer");
            }
            return;
        }
    };
    // Tells the peer at once that the request has arrived.
    let mut stream = match respond.send_response(Response::new(()), false) {
        Ok(stream) => stream,
        Err(error) => {
            tracing::debug!(%error, "could not answer a request that a peer passed on");
            return;
        }
    };
    let (envelope, served, _share) = match read {
        Err((envelope, reason)) => (envelope, reason.into(), None),
        Ok((envelope, body, share)) => tokio::select! {
            // A request that was cancelled while this process was frozen isn't begun.
            biased;
            _ = poll_fn(|context| stream.poll_reset(context)) => {
                tracing::debug!("a peer cancelled a request that it passed on");
                return;
            }
            served = (taker.serve)(envelope.message.clone(), body) => (envelope, served, Some(share)),
        },
    };
    if let Err(error) = answer_taken(&mut stream, &key, &envelope, served).await {
        tracing::debug!(%error, "could not answer a request that a peer passed on");
    }
}

/// A request that a peer passes on with its body and its share in what is taken, or why it isn't taken.
type ReadPassed =
    Result<(Envelope<PassedRequest>, Bytes, TakenShare), (Envelope<PassedRequest>, NotTaken)>;

async fn read_passed(
    body: RecvStream,
    keys: &KeyRing,
    taken: &Rc<Taken>,
    reads: &Semaphore,
) -> Result<(ReadPassed, Rc<PeerKey>), MessageError> {
    let reading = reads.acquire().await;
    let mut body = FramedBody::new(body);
    let head = timeout(REQUEST_TIMEOUT, body.read_sealed_head()).await;
    let head = head.map_err(|()| MessageError::Malformed)??;
    let (envelope, key): (Envelope<PassedRequest>, _) = keys.open(|key| head.open(key))?;
    drop(reading);
    let length = envelope.message.body_bytes;
    let Some(share) = TakenShare::claim(taken, length) else {
        return Ok((Err((envelope, NotTaken::Full)), key));
    };
    let rest = timeout(REQUEST_TIMEOUT, body.read_rest(length)).await;
    let rest = rest.map_err(|()| MessageError::Malformed)??;
    if *blake3::hash(&rest).as_bytes() != envelope.message.body_hash {
        return Err(MessageError::Key);
    }
    Ok((Ok((envelope, rest, share)), key))
}

/// Sends the answer to a request that a peer passed on. Drops the body when the peer cancels the request.
async fn answer_taken(
    stream: &mut SendStream<Bytes>,
    key: &PeerKey,
    request: &Envelope<PassedRequest>,
    served: TakenRequest,
) -> Result<(), h2::Error> {
    let answer = Envelope {
        from: request.from,
        incarnation: request.incarnation,
        number: request.number,
        sent_at: request.sent_at,
        message: served.answer,
    };
    let head = match frame(key, &answer) {
        Ok(head) => head,
        Err(error) => {
            tracing::warn!(%error, "could not encode the answer to a peer's request");
            stream.send_reset(Reason::INTERNAL_ERROR);
            return Ok(());
        }
    };
    let Some(mut body) = served.body else {
        return stream.send_data(head, true);
    };
    stream.send_data(head, false)?;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            reset = poll_fn(|context| stream.poll_reset(context)) => {
                tracing::debug!(?reset, "a peer cancelled a request that it passed on");
                return Ok(());
            }
        };
        match frame {
            None => return stream.send_data(Bytes::new(), true),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    send_all(stream, bytes).await?;
                }
            }
            Some(Err(error)) => {
                tracing::debug!(%error, "the answer to a peer's request is incomplete");
                let mut trailers = HeaderMap::new();
                trailers.insert(INCOMPLETE, HeaderValue::from_static("1"));
                return stream.send_trailers(trailers);
            }
        }
    }
}

/// Sends bytes as fast as the peer reads them.
async fn send_all(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let granted = poll_fn(|context| stream.poll_capacity(context)).await;
        let granted = granted.unwrap_or_else(|| Err(Reason::CANCEL.into()))?;
        let now = bytes.split_to(granted.min(bytes.len()));
        stream.send_data(now, false)?;
    }
    Ok(())
}

fn response_to<F>(bytes: Bytes, shared: &Shared<F>) -> Result<SealedResponse, MessageError>
where
    F: Fn(Envelope<PeerRequest>) -> Envelope<PeerResponse>,
{
    let sealed = SealedRequest::from(bytes);
    let (request, key) = shared.keys.open(|key| sealed.open(key))?;
    let answer = (shared.answer)(request);
    SealedResponse::seal(&key, &answer)
}

fn send(
    respond: &mut SendResponse<Bytes>,
    status: StatusCode,
    body: Bytes,
) -> Result<(), h2::Error> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    let mut stream = respond.send_response(head, body.is_empty())?;
    if body.is_empty() {
        return Ok(());
    }
    stream.send_data(body, true)
}

/// Reads a whole body of up to `limit` bytes.
pub(super) async fn read_all(mut body: RecvStream, limit: usize) -> Result<Bytes, MessageError> {
    let mut all = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(|_| MessageError::Malformed)?;
        if all.len() + part.len() > limit {
            return Err(MessageError::Size);
        }
        all.extend_from_slice(&part);
        let released = body.flow_control().release_capacity(part.len());
        released.map_err(|_| MessageError::Malformed)?;
    }
    Ok(all.freeze())
}
