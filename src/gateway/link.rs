//! A pool of HTTP connections to other processes, with one request at a time on each.
//!
//! The pool never retries a request that was sent: the caller decides by the [`Verdict`] of the
//! failure. A connection returns to the pool only after a complete response.

use {
    crate::gateway::{
        clock::now,
        memory::{ByteCounter, CountedBuffer},
    },
    bytes::Bytes,
    cactusspur_core::{DurationMs, TimeMs, VecMap, Verdict},
    derive_more::{Display, Error},
    futures::future::{AbortHandle, abortable},
    http::{HeaderValue, Request, Response, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        body::{Body as _, Incoming},
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        cell::{Cell, RefCell},
        io::{self, ErrorKind, IoSlice},
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::timeout,
    },
};

/// The timeout for opening a connection. Round trips take a few milliseconds, and the system
/// retransmits a lost SYN packet only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a check waits for an answer to its connection attempt.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// How long sent data may remain unacknowledged before a connection counts as broken.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The longest time that a pooled connection may be idle. A server may close idle connections sooner
/// than it announces.
const MAX_IDLE_MS: DurationMs = DurationMs(2_500);
/// How long before the server's announced idle timeout a pooled connection is closed.
const IDLE_MARGIN_MS: DurationMs = DurationMs(1_000);
/// The largest head of a response.
const MAX_HEAD_BYTES: usize = 16_384;
/// The bytes that a server may send without completing a head or a piece of a body, as with chunk sizes
/// or informational heads that don't end.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 65_536;
/// The bytes that each response may buffer, however many others there are.
pub const MAX_UNSHARED_BUFFER_BYTES: usize = 65_536;
/// The bytes that all responses of a pool without another limit may buffer together beyond that.
pub const MAX_SHARED_BUFFER_BYTES: usize = 16 * 1_024 * 1_024;
/// The bytes that each response may buffer when all buffer twice what they may together.
const MAX_CROWDED_BUFFER_BYTES: usize = 4_096;

/// Why an exchange failed, and whether the request may have run.
#[derive(Clone, Debug, Display, Error)]
#[display("{reason} ({verdict})")]
pub struct ExchangeFailure {
    /// A description of the failure.
    pub reason: String,
    /// Whether the server may have run the request.
    pub verdict: Verdict,
    /// Whether no connection could be opened.
    pub is_unreachable: bool,
}

/// An open connection. Dropping it aborts the task that drives it, and the request in progress.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver_handle: AbortHandle,
    bytes_without_progress: Rc<Cell<usize>>,
}

impl Connection {
    /// The address of the server.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records that the server has completed a head or a piece of a body.
    pub fn record_progress(&self) {
        self.bytes_without_progress.set(0);
    }
}

/// A stream that fails when its peer sends too much without progress.
///
/// Its end is read only when what was to be written before it has been taken by the system: a peer that
/// closes the connection while it still has to read a request may be about to reset it.
struct MeteredStream {
    stream: TcpStream,
    bytes_without_progress: Rc<Cell<usize>>,
    writing: Writing,
    /// Whether the end of the stream waits to be read.
    has_ended: bool,
}

/// How the last write to a stream went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Writing {
    Done,
    Blocked,
    Failed,
}

impl MeteredStream {
    const fn new(stream: TcpStream, bytes_without_progress: Rc<Cell<usize>>) -> Self {
        Self {
            stream,
            bytes_without_progress,
            writing: Writing::Done,
            has_ended: false,
        }
    }

