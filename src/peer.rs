//! What entry VMs say to each other: sealed messages in `bincode` over HTTP/2 streams.
//!
//! Messages are authenticated by a shared key but not encrypted: somebody who reads the network
//! between entry VMs reads the declarations, with the hashes of API keys, and loads, but no
//! prompt, answer or API key. Somebody without the key can hold connections open, up to the
//! limits of [`PeerServer`], and can't make a process take a message in.

mod error;
mod link;
mod message;
mod server;

pub use {
    error::{MessageError, PeerError},
    link::PeerLink,
    message::{
        Envelope, MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES, MIN_KEY_BYTES, PeerKey, PeerRequest,
        PeerResponse, SealedRequest, SealedResponse, VERSION,
    },
    server::{MAX_CONNECTIONS, PeerServer},
};
