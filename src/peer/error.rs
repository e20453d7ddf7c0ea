//! What goes wrong between entry VMs.

use {
    derive_more::{Display, Error},
    http::StatusCode,
};

/// Why a message isn't taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum MessageError {
    /// It is of another version of the protocol.
    #[display("the message is of version {version}")]
    Version {
        /// That version.
        version: u8,
    },
    /// It was not sealed with the shared key, or was changed on the way.
    #[display("the message is not sealed with the shared key")]
    Key,
    /// It is larger than allowed.
    #[display("the message is too large")]
    Size,
    /// It can't be read.
    #[display("the message can't be read")]
    Malformed,
}

impl MessageError {
    /// The HTTP status that tells the sender.
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

/// Why a peer's answer wasn't had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum PeerError {
    /// The address can't be bound.
    #[display("the peers' address can't be bound")]
    Bind,
    /// The shared key is too short.
    #[display("the shared key has less than 32 bytes")]
    ShortKey,
    /// No connection could be opened.
    #[display("no connection to the peer")]
    Connect,
    /// The connection broke.
    #[display("the connection to the peer broke")]
    Broken,
    /// There was no answer in time.
    #[display("the peer did not answer in time")]
    Timeout,
    /// The peer did not take the message in.
    #[display("the peer refused the message with status {status}")]
    Refused {
        /// The HTTP status, see [`MessageError::status`].
        status: u16,
    },
    /// The peer's answer is not taken in.
    #[display("the peer's answer is not taken in")]
    Answer(MessageError),
    /// The peer failed a short while ago and isn't asked again yet.
    #[display("the peer failed a short while ago")]
    BackingOff,
}
