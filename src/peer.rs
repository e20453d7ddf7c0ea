//! Messages between entry VMs: sealed, encoded with `bincode`, sent over HTTP/2 streams.
//!
//! Messages are authenticated by a shared key but not encrypted. An eavesdropper on the network
//! between entry VMs can read the declarations, including the hashes of API keys, and the loads, and
//! the requests that one entry VM passes on to another with their answers and API keys. An attacker
//! without the key can hold connections open, up to the limits of [`PeerServer`], but can't get a message
//! accepted.

mod error;
mod keys;
mod link;
mod message;
mod passing;
mod sections;
mod server;

pub use {
    error::{MessageError, PeerError},
    keys::KeyRing,
    link::PeerLink,
    message::{
        Envelope, MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES, MIN_KEY_BYTES, PeerKey, PeerRequest,
        PeerResponse, SealedRequest, SealedResponse, VERSION,
    },
    passing::{
        NotTaken, PassFailure, PassLink, PassedAnswer, PassedBody, PassedRequest, PassedResponse,
        SealedPassedAnswer, SealedPassedRequest, SentRequest, decode_headers, encode_headers,
    },
    sections::{
        Announcement, NEWEST_VERSION, SECTIONS_VERSION, Section, open_sections, seal_sections,
    },
    server::{MAX_CONNECTIONS, PeerServer, Taken, TakenRequest, Taker},
};
