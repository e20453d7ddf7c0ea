//! Passing a caller's request on to another entry VM, which answers it with a stream.
//!
//! Request and response each begin with a sealed head, after four bytes with its length. The bytes that
//! follow are the body as it is. The head of a request holds the hash of its body.

use {
    super::{
        Envelope, MessageError, PeerKey,
        link::{CLIENT_WINDOW_BYTES, Connection, connect},
        message::{Message, Sealed},
    },
    bytes::{Buf, BufMut, Bytes, BytesMut},
    cactusspur_core::{DurationMs, Verdict},
    derive_more::{Display, Error},
    h2::{
        Reason, RecvStream,
        client::{ResponseFuture, SendRequest},
    },
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode},
    ntex::time::{Millis, timeout},
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::Mutex,
};

/// The path of requests that are passed on.
pub(super) const PASSED_PATH: &str = "/passed";
/// The trailer of a body that is incomplete. Unlike a reset, it doesn't overtake what was sent before.
pub(super) const INCOMPLETE: HeaderName = HeaderName::from_static("incomplete");
/// The largest sealed head.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// The bytes before a sealed head, which hold its length.
const LENGTH_BYTES: usize = 4;
/// The time limit for opening a connection, or for room for one more request on an open one.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// The head of a request that is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedRequest {
    /// The method.
    pub method: String,
    /// The path and the query.
    pub target: String,
    /// The headers, as the caller sent them.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The time that is left for the whole answer.
    pub answer_in_ms: DurationMs,
    /// The time after which the caller stops waiting.
    pub caller_waits_ms: DurationMs,
    /// The attempts that were made to have it served.
    pub attempts: usize,
    /// The random number that draws the service among the splits of the route.
    pub random: u64,
    /// The length of the body.
    pub body_bytes: usize,
    /// The hash of the body.
    pub body_hash: [u8; blake3::OUT_LEN],
}

/// Why an entry VM doesn't take a request that is passed on to it. It has not run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum NotTaken {
    /// It has no configuration.
    #[display("it is not ready")]
    NotReady,
    /// It may end before the request does.
    #[display("it shuts down")]
    ShuttingDown,
    /// It doesn't reach the servers of the service either.
    #[display("it does not reach the servers either")]
    OutOfReach,
    /// The request can't be decoded.
    #[display("it could not decode the request")]
    Malformed,
    /// It has taken as many requests as it may.
    #[display("it has no room")]
    Full,
}

/// The head of the answer to a request that was passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PassedAnswer {
    /// The request was not taken and has not run.
    NotTaken(NotTaken),
    /// The answer to the caller, whose body follows.
    Answer {
        /// The status.
        status: u16,
        /// The headers.
        headers: Vec<(String, Vec<u8>)>,
        /// The length of the body; `None` for a stream.
        body_bytes: Option<usize>,
    },
}

/// The head of a request that is passed on, in the sealed format.
pub type SealedPassedRequest = Sealed<PassedRequest>;
/// The head of its answer in the sealed format.
pub type SealedPassedAnswer = Sealed<PassedAnswer>;

impl Message for PassedRequest {
    const MAX_BYTES: usize = MAX_HEAD_BYTES;

    fn key(key: &PeerKey) -> &[u8; blake3::KEY_LEN] {
        key.passed_request()
    }
}

impl Message for PassedAnswer {
    const MAX_BYTES: usize = MAX_HEAD_BYTES;

    fn key(key: &PeerKey) -> &[u8; blake3::KEY_LEN] {
        key.passed_answer()
    }
}

/// Headers in the form of messages.
#[must_use]
pub fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let rows = headers.iter();
    rows.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Headers from the form of messages. `None` if one is invalid.
