//! HTTP responses to callers.

use {
    bytes::Bytes,
    cactusspur_core::{Cause, DurationMs, Refusal, Verdict},
    derive_more::{Display, Error},
    futures::future::AbortHandle,
    http::{HeaderMap, HeaderValue, Response, StatusCode, header},
    http_body::{Body, Frame, SizeHint},
    http_body_util::Full,
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::sync::mpsc::{Receiver, Sender},
};

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

/// What a relay task sends for the body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The end of a complete body.
    End,
}

/// Events up to this length are queued for the caller beside others, in bytes.
const MAX_QUEUED_EVENT_BYTES: usize = 8_192;

/// Queues an event for the caller once there is room for it. A large one waits until the caller's connection has
/// taken those before it.
///
/// # Errors
///
/// When the caller has left.
pub async fn send_event(sender: &Sender<StreamPart>, event: Bytes) -> Result<(), CallerLeft> {
    let places = if event.len() > MAX_QUEUED_EVENT_BYTES {
        sender.max_capacity()
    } else {
        1
    };
    let mut places = sender.reserve_many(places).await.map_err(|_| CallerLeft)?;
    let place = places.next().ok_or(CallerLeft)?;
    place.send(StreamPart::Chunk(event));
    Ok(())
}

/// The error of an event whose caller has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the caller has left")]
pub struct CallerLeft;

/// A body whose parts come from a relay task. It is complete only when the task says so. Dropping the body
/// aborts the task.
#[derive(Debug)]
pub struct StreamedBody {
    parts: Receiver<StreamPart>,
    relay: AbortHandle,
    is_broken: bool,
}

impl StreamedBody {
    /// A body of the parts that the task `relay` sends.
    #[must_use]
    pub const fn new(parts: Receiver<StreamPart>, relay: AbortHandle) -> Self {
        Self {
            parts,
            relay,
            is_broken: false,
        }
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
            Self::Streamed(body) => {
                if body.is_broken {
                    return Poll::Ready(Some(Err(IncompleteResponse)));
                }
                match ready!(body.parts.poll_recv(context)) {
                    Some(StreamPart::Chunk(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                    Some(StreamPart::End) => Poll::Ready(None),
                    None => {
                        // The server discards what it has not written yet when a body fails.
                        body.is_broken = true;
                        context.waker().wake_by_ref();
                        Poll::Pending
                    }
                }
            }
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
            Self::Streamed(_) => SizeHint::default(),
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

/// A response with the given status, without headers or a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response<ResponseBody> {
    with_body(status, HeaderMap::new(), Bytes::new())
}

/// The response for a refusal: 503 with `Retry-After` when the request has not run, 429 if its
/// customer's cap has no room, or 422 if it never can; otherwise 504 for an overload and 502 for any other cause.
#[must_use]
pub fn from_refusal(refusal: &Refusal) -> Response<ResponseBody> {
    let status = match (refusal.verdict, refusal.cause) {
        (Verdict::MayHaveRun, Cause::Overload) => StatusCode::GATEWAY_TIMEOUT,
        (Verdict::MayHaveRun, _) => StatusCode::BAD_GATEWAY,
        (Verdict::NotRun, Cause::OverCap) => StatusCode::TOO_MANY_REQUESTS,
        (Verdict::NotRun, Cause::CrashesEngines) => StatusCode::UNPROCESSABLE_ENTITY,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = empty(status);
    let may_return = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if may_return.contains(&status) {
        let DurationMs(retry_after_ms) = refusal.retry_after_ms;
        let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
