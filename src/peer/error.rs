//! Errors in the communication between entry VMs.

use {
    derive_more::{Display, Error},
    http::StatusCode,
};

/// The reason why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum MessageError {
    /// The message has another version of the protocol.
    #[display("the message is of version {version}")]
    Version {
        /// The version of the message.
        version: u8,
    },
    /// The message was not sealed with the shared key or was modified in transit.
    #[display("the message is not sealed with the shared key")]
    Key,
    /// The message is larger than allowed.
    #[display("the message is too large")]
    Size,
    /// The message can't be decoded.
    #[display("the message can't be decoded")]
    Malformed,
}

impl MessageError {
    /// The HTTP status that reports this error to the sender.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Version { .. } => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::Size => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }
}

/// The reason why a call to a peer or the setup of the communication failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum PeerError {
    /// The address can't be bound.
    #[display("the peers' address can't be bound")]
    Bind,
    /// The shared key is too short.
    #[display("the shared key has less than 32 bytes")]
    ShortKey,
    /// No connection to the peer could be opened.
    #[display("could not connect to the peer")]
    Connect,
    /// The connection failed during a call.
    #[display("the connection to the peer failed")]
    Broken,
    /// The peer did not answer in time.
    #[display("the peer did not answer in time")]
    Timeout,
    /// The peer rejected the message.
    #[display("the peer rejected the message with status {status}")]
    Refused {
        /// The HTTP status; see [`MessageError::status`].
        status: u16,
    },
    /// The peer's response is rejected, or the request could not be sealed.
    #[display("the peer's response was rejected")]
    Answer(MessageError),
    /// The peer failed recently, and the backoff hasn't ended yet.
    #[display("the peer failed recently; not retried yet")]
    BackingOff,
}