    /// Records how a write went. One that goes on lets the end of the stream be read.
    fn record_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &Context<'_>,
    ) -> Poll<io::Result<usize>> {
        self.writing = match &written {
            Poll::Ready(Ok(_)) => Writing::Done,
            Poll::Ready(Err(_)) => Writing::Failed,
            Poll::Pending => Writing::Blocked,
        };
        if self.has_ended && self.writing != Writing::Blocked {
            context.waker().wake_by_ref();
        }
        written
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let count = &this.bytes_without_progress;
        if count.get() > MAX_BYTES_WITHOUT_PROGRESS {
            let error = "too many bytes that complete nothing";
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, error)));
        }
        let length = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        let read_bytes = buffer.filled().len() - length;
        count.set(count.get() + read_bytes);
        let is_end = matches!(read, Poll::Ready(Ok(()))) && read_bytes == 0;
        match this.writing {
            Writing::Blocked if is_end => {
                this.has_ended = true;
                Poll::Pending
            }
            Writing::Failed if is_end => Poll::Ready(Err(ErrorKind::ConnectionReset.into())),
            _ => read,
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.record_write(written, context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.record_write(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver_handle.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at_ms: TimeMs,
}

/// A pool of connections for use on one thread. Clones share the same pool.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Rc<RefCell<VecMap<SocketAddr, Vec<IdleConnection>>>>,
    buffered: ByteCounter,
    max_shared_bytes: usize,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::with_limit(MAX_SHARED_BUFFER_BYTES)
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct UnreadResponse {
    /// The status and the headers.
    pub head: http::response::Parts,
    /// The unread body.
    pub body: Incoming,
    connection: Connection,
    keep_ms: DurationMs,
}

impl ConnectionPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty pool whose responses may buffer `max_shared_bytes` together, beyond what each may in any
    /// case.
    #[must_use]
    pub fn with_limit(max_shared_bytes: usize) -> Self {
        Self {
            idle: Rc::default(),
            buffered: ByteCounter::default(),
            max_shared_bytes,
        }
    }

    /// The bytes of response bodies that are in memory, until they are dropped.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.bytes()
    }

    /// Appends bytes to the body of a response.
    fn push(
        &self,
        buffer: &mut CountedBuffer,
        data: &[u8],
        max_bytes: usize,
    ) -> Result<(), String> {
        buffer.extend(data);
        let (length, total) = (buffer.len(), self.buffered.bytes());
        if length > max_bytes {
            return Err(format!("the response is longer than {max_bytes} bytes"));
        }
        let is_full = length > MAX_UNSHARED_BUFFER_BYTES && total > self.max_shared_bytes;
        let is_crowded = length > MAX_CROWDED_BUFFER_BYTES && total > 2 * self.max_shared_bytes;
        if is_full || is_crowded {
            return Err(format!(
                "no room for more than {length} bytes of the response"
            ));
        }
        Ok(())
    }

    /// Sends a request and waits for the head of the response. Dropping the future closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened or the connection breaks before the head is received.
    /// The failure says whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<UnreadResponse, ExchangeFailure> {
        let mut request = request;
        while let Some(mut connection) = self.checkout(address) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return UnreadResponse::open(response, connection),
                Err(mut error) => match error.take_message() {
                    // The connection was closed before any byte was written.
                    Some(unsent) => request = unsent,
                    None => return Err(may_have_run(&error.into_error())),
                },
            }
        }
        let mut connection = connect(address, Closing::Graceful).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => UnreadResponse::open(response, connection),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => ExchangeFailure {
                    reason: "the server closed a new connection at once".to_owned(),
                    verdict: Verdict::NotRun,
                    is_unreachable: true,
                },
                None => may_have_run(&error.into_error()),
            }),
        }
    }

    /// Sends a request and reads the whole response within `timeout_after`.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::send`] and [`UnreadResponse::read`] do, and if the time is exceeded.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        timeout_after: Duration,
    ) -> Result<(http::response::Parts, Bytes), ExchangeFailure> {
        let exchange = async {
            let response = self.send(address, request).await?;
            response.read(self, max_bytes).await
        };
        let exchanged = timeout(timeout_after, exchange).await;
        exchanged.unwrap_or_else(|_| Err(no_response(timeout_after)))
    }

    /// The same with a time limit for the head of the response and one for its body, which may be large.
    ///
    /// # Errors
    ///
    /// As [`Self::exchange`].
    pub async fn exchange_in_parts(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        head_within: Duration,
        body_within: Duration,
    ) -> Result<(http::response::Parts, Bytes), ExchangeFailure> {
        let response = timeout(head_within, self.send(address, request)).await;
        let response = response.unwrap_or_else(|_| Err(no_response(head_within)))?;
        let read = timeout(body_within, response.read(self, max_bytes)).await;
        read.unwrap_or_else(|_| Err(no_response(body_within)))
    }

    /// Returns a connection to the pool after a complete response.
    pub fn release(&self, returned: Connection, keep_ms: DurationMs) {
        if keep_ms == DurationMs(0) || returned.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_or_insert_with(returned.address, Vec::new);
        connections.push(IdleConnection {
            connection: returned,
            expires_at_ms: now().after(keep_ms),
        });
    }

    /// Closes pooled connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain(|idle| idle.expires_at_ms > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes all pooled connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn checkout(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = now();
        connections.retain(|idle| idle.expires_at_ms > now && !idle.connection.sender.is_closed());
        // The most recently used connection is the least likely to be closed by the server.
        let index = connections
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready())?;
        Some(connections.remove(index).connection)
    }
}

