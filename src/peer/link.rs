//! The client side of the connection to one other entry VM.

use {
    super::{
        Envelope, MAX_RESPONSE_BYTES, MessageError, PeerError, PeerKey, PeerRequest, PeerResponse,
        SealedRequest, SealedResponse, server::read_all,
    },
    crate::gateway::link::{UNACKNOWLEDGED_TIMEOUT, set_socket_options},
    bytes::Bytes,
    cactusspur_core::{DurationMs, TimeMs},
    error_stack::{Report, ResultExt},
    futures::future::{AbortHandle, abortable},
    h2::client::SendRequest,
    http::{Method, Request, StatusCode},
    ntex::time::{Millis, timeout},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
    },
    tokio::net::TcpStream,
};

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Millis = Millis(1_000);
/// The time limit for a response.
const RESPONSE_TIMEOUT: Millis = Millis(2_000);
/// The backoff after the first failure; it doubles with each further one.
const MIN_BACKOFF_MS: DurationMs = DurationMs(250);
/// What a peer may send on one connection before it is read. A stream that is read slowly holds up to
/// 64 KiB of it.
pub(super) const CLIENT_WINDOW_BYTES: u32 = 4 * 1_024 * 1_024;
/// The longest backoff after a failure.
const MAX_BACKOFF_MS: DurationMs = DurationMs(8_000);

/// A link to one other entry VM. It keeps one connection and replaces it when it fails or stops
/// responding. For use on one thread.
#[derive(Debug)]
pub struct PeerLink {
    address: SocketAddr,
    key: PeerKey,
    connection: RefCell<Option<Connection>>,
    consecutive_failures: Cell<u32>,
    retry_at_ms: Cell<TimeMs>,
}

/// An open connection. Dropping it aborts the task that drives it, also when the peer no longer
/// responds.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) send: SendRequest<Bytes>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl PeerLink {
    /// A link to the peer at `address`. No connection is opened yet.
    #[must_use]
    pub fn new(address: SocketAddr, key: PeerKey) -> Self {
        Self {
            address,
            key,
            connection: RefCell::new(None),
            consecutive_failures: Cell::new(0),
            retry_at_ms: Cell::new(TimeMs::default()),
        }
    }

    /// The peer's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request to the peer and waits for the response. When the open connection fails or
    /// times out, the request is repeated once on a new one; requests are idempotent.
    ///
    /// # Errors
    ///
    /// The reason why there is no response; [`PeerError::BackingOff`] if the request wasn't sent.
    pub async fn call(
        &self,
        now: TimeMs,
        request: &Envelope<PeerRequest>,
    ) -> Result<Envelope<PeerResponse>, Report<PeerError>> {
        if now < self.retry_at_ms.get() {
            return Err(Report::new(PeerError::BackingOff));
        }
        let sealed = SealedRequest::seal(&self.key, request).map_err(PeerError::Answer)?;
        let result = self
            .call_with_reconnect(&sealed.into(), request.number)
            .await;
        match &result {
            Ok(_) => self.consecutive_failures.set(0),
            Err(_) => self.record_failure(now),
        }
        result
    }

    async fn call_with_reconnect(
        &self,
        sealed: &Bytes,
        number: u64,
    ) -> Result<Envelope<PeerResponse>, Report<PeerError>> {
        let open_connection = self
            .connection
            .borrow()
            .as_ref()
            .map(|open_connection| open_connection.send.clone());
        if let Some(send) = open_connection {
            match self.call_on(send, sealed.clone(), number).await {
                Ok(response) => return Ok(response),
                Err(report) => {
                    tracing::debug!(address = %self.address, ?report, "request failed; reconnecting");
                    self.connection.take();
                }
            }
        }
        let connection = connect(self.address, CLIENT_WINDOW_BYTES, CONNECT_TIMEOUT).await?;
        let response = self
            .call_on(connection.send.clone(), sealed.clone(), number)
            .await?;
        self.connection.replace(Some(connection));
        Ok(response)
    }

    fn record_failure(&self, now: TimeMs) {
        let doublings = self.consecutive_failures.get().min(8);
        self.consecutive_failures
            .set(self.consecutive_failures.get().saturating_add(1));
        let wait = DurationMs(MIN_BACKOFF_MS.0 << doublings).min(MAX_BACKOFF_MS);
        self.retry_at_ms.set(now.after(wait));
    }

    async fn call_on(
        &self,
        send: SendRequest<Bytes>,
        sealed: Bytes,
        number: u64,
    ) -> Result<Envelope<PeerResponse>, Report<PeerError>> {
        let exchange = exchange(send, self.address, sealed);
        let received = timeout(RESPONSE_TIMEOUT, exchange).await;
        let bytes = received.map_err(|()| Report::new(PeerError::Timeout))??;
        let response = SealedResponse::from(bytes)
            .open(&self.key)
            .map_err(PeerError::Answer)?;
        if response.number != number {
            return Err(Report::new(PeerError::Answer(MessageError::Malformed)));
        }
        Ok(response)
    }
}

/// Opens a connection on which the peer may send `window_bytes` before they are read.
pub(super) async fn connect(
    address: SocketAddr,
    window_bytes: u32,
    limit: Millis,
) -> Result<Connection, Report<PeerError>> {
    let connecting = async {
        let stream = TcpStream::connect(address)
            .await
            .change_context(PeerError::Connect)?;
        set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT);
        let mut builder = h2::client::Builder::new();
        builder.initial_connection_window_size(window_bytes);
        builder
            .handshake(stream)
            .await
            .change_context(PeerError::Connect)
    };
    let connected = timeout(limit, connecting).await;
    let connected = connected.map_err(|()| Report::new(PeerError::Connect))?;
    let (send, connection) = connected?;
    let (drive, driver) = abortable(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection to a peer ended with an error");
        }
    });
    ntex::rt::spawn(drive);
    Ok(Connection { send, driver })
}

async fn exchange(
    send: SendRequest<Bytes>,
    address: SocketAddr,
    sealed: Bytes,
) -> Result<Bytes, Report<PeerError>> {
    let mut send = send.ready().await.change_context(PeerError::Broken)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/"))
        .body(())
        .change_context(PeerError::Broken)?;
    let (response, mut stream) = send
        .send_request(request, false)
        .change_context(PeerError::Broken)?;
    stream
        .send_data(sealed, true)
        .change_context(PeerError::Broken)?;
    let response = response.await.change_context(PeerError::Broken)?;
    if response.status() != StatusCode::OK {
        let status = response.status().as_u16();
        return Err(Report::new(PeerError::Refused { status }));
    }
    let body = read_all(response.into_body(), MAX_RESPONSE_BYTES).await;
    Ok(body.map_err(PeerError::Answer)?)
}
