//! HTTP responses to callers.

use {
    super::held::Hold,
    bytes::Bytes,
    cactusspur_core::{Cause, DurationMs, Refusal, Verdict},
    derive_more::{Display, Error},
    futures::future::{AbortHandle, abortable},
    http::{HeaderMap, HeaderValue, Response, StatusCode, header},
    http_body::{Body, Frame, SizeHint},
    http_body_util::Full,
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        sync::mpsc::{Receiver, Sender, channel},
        time::timeout,
    },
};

/// The largest body that is left to the connection as a whole, which buffers about as much anyway, and
/// the size of the pieces of a larger one.
const PIECE_BYTES: usize = 16 * 1_024;

/// The error of a stream that can't be completed. It makes the server close the caller's
/// connection without the end of the body, so that the caller can tell that data is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the answer could not be completed")]
pub struct IncompleteResponse;

impl From<Infallible> for IncompleteResponse {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is complete in memory.
    Buffered(Full<Bytes>),
    /// A body that a relay sends in chunks.
    Streamed(StreamedBody),
}

/// A piece of a body, with the count of its bytes until the connection takes it.
#[derive(Debug)]
pub struct Chunk {
    /// The bytes.
    pub bytes: Bytes,
    /// Their count; `None` if they are counted otherwise.
    pub hold: Option<Hold>,
}

/// A body whose chunks come from a relay task. Dropping the body aborts the task.
#[derive(Debug)]
pub struct StreamedBody {
    chunks: Receiver<Result<Chunk, IncompleteResponse>>,
    /// The bytes to come; `None` if their number isn't known.
    remaining_bytes: Option<u64>,
    relay: AbortHandle,
}

impl StreamedBody {
    /// A body of the chunks that the task `relay` sends.
    #[must_use]
    pub const fn new(
        chunks: Receiver<Result<Chunk, IncompleteResponse>>,
        relay: AbortHandle,
    ) -> Self {
        Self {
            chunks,
            remaining_bytes: None,
            relay,
        }
    }

    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        if self.remaining_bytes == Some(0) {
            return Poll::Ready(None);
        }
        self.chunks.poll_recv(context).map(|chunk| match chunk {
            Some(Ok(Chunk { bytes, .. })) => {
                let length = bytes.len() as u64;
                self.remaining_bytes = self.remaining_bytes.map(|left| left.saturating_sub(length));
                Some(Ok(Frame::data(bytes)))
            }
            Some(Err(error)) => Some(Err(error)),
            None => self.remaining_bytes.map(|_| Err(IncompleteResponse)),
        })
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.relay.abort();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(IncompleteResponse::from),
            Self::Streamed(body) => body.poll_chunk(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => body
                .remaining_bytes
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// A response with the given status, headers and body.
#[must_use]
pub fn with_body(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Full::new(body)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The same with a body that counts as held while the caller reads it. What it has not read after
/// `limit` is given up.
#[must_use]
pub fn with_held_body(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    hold: Hold,
    limit: Duration,
) -> Response<ResponseBody> {
    if body.len() <= PIECE_BYTES {
        return with_body(status, headers, body);
    }
    let (sender, chunks) = channel(1);
    let length = body.len() as u64;
    let handing_over = async move {
        if timeout(limit, hand_over(body, &sender)).await.is_err() {
            tracing::info!(
                length,
                held = hold.bytes(),
                "an answer was not read in time"
            );
        }
    };
    let (handing_over, relay) = abortable(handing_over);
    ntex::rt::spawn(handing_over);
    let mut response = Response::new(ResponseBody::Streamed(StreamedBody {
        chunks,
        remaining_bytes: Some(length),
        relay,
    }));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Hands a body over to the connection in pieces, as fast as the caller reads.
async fn hand_over(body: Bytes, sender: &Sender<Result<Chunk, IncompleteResponse>>) {
    for piece in body.chunks(PIECE_BYTES) {
        // A copy, so that a piece in the connection's buffer doesn't keep the whole body.
        let bytes = Bytes::copy_from_slice(piece);
        if sender.send(Ok(Chunk { bytes, hold: None })).await.is_err() {
            return;
        }
    }
}

/// A response with the given status, without headers or a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response<ResponseBody> {
    with_body(status, HeaderMap::new(), Bytes::new())
}

/// The response for a refusal: 503 with `Retry-After` when the request has not run, or 422 if it never
/// can; otherwise 504 for an overload and 502 for any other cause.
#[must_use]
pub fn from_refusal(refusal: &Refusal) -> Response<ResponseBody> {
    let status = match (refusal.verdict, refusal.cause) {
        (Verdict::MayHaveRun, Cause::Overload) => StatusCode::GATEWAY_TIMEOUT,
        (Verdict::MayHaveRun, _) => StatusCode::BAD_GATEWAY,
        (Verdict::NotRun, Cause::CrashesEngines) => StatusCode::UNPROCESSABLE_ENTITY,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = empty(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let DurationMs(retry_after_ms) = refusal.retry_after_ms;
        let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
