//! The way to one other entry VM.

use {
    super::{
        Envelope, MAX_RESPONSE_BYTES, MessageError, PeerError, PeerKey, PeerRequest, PeerResponse,
        SealedRequest, SealedResponse, server::read_all,
    },
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

/// How long opening a connection may take.
const CONNECT_LIMIT: Millis = Millis(1_000);
/// How long an answer may take.
const ANSWER_LIMIT: Millis = Millis(2_000);
/// The wait after a first failure; it doubles with each further one.
const MIN_BACK_OFF_MS: DurationMs = DurationMs(250);
/// The longest wait after a failure.
const MAX_BACK_OFF_MS: DurationMs = DurationMs(8_000);

/// A link to one other entry VM. It keeps one connection and opens a new one when that fails or
/// goes silent. It belongs to one thread.
#[derive(Debug)]
pub struct PeerLink {
    address: SocketAddr,
    key: PeerKey,
    connection: RefCell<Option<Connection>>,
    failures: Cell<u32>,
    retry_at_ms: Cell<TimeMs>,
}

/// An open connection. What carries it ends when it is dropped, also when the other end has
/// gone silent.
#[derive(Debug)]
struct Connection {
    send: SendRequest<Bytes>,
    carrier: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.carrier.abort();
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
            failures: Cell::new(0),
            retry_at_ms: Cell::new(TimeMs::default()),
        }
    }

    /// The peer's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks the peer. When the kept connection fails or is silent, the ask is repeated once on a
    /// new one; asks are idempotent.
    ///
    /// # Errors
    ///
    /// Why there is no answer; [`PeerError::BackingOff`] when the peer wasn't asked.
    pub async fn call(
        &self,
        now: TimeMs,
        ask: &Envelope<PeerRequest>,
    ) -> Result<Envelope<PeerResponse>, Report<PeerError>> {
        if now < self.retry_at_ms.get() {
            return Err(Report::new(PeerError::BackingOff));
        }
        let sealed = SealedRequest::seal(&self.key, ask).map_err(PeerError::Answer)?;
        let asked = self.call_with_reconnect(&sealed.into(), ask.number).await;
        match &asked {
            Ok(_) => self.failures.set(0),
            Err(_) => self.back_off(now),
        }
        asked
    }

    async fn call_with_reconnect(
        &self,
        sealed: &Bytes,
        number: u64,
    ) -> Result<Envelope<PeerResponse>, Report<PeerError>> {
        let kept = self
            .connection
            .borrow()
            .as_ref()
            .map(|kept| kept.send.clone());
        if let Some(send) = kept {
            match self.call_on(send, sealed.clone(), number).await {
                Ok(answer) => return Ok(answer),
                Err(report) => {
                    tracing::debug!(address = %self.address, ?report, "trying a new connection");
                    self.connection.take();
                }
            }
        }
        let connection = self.connect().await?;
        let answer = self
            .call_on(connection.send.clone(), sealed.clone(), number)
            .await?;
        self.connection.replace(Some(connection));
        Ok(answer)
    }

    fn back_off(&self, now: TimeMs) {
        let doublings = self.failures.get().min(8);
        self.failures.set(self.failures.get().saturating_add(1));
        let wait = DurationMs(MIN_BACK_OFF_MS.0 << doublings).min(MAX_BACK_OFF_MS);
        self.retry_at_ms.set(now.after(wait));
    }

    async fn connect(&self) -> Result<Connection, Report<PeerError>> {
        let opening = async {
            let stream = TcpStream::connect(self.address)
                .await
                .change_context(PeerError::Connect)?;
            stream
                .set_nodelay(true)
                .change_context(PeerError::Connect)?;
            h2::client::handshake(stream)
                .await
                .change_context(PeerError::Connect)
        };
        let opened = timeout(CONNECT_LIMIT, opening).await;
        let opened = opened.map_err(|()| Report::new(PeerError::Connect))?;
        let (send, connection) = opened?;
        let address = self.address;
        let (carry, carrier) = abortable(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "a connection to a peer ended");
            }
        });
        ntex::rt::spawn(carry);
        Ok(Connection { send, carrier })
    }

    async fn call_on(
        &self,
        send: SendRequest<Bytes>,
        sealed: Bytes,
        number: u64,
    ) -> Result<Envelope<PeerResponse>, Report<PeerError>> {
        let exchange = exchange(send, self.address, sealed);
        let answered = timeout(ANSWER_LIMIT, exchange).await;
        let bytes = answered.map_err(|()| Report::new(PeerError::Timeout))??;
        let answer = SealedResponse::from(bytes)
            .open(&self.key)
            .map_err(PeerError::Answer)?;
        if answer.number != number {
            return Err(Report::new(PeerError::Answer(MessageError::Malformed)));
        }
        Ok(answer)
    }
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
