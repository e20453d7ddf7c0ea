//! Answers to callers.

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
        task::{Context, Poll},
    },
    tokio::sync::mpsc::Receiver,
};

/// A stream that can't be completed. The connection to the caller is broken off, so that the
/// answer doesn't look whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the answer could not be completed")]
pub struct IncompleteResponse;

impl From<Infallible> for IncompleteResponse {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// It is there as a whole.
    Buffered(Full<Bytes>),
    /// It comes piece by piece.
    Streamed(StreamedBody),
}

/// A body whose pieces come from a relay. The relay ends when the body is dropped.
#[derive(Debug)]
pub struct StreamedBody {
    pieces: Receiver<Result<Bytes, IncompleteResponse>>,
    relay: AbortHandle,
}

impl StreamedBody {
    /// A body of the pieces that `relay` sends.
    #[must_use]
    pub const fn new(
        pieces: Receiver<Result<Bytes, IncompleteResponse>>,
        relay: AbortHandle,
    ) -> Self {
        Self { pieces, relay }
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
                let piece = body.pieces.poll_recv(context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
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

/// A whole answer of a backend server.
#[must_use]
pub fn with_body(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Full::new(body)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// An answer of the gateway's own, without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response<ResponseBody> {
    with_body(status, HeaderMap::new(), Bytes::new())
}

/// The answer to a request that is not served.
#[must_use]
pub fn from_refusal(refusal: &Refusal) -> Response<ResponseBody> {
    let status = match (refusal.verdict, refusal.cause) {
        (Verdict::MayHaveRun, Cause::Overload) => StatusCode::GATEWAY_TIMEOUT,
        (Verdict::MayHaveRun, _) => StatusCode::BAD_GATEWAY,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = empty(status);
    if refusal.verdict == Verdict::NotRun {
        let DurationMs(wait) = refusal.retry_after_ms;
        let seconds = format!("{}.{:03}", wait / 1_000, wait % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