#[must_use]
pub fn decode_headers(rows: &[(String, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(rows.len());
    for (name, value) in rows {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

/// Seals a head and puts its length before it.
pub(super) fn frame<M>(key: &PeerKey, envelope: &Envelope<M>) -> Result<Bytes, MessageError>
where
    M: Message,
{
    let sealed: Bytes = Sealed::seal(key, envelope)?.into();
    let length = u32::try_from(sealed.len()).map_err(|_| MessageError::Size)?;
    let mut framed = BytesMut::with_capacity(LENGTH_BYTES + sealed.len());
    framed.put_u32(length);
    framed.put_slice(&sealed);
    Ok(framed.freeze())
}

/// A body that begins with a sealed head.
#[derive(Debug)]
pub struct FramedBody {
    stream: RecvStream,
    /// Bytes that were received and not read.
    received: BytesMut,
}

impl FramedBody {
    pub(super) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
        }
    }

    /// Reads the head.
    pub(super) async fn read_head<M>(&mut self, key: &PeerKey) -> Result<Envelope<M>, MessageError>
    where
        M: Message,
    {
        self.read_sealed_head().await?.open(key)
    }

    /// Reads the head and doesn't open it.
    pub(super) async fn read_sealed_head<M>(&mut self) -> Result<Sealed<M>, MessageError>
    where
        M: Message,
    {
        self.fill(LENGTH_BYTES).await?;
        let length = self.received.get_u32();
        let length = usize::try_from(length).map_err(|_| MessageError::Size)?;
        if length > M::MAX_BYTES {
            return Err(MessageError::Size);
        }
        self.fill(length).await?;
        Ok(Sealed::from(self.received.split_to(length).freeze()))
    }

    /// Reads the rest of the body, which must have the given length.
    ///
    /// # Errors
    ///
    /// When it ends early or is longer.
    pub async fn read_rest(mut self, length: usize) -> Result<Bytes, MessageError> {
        self.fill(length).await?;
        let body = self.received.split().freeze();
        let mut is_longer = body.len() > length;
        // The end may come with an empty piece.
        while let Some(more) = self.next().await? {
            is_longer |= !more.is_empty();
        }
        if is_longer {
            return Err(MessageError::Size);
        }
        Ok(body)
    }

    /// The next bytes of the body; `None` at its end. The sender may send more only after this call.
    ///
    /// # Errors
    ///
    /// When it ends early.
    pub async fn next(&mut self) -> Result<Option<Bytes>, MessageError> {
        if !self.received.is_empty() {
            return Ok(Some(self.received.split().freeze()));
        }
        match self.stream.data().await {
            None if self.is_incomplete().await => Err(MessageError::Malformed),
            None => Ok(None),
            Some(Ok(bytes)) => {
                let released = self.stream.flow_control().release_capacity(bytes.len());
                released.map_err(|_| MessageError::Malformed)?;
                Ok(Some(bytes))
            }
            Some(Err(error)) => {
                tracing::debug!(%error, "a body from a peer ended early");
                Err(MessageError::Malformed)
            }
        }
    }

    /// Whether the sender says that the body is incomplete, or its end doesn't arrive.
    async fn is_incomplete(&mut self) -> bool {
        let trailers = self.stream.trailers().await;
        trailers.map_or(true, |trailers| {
            trailers.is_some_and(|trailers| trailers.contains_key(INCOMPLETE))
        })
    }

    async fn fill(&mut self, length: usize) -> Result<(), MessageError> {
        while self.received.len() < length {
            let more = self.stream.data().await;
            let more = more.and_then(Result::ok).ok_or(MessageError::Malformed)?;
            self.received.extend_from_slice(&more);
            let released = self.stream.flow_control().release_capacity(more.len());
            released.map_err(|_| MessageError::Malformed)?;
        }
        Ok(())
    }
}

/// Why a request that was passed on has no answer.
#[derive(Clone, Debug, Display, Error)]
#[display("{reason} ({verdict})")]
pub struct PassFailure {
    /// A description of the failure.
    pub reason: String,
    /// Whether the peer may have run the request.
    pub verdict: Verdict,
}

fn unsent(reason: &str) -> PassFailure {
    PassFailure {
        reason: reason.to_owned(),
        verdict: Verdict::NotRun,
    }
}

/// A link for requests that are passed on to one other entry VM, for use on one thread. It keeps one
/// connection and never repeats a request.
#[derive(Debug)]
pub struct PassLink {
    address: SocketAddr,
    key: PeerKey,
    connection: RefCell<Option<Rc<Connection>>>,
    connecting: Mutex<()>,
    connect_failures: Cell<u64>,
}

/// A request that was passed on. Dropping it cancels the request.
#[derive(Debug)]
pub struct SentRequest {
    number: u64,
    key: PeerKey,
    response: ResponseFuture,
    taken: Option<Response<RecvStream>>,
    connection: Rc<Connection>,
}

impl SentRequest {
    /// Waits until the peer says that the request has arrived.
    ///
    /// # Errors
    ///
    /// When it is rejected or the exchange fails. The failure says whether the request may have run.
    pub async fn taken(&mut self) -> Result<(), PassFailure> {
        if self.taken.is_some() {
            return Ok(());
        }
        let response = (&mut self.response).await;
        let response = response.map_err(|error| failed(&error))?;
        if response.status() != StatusCode::OK {
            return Err(unsent(&format!(
                "the peer rejected it with status {}",
                response.status()
            )));
        }
        self.taken = Some(response);
        Ok(())
    }

    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// When there is no answer. The failure says whether the request may have run.
    pub async fn answer(mut self) -> Result<PassedResponse, PassFailure> {
        self.taken().await?;
        let incomplete = |reason: &str| PassFailure {
            reason: reason.to_owned(),
            verdict: Verdict::MayHaveRun,
        };
        let response = self.taken.ok_or_else(|| incomplete("no answer"))?;
        let mut body = FramedBody::new(response.into_body());
        let answer = body.read_head(&self.key).await;
        let answer: Envelope<PassedAnswer> =
            answer.map_err(|error| incomplete(&error.to_string()))?;
        if answer.number != self.number {
            return Err(incomplete("the answer belongs to another request"));
        }
        Ok(PassedResponse {
            answer: answer.message,
            body: PassedBody {
                body,
                _connection: self.connection,
            },
        })
    }
}

/// The answer to a request that was passed on.
#[derive(Debug)]
pub struct PassedResponse {
    /// The head.
    pub answer: PassedAnswer,
    /// The body of an [`PassedAnswer::Answer`]. Dropping it cancels the request.
    pub body: PassedBody,
}

/// The body of an answer, which keeps its connection open.
#[derive(Debug)]
pub struct PassedBody {
    body: FramedBody,
    _connection: Rc<Connection>,
}

impl PassedBody {
    /// See [`FramedBody::next`].
    ///
    /// # Errors
    ///
    /// When the body ends early.
    pub async fn next(&mut self) -> Result<Option<Bytes>, MessageError> {
        self.body.next().await
    }

    /// See [`FramedBody::read_rest`].
    ///
    /// # Errors
    ///
    /// When the body ends early or is longer.
    pub async fn read_rest(self, length: usize) -> Result<Bytes, MessageError> {
        self.body.read_rest(length).await
    }
}

impl PassLink {
    /// A link to the peer at `address`. No connection is opened yet.
    #[must_use]
    pub fn new(address: SocketAddr, key: PeerKey) -> Self {
        Self {
            address,
            key,
            connection: RefCell::new(None),
            connecting: Mutex::new(()),
            connect_failures: Cell::new(0),
        }
    }

    /// Sends a request. What it returns waits for the answer.
    ///
    /// # Errors
    ///
    /// When it can't be sent. The failure says whether the request may have run.
    pub async fn send(
        &self,
        request: &Envelope<PassedRequest>,
        body: Bytes,
    ) -> Result<SentRequest, PassFailure> {
        let head = frame(&self.key, request).map_err(|error| unsent(&error.to_string()))?;
        let (connection, mut requests) = self.ready().await?;
        let http_request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{PASSED_PATH}", self.address))
            .body(())
            .map_err(|error| unsent(&error.to_string()))?;
        let begun = requests.send_request(http_request, false);
        let (response, mut stream) = begun.map_err(|error| unsent(&error.to_string()))?;
        let is_empty = body.is_empty();
        stream
            .send_data(head, is_empty)
            .map_err(|error| failed(&error))?;
        if !is_empty {
            stream
                .send_data(body, true)
                .map_err(|error| failed(&error))?;
        }
        Ok(SentRequest {
            number: request.number,
            key: self.key.clone(),
            response,
            taken: None,
            connection,
        })
    }

    /// A connection with room for one more request.
    async fn ready(&self) -> Result<(Rc<Connection>, SendRequest<Bytes>), PassFailure> {
        let failures = self.connect_failures.get();
        let _connecting = self.connecting.lock().await;
        if self.connect_failures.get() != failures {
            return Err(unsent("another request just failed to connect to the peer"));
        }
        let open = self.connection.borrow().clone();
        if let Some(connection) = open {
            let ready = timeout(CONNECT_TIMEOUT, connection.send.clone().ready()).await;
            if let Ok(Ok(send)) = ready {
                return Ok((connection, send));
            }
            // Requests in progress keep it open.
            self.connection.take();
        }
        let connecting = connect(self.address, CLIENT_WINDOW_BYTES, CONNECT_TIMEOUT).await;
        let connection = connecting.map_err(|report| {
            self.connect_failures.set(failures + 1);
            unsent(&report.to_string())
        })?;
        let connection = Rc::new(connection);
        let send = connection.send.clone();
        self.connection.replace(Some(Rc::clone(&connection)));
        Ok((connection, send))
    }
}

/// A failure after the request was sent.
fn failed(error: &h2::Error) -> PassFailure {
    let verdict = if error.reason() == Some(Reason::REFUSED_STREAM) {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    };
    PassFailure {
        reason: format!("the exchange with the peer failed: {error}"),
        verdict,
    }
}