impl UnreadResponse {
    /// Takes a response whose head has arrived.
    ///
    /// # Errors
    ///
    /// When its status is none of an answer: no request asks for another protocol.
    fn open(response: Response<Incoming>, connection: Connection) -> Result<Self, ExchangeFailure> {
        let (head, body) = response.into_parts();
        if head.status.is_informational() {
            return Err(ExchangeFailure {
                reason: format!("the status {} is none of an answer", head.status),
                verdict: Verdict::MayHaveRun,
                is_unreachable: false,
            });
        }
        connection.record_progress();
        let keep_ms = keep_ms(&head);
        Ok(Self {
            head,
            body,
            connection,
            keep_ms,
        })
    }

    /// The address of the server.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.connection.address()
    }

    /// Whether the head tells the end of the body, by a length or chunks. With other codings than chunks the body
    /// ends with its connection, whatever its length (RFC 9112, section 6.3).
    #[must_use]
    pub fn is_framed(&self) -> bool {
        let headers = &self.head.headers;
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let has_length = || headers.contains_key(header::CONTENT_LENGTH);
        codings.next_back().map_or_else(has_length, is_chunked)
    }

    /// Whether the end of the body is known: it is framed, or there is none, as after a `HEAD` request.
    #[must_use]
    pub fn has_known_end(&self) -> bool {
        self.body.is_end_stream() || self.is_framed()
    }

    /// Reads the whole body, up to `max_bytes`, and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete or longer than `max_bytes`, or if it is long and too much is
    /// buffered for others. A success without a byte of a body that ends with its connection counts as incomplete.
    pub async fn read(
        self,
        pool: &ConnectionPool,
        max_bytes: usize,
    ) -> Result<(http::response::Parts, Bytes), ExchangeFailure> {
        let broken = |reason: String| ExchangeFailure {
            reason,
            verdict: Verdict::MayHaveRun,
            is_unreachable: false,
        };
        let has_known_end = self.has_known_end();
        let mut body = self.body;
        let mut buffer = pool.buffered.buffer();
        while let Some(frame) = body.frame().await {
            let frame =
                frame.map_err(|error| broken(format!("the response ended early: {error}")))?;
            self.connection.record_progress();
            if let Ok(data) = frame.into_data() {
                pool.push(&mut buffer, &data, max_bytes).map_err(broken)?;
            }
        }
        // Nothing tells the end of such an answer from that of its server.
        if !has_known_end && buffer.is_empty() && self.head.status.is_success() {
            return Err(broken(
                "the connection ended right after the head".to_owned(),
            ));
        }
        pool.release(self.connection, self.keep_ms);
        Ok((self.head, buffer.freeze()))
    }

    /// Splits the response into head, body, connection and keep time, for a body that is read as a
    /// stream. The caller returns the connection with [`ConnectionPool::release`] after a complete
    /// body, and drops it otherwise.
    pub fn into_parts(self) -> (http::response::Parts, Incoming, Connection, DurationMs) {
        (self.head, self.body, self.connection, self.keep_ms)
    }
}

