//! Reads the bodies of callers' requests, within the room that the process has for them.

use {
    super::memory::{BodyRoom, MAX_SMALL_BODY_BYTES, Reservation},
    bytes::Bytes,
    cactusspur_core::DurationMs,
    derive_more::{Display, Error},
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    std::time::Duration,
    tokio::time::timeout,
};

/// Why a request's body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// The process has no room for it.
    #[display("no room in memory for the body")]
    NoRoom,
    /// It is longer than the limit.
    #[display("the body is too long")]
    TooLong,
    /// The time for the answer was over before its end.
    #[display("the body is late")]
    Late,
    /// It is malformed, or its connection ended.
    #[display("the body is broken")]
    Broken,
}

impl BodyError {
    /// The reason's name in metrics.
    #[must_use]
    pub const fn reason(self) -> &'static str {
        match self {
            Self::NoRoom => "no_room",
            Self::TooLong => "too_long",
            Self::Late => "late",
            Self::Broken => "broken",
        }
    }
}

/// A body that is about to be read.
#[derive(Debug)]
pub struct BodyReading {
    /// The unread body.
    pub body: Incoming,
    /// The longest permitted body.
    pub max_bytes: usize,
    /// How long the body may wait for room.
    pub wait_ms: DurationMs,
}

impl BodyReading {
    /// Waits for room and reads the whole body. Until there is room, nothing is read from the connection beyond the
    /// buffer of its heads.
    ///
    /// # Errors
    ///
    /// When there is no room in time, or the body is broken or too long.
    pub async fn read(mut self, room: &BodyRoom) -> Result<Bytes, BodyError> {
        if self.body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let hint = self.body.size_hint();
        let length = hint
            .exact()
            .map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        let mut reserved_bytes = length.unwrap_or(MAX_SMALL_BODY_BYTES).min(self.max_bytes);
        let mut reservation = self.reserve(room, reserved_bytes).await?;
        let mut bytes = Vec::with_capacity(reserved_bytes.min(MAX_SMALL_BODY_BYTES));
        while let Some(frame) = self.body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > self.max_bytes {
                return Err(BodyError::TooLong);
            }
            if length > reserved_bytes {
                // Only a body without a length is longer than its reservation. It holds no room for large bodies
                // while it waits for that, so that two such bodies can't wait for each other.
                reserved_bytes = self.max_bytes;
                reservation = self.reserve(room, reserved_bytes).await?;
            }
            if length > bytes.capacity() {
                bytes.reserve_exact(reserved_bytes - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        Ok(reservation.hold(bytes))
    }

    async fn reserve(&self, room: &BodyRoom, bytes: usize) -> Result<Reservation, BodyError> {
        let limit = Duration::from_millis(self.wait_ms.0);
        let reserved = timeout(limit, room.reserve(bytes)).await;
        reserved.ok().flatten().ok_or(BodyError::NoRoom)
    }
}
