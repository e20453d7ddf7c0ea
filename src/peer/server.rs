//! Receives and answers requests of other entry VMs.

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

/// The most open connections; further ones are closed immediately.
pub const MAX_CONNECTIONS: usize = 1_024;
/// The most concurrent requests on one connection.
const MAX_CONCURRENT_REQUESTS: u32 = 16;
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

struct Shared<F> {
    key: PeerKey,
    answer: F,
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
    loop {
        let next = tokio::select! {
            _ = stop.changed() => return,
            next = timeout(IDLE_TIMEOUT, connection.accept()) => next,
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
    let read = timeout(
        REQUEST_TIMEOUT,
        read_all(request.into_body(), MAX_REQUEST_BYTES),
    )
    .await;
    let response = match read {
        Ok(Ok(bytes)) => response_to(bytes, shared),
        Ok(Err(error)) => Err(error),
        Err(()) => Err(MessageError::Malformed),
    };
    let (status, body) = match response {
        Ok(answer) => (StatusCode::OK, answer.into()),
        Err(error) => {
            metrics::counter!("cactusspur_peer_messages_refused_total").increment(1);
            tracing::warn!(%error, "rejected a peer's message");
            (error.status(), Bytes::new())
        }
    };
    if let Err(error) = send(&mut respond, status, body) {
        tracing::debug!(%error, "could not send the response to a peer");
    }
}

fn response_to<F>(bytes: Bytes, shared: &Shared<F>) -> Result<SealedResponse, MessageError>
where
    F: Fn(Envelope<PeerRequest>) -> Envelope<PeerResponse>,
{
    let request = SealedRequest::from(bytes).open(&shared.key)?;
    let answer = (shared.answer)(request);
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