/// Whether chunks are the last of some codings.
fn is_chunked(codings: &HeaderValue) -> bool {
    let codings = codings.to_str().unwrap_or_default();
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

/// Returns how long the connection of a response may be idle in the pool; zero if it must be closed.
fn keep_ms(head: &http::response::Parts) -> DurationMs {
    let is_closing = head
        .headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if is_closing {
        return DurationMs(0);
    }
    let keep_alive = head.headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let timeout_s = keep_alive.and_then(|value| {
        let mut parameters = value.split(',').map(str::trim);
        parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    timeout_s.map_or(MAX_IDLE_MS, |seconds| {
        DurationMs(seconds * 1_000)
            .saturating_sub(IDLE_MARGIN_MS)
            .min(MAX_IDLE_MS)
    })
}

/// A connection for a single exchange, which is reset when it is dropped. A system goes on sending what
/// was written to a connection that is closed, but not to one that is reset: nothing of a request that
/// was given up arrives later.
#[derive(Debug)]
pub struct ResetOnDrop(Connection);

impl ResetOnDrop {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn open(address: SocketAddr) -> Result<Self, ExchangeFailure> {
        connect(address, Closing::Reset).await.map(Self)
    }

    /// Sends the request and reads the whole response, of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before the response is complete, or the response is longer.
    pub async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<(http::response::Parts, Bytes), ExchangeFailure> {
        let response = self.0.sender.send_request(request).await;
        let (head, body) = response.map_err(|error| may_have_run(&error))?.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|error| ExchangeFailure {
            reason: format!("the response is incomplete or too long: {error}"),
            verdict: Verdict::MayHaveRun,
            is_unreachable: false,
        })?;
        Ok((head, body.to_bytes()))
    }
}

/// How a connection ends when it is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    /// What was written is still delivered.
    Graceful,
    /// What has not arrived yet is discarded.
    Reset,
}

async fn connect(address: SocketAddr, closing: Closing) -> Result<Connection, ExchangeFailure> {
    let unreachable = |reason: String| ExchangeFailure {
        reason,
        verdict: Verdict::NotRun,
        is_unreachable: true,
    };
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| unreachable("connection timed out".to_owned()))?
        .map_err(|error| unreachable(format!("failed to connect: {error}")))?;
    set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT);
    if closing == Closing::Reset {
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .map_err(|error| unreachable(format!("failed to set a socket option: {error}")))?;
    }
    let bytes_without_progress = Rc::new(Cell::new(0));
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(MeteredStream::new(
            stream,
            Rc::clone(&bytes_without_progress),
        )))
        .await;
    let (sender, driver) = handshake.map_err(|error| unreachable(error.to_string()))?;
    let (driver, driver_handle) = abortable(async move {
        if let Err(error) = driver.await {
            tracing::debug!(%address, %error, "a connection ended");
        }
    });
    ntex::rt::spawn(driver);
    Ok(Connection {
        address,
        sender,
        driver_handle,
        bytes_without_progress,
    })
}

/// Whether nothing listens at an address any more, as after the crash of a server.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let attempt = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(attempt, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Whether a server answers a request on a connection of its own, with any status.
pub async fn answers(address: SocketAddr, request: Request<Full<Bytes>>) -> bool {
    let answer = async {
        let mut connection = ResetOnDrop::open(address).await?;
        let sent = connection.0.sender.send_request(request).await;
        sent.map_err(|error| may_have_run(&error))
    };
    match answer.await {
        Ok(_) => true,
        Err(error) => {
            tracing::debug!(%address, %error, "a server gave no answer");
            false
        }
    }
}

/// Whether a server accepts a connection.
pub async fn accepts_connections(address: SocketAddr) -> bool {
    let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(attempt, Ok(Ok(_)))
}

/// Sets the socket options by which a connection detects that its peer is gone without a reset: within
/// `unacknowledged` while data is under way. A peer that acknowledges everything and reads nothing for as long
/// loses the connection, too.
pub fn set_socket_options(stream: &TcpStream, unacknowledged: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(unacknowledged)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = set {
        // The connection works without the option; the timeout of each exchange detects a silent
        // peer.
        tracing::debug!(%error, "failed to set a socket option");
    }
}

fn no_response(limit: Duration) -> ExchangeFailure {
    ExchangeFailure {
        reason: format!("no response within {} ms", limit.as_millis()),
        verdict: Verdict::MayHaveRun,
        is_unreachable: false,
    }
}

fn may_have_run(error: &hyper::Error) -> ExchangeFailure {
    ExchangeFailure {
        reason: format!("the connection broke: {error}"),
        verdict: Verdict::MayHaveRun,
        is_unreachable: false,
    }
}
