//! Takes other entry VMs' asks in.

use {
    super::{
        Envelope, MessageError, PeerError, PeerKey, PeerRequest, PeerResponse, SealedRequest,
        SealedResponse,
    },
    crate::peer::MAX_REQUEST_BYTES,
    bytes::{Bytes, BytesMut},
    error_stack::{Report, ResultExt},
    h2::{RecvStream, server::SendResponse},
    http::{Request, Response, StatusCode},
    ntex::time::{Millis, timeout},
    std::{
        cell::Cell,
        net::{SocketAddr, TcpListener as StdTcpListener},
        rc::Rc,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Connections at the most; further ones are closed at once.
pub const MAX_CONNECTIONS: usize = 1_024;
/// Asks that one connection may have open.
const MAX_STREAMS: u32 = 16;
/// How long the start of a connection may take.
const HANDSHAKE_LIMIT: Millis = Millis(2_000);
/// How long an ask may take to arrive.
const ASK_LIMIT: Millis = Millis(5_000);
/// How long a connection may be without an ask.
const IDLE_LIMIT: Millis = Millis(120_000);
/// How long to wait after the system refused to accept a connection.
const ACCEPT_BACK_OFF: Millis = Millis(100);
/// The largest list of headers.
const MAX_HEADER_BYTES: u32 = 4_096;

/// A running server on the peers' address. It stops when it is dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    _stop: watch::Sender<()>,
}

struct Shared<F> {
    key: PeerKey,
    answer: F,
    connections: Cell<usize>,
    stop: watch::Receiver<()>,
}

impl PeerServer {
    /// Binds the address and answers asks on this thread's runtime. `answer` is called with each
    /// ask that belongs.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn bind<F>(address: SocketAddr, key: PeerKey, answer: F) -> Result<Self, Report<PeerError>>
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
            key,
            answer,
            connections: Cell::new(0),
            stop: stopped,
        });
        ntex::rt::spawn(accept(listener, shared));
        Ok(Self {
            address,
            _stop: stop,
        })
    }

    /// The address that it is bound to.
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
            Ok((_, peer)) => tracing::warn!(%peer, "too many connections of peers"),
            Err(error) => {
                tracing::warn!(%error, "a peer's connection was not accepted");
                ntex::time::sleep(ACCEPT_BACK_OFF).await;
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
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES);
    let handshake = builder.handshake::<_, Bytes>(stream);
    let Ok(Ok(mut connection)) = timeout(HANDSHAKE_LIMIT, handshake).await else {
        tracing::debug!("not a peer's connection");
        return;
    };
    let mut stop = shared.stop.clone();
    loop {
        let next = tokio::select! {
            _ = stop.changed() => return,
            next = timeout(IDLE_LIMIT, connection.accept()) => next,
        };
        let Ok(Some(Ok((request, respond)))) = next else {
            return;
        };
        let shared = Rc::clone(shared);
        ntex::rt::spawn(async move { respond_to(request, respond, &shared).await });
    }
}

async fn respond_to<F>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: &Shared<F>,
) where
    F: Fn(Envelope<PeerRequest>) -> Envelope<PeerResponse>,
{
    let read = timeout(ASK_LIMIT, read_all(request.into_body(), MAX_REQUEST_BYTES)).await;
    let answered = match read {
        Ok(Ok(bytes)) => answer_to(bytes, shared),
        Ok(Err(error)) => Err(error),
        Err(()) => Err(MessageError::Malformed),
    };
    let (status, body) = match answered {
        Ok(answer) => (StatusCode::OK, answer.into()),
        Err(error) => {
            metrics::counter!("cactusspur_peer_messages_refused_total").increment(1);
            tracing::warn!(%error, "a peer's message was not taken in");
            (error.status(), Bytes::new())
        }
    };
    if let Err(error) = send(&mut respond, status, body) {
        tracing::debug!(%error, "a peer did not wait for its answer");
    }
}

fn answer_to<F>(bytes: Bytes, shared: &Shared<F>) -> Result<SealedResponse, MessageError>
where
    F: Fn(Envelope<PeerRequest>) -> Envelope<PeerResponse>,
{
    let ask = SealedRequest::from(bytes).open(&shared.key)?;
    let answer = (shared.answer)(ask);
    SealedResponse::seal(&shared.key, &answer)
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

/// Reads a whole body of `limit` bytes at the most.
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
