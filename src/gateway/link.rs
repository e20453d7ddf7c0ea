//! HTTP connections to other processes, one request at a time on each.
//!
//! The pool never sends a request again by itself: whoever sends decides by the [`Verdict`] of a
//! failure. A connection goes back into the pool only after a complete answer.

use {
    crate::gateway::clock::now,
    bytes::Bytes,
    cactusspur_core::{DurationMs, TimeMs, VecMap, Verdict},
    derive_more::{Display, Error},
    futures::future::{AbortHandle, abortable},
    http::{Request, Response, header},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// How long opening a connection may take. Round trips are a few milliseconds; a lost opening
/// packet would be sent again only after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged before a connection counts as broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a connection may be silent before it is probed.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);
/// The longest time that a kept connection may be idle. The other end may drop idle connections
/// sooner than it says.
const MAX_IDLE_MS: DurationMs = DurationMs(2_500);
/// How much earlier than the other end's own limit a kept connection is given up.
const IDLE_MARGIN_MS: DurationMs = DurationMs(1_000);
/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;

/// Why an exchange failed, and whether the request may have run.
#[derive(Clone, Debug, Display, Error)]
#[display("{reason} ({verdict})")]
pub struct ExchangeFailure {
    /// What happened.
    pub reason: String,
    /// Whether the other end may have run the request.
    pub verdict: Verdict,
    /// Whether no connection could be opened.
    pub is_unreachable: bool,
}

/// An open connection. What carries it ends when it is dropped, and with it the request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    send: SendRequest<Full<Bytes>>,
    carrier: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.carrier.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until_ms: TimeMs,
}

/// A pool of connections. Clones are handles of the same one; it belongs to one thread.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<VecMap<SocketAddr, Vec<Idle>>>>,
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct UnreadResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Incoming,
    connection: Connection,
    keep_ms: DurationMs,
}

impl ConnectionPool {
    /// An empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the head of its answer. Dropping the future breaks the
    /// connection off.
    ///
    /// # Errors
    ///
    /// Why there is no answer, and whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<UnreadResponse, ExchangeFailure> {
        let mut request = request;
        while let Some(mut connection) = self.take(address) {
            match connection.send.try_send_request(request).await {
                Ok(response) => return Ok(UnreadResponse::new(response, connection)),
                Err(mut error) => match error.take_message() {
                    // The connection had closed before anything was written.
                    Some(unsent) => request = unsent,
                    None => return Err(may_have_run(&error.into_error())),
                },
            }
        }
        let mut connection = connect(address).await?;
        match connection.send.try_send_request(request).await {
            Ok(response) => Ok(UnreadResponse::new(response, connection)),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => ExchangeFailure {
                    reason: "the connection closed at once".to_owned(),
                    verdict: Verdict::NotRun,
                    is_unreachable: true,
                },
                None => may_have_run(&error.into_error()),
            }),
        }
    }

    /// Sends a request and reads its whole answer, up to `max_bytes`, within a time.
    ///
    /// # Errors
    ///
    /// Why there is no whole answer, and whether the request may have run.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<(http::response::Parts, Bytes), ExchangeFailure> {
        let exchange = async {
            let reply = self.send(address, request).await?;
            reply.read(self, max_bytes).await
        };
        timeout(limit, exchange).await.unwrap_or_else(|_| {
            Err(ExchangeFailure {
                reason: format!("no answer within {} ms", limit.as_millis()),
                verdict: Verdict::MayHaveRun,
                is_unreachable: false,
            })
        })
    }

    /// Gives a connection back after a complete answer.
    pub fn release(&self, reply: Connection, keep_ms: DurationMs) {
        if keep_ms == DurationMs(0) || reply.send.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_or_insert_with(reply.address, Vec::new);
        kept.push(Idle {
            connection: reply,
            until_ms: now().after(keep_ms),
        });
    }

    /// Closes kept connections that have been idle for too long.
    pub fn expire(&self) {
        let now = now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.until_ms > now && !idle.connection.send.is_closed());
            !kept.is_empty()
        });
    }

    /// Closes all kept connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        let now = now();
        kept.retain(|idle| idle.until_ms > now && !idle.connection.send.is_closed());
        // The one that was used last is the least likely to be closed by the other end.
        let at = kept
            .iter()
            .rposition(|idle| idle.connection.send.is_ready())?;
        Some(kept.remove(at).connection)
    }
}

impl UnreadResponse {
    fn new(response: Response<Incoming>, connection: Connection) -> Self {
        let (head, body) = response.into_parts();
        let keep_ms = keep_ms(&head);
        Self {
            head,
            body,
            connection,
            keep_ms,
        }
    }

    /// Reads the whole body, up to `max_bytes`, and gives the connection back.
    ///
    /// # Errors
    ///
    /// When the body isn't complete or is longer.
    pub async fn read(
        self,
        pool: &ConnectionPool,
        max_bytes: usize,
    ) -> Result<(http::response::Parts, Bytes), ExchangeFailure> {
        let body = Limited::new(self.body, max_bytes).collect().await;
        let body = body.map_err(|error| {
            let reason = if error.is::<LengthLimitError>() {
                format!("the answer is longer than {max_bytes} bytes")
            } else {
                format!("the answer broke off: {error}")
            };
            ExchangeFailure {
                reason,
                verdict: Verdict::MayHaveRun,
                is_unreachable: false,
            }
        })?;
        pool.release(self.connection, self.keep_ms);
        Ok((self.head, body.to_bytes()))
    }

    /// The parts of an answer whose body is read piece by piece. The connection is given back
    /// with [`Links::give_back`] after a complete body, and dropped otherwise.
    pub fn into_parts(self) -> (http::response::Parts, Incoming, Connection, DurationMs) {
        (self.head, self.body, self.connection, self.keep_ms)
    }
}

/// How long a connection may be kept after this answer.
fn keep_ms(head: &http::response::Parts) -> DurationMs {
    let closes = head
        .headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return DurationMs(0);
    }
    let told = head.headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let told_s = told.and_then(|value| {
        let mut words = value.split(',').map(str::trim);
        words.find_map(|word| word.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    told_s.map_or(MAX_IDLE_MS, |seconds| {
        DurationMs(seconds * 1_000)
            .saturating_sub(IDLE_MARGIN_MS)
            .min(MAX_IDLE_MS)
    })
}

async fn connect(address: SocketAddr) -> Result<Connection, ExchangeFailure> {
    let unreachable = |reason: String| ExchangeFailure {
        reason,
        verdict: Verdict::NotRun,
        is_unreachable: true,
    };
    let opened = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    let stream = opened
        .map_err(|_| unreachable("opening a connection took too long".to_owned()))?
        .map_err(|error| unreachable(format!("no connection: {error}")))?;
    set_socket_options(&stream);
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (send, carry) = handshake.map_err(|error| unreachable(error.to_string()))?;
    let (carry, carrier) = abortable(async move {
        if let Err(error) = carry.await {
            tracing::debug!(%address, %error, "a connection ended");
        }
    });
    ntex::rt::spawn(carry);
    Ok(Connection {
        address,
        send,
        carrier,
    })
}

/// Sets what lets a connection notice that its other end has gone without a reset.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_AFTER)
        .with_retries(2);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = set {
        // The connection works without; silence is noticed by the limits of each exchange.
        tracing::debug!(%error, "an option of a connection could not be set");
    }
}

fn may_have_run(error: &hyper::Error) -> ExchangeFailure {
    ExchangeFailure {
        reason: format!("the connection broke: {error}"),
        verdict: Verdict::MayHaveRun,
        is_unreachable: false,
    }
}
