//! The messages and their sealed format.
//!
//! A sealed message consists of a version byte, 32 bytes of keyed BLAKE3 over the version and the
//! body, and the body in `bincode`. Requests and responses use different keys, both derived from
//! the shared key, so that neither can be passed off as the other. A response repeats the number
//! of its request.

use {
    super::{MessageError, PeerError},
    crate::{
        gateway::{
            digest::Digest,
            notice::Notice,
            replica::{StoreVersion, TableCopy},
        },
        membership::Heartbeat,
        timeline::HybridTime,
    },
    bincode::config::{Configuration, Limit, LittleEndian, Varint},
    bytes::{BufMut, Bytes, BytesMut},
    cactusspur_core::{
        DurationMs, EntryId, Generation, VmList,
        gateway::{SoftwareKey, StreamKey, StreamOrigin},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{fmt, marker::PhantomData, net::SocketAddr},
};

/// The version of the messages in this module.
pub const VERSION: u8 = 1;
/// The minimum length of the shared key.
pub const MIN_KEY_BYTES: usize = 32;
/// The maximum size of a sealed request.
pub const MAX_REQUEST_BYTES: usize = 64 * 1_024;
/// The maximum size of a sealed response.
pub const MAX_RESPONSE_BYTES: usize = 32 * 1_024 * 1_024;
/// The size of the version and the keyed hash before the body.
const HEADER_BYTES: usize = 1 + blake3::OUT_LEN;
const REQUEST_KEY_CONTEXT: &str = "cactusspur 2026-12 entry VM to entry VM, ask";
const PASSED_REQUEST_KEY_CONTEXT: &str = "cactusspur 2026-12 entry VM to entry VM, passed request";
const PASSED_ANSWER_KEY_CONTEXT: &str = "cactusspur 2026-12 entry VM to entry VM, passed answer";
const SECTIONS_KEY_CONTEXT: &str = "cactusspur 2026-12 entry VM to entry VM, sections";
const RESPONSE_KEY_CONTEXT: &str = "cactusspur 2026-12 entry VM to entry VM, answer";

/// The keys that seal messages.
#[derive(Clone)]
pub struct PeerKey {
    request: [u8; blake3::KEY_LEN],
    response: [u8; blake3::KEY_LEN],
    passed_request: [u8; blake3::KEY_LEN],
    passed_answer: [u8; blake3::KEY_LEN],
    sections: [u8; blake3::KEY_LEN],
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey")
    }
}

impl PeerKey {
    /// Derives the keys from the shared key of the settings.
    ///
    /// # Errors
    ///
    /// Fails when the shared key is shorter than [`MIN_KEY_BYTES`].
    pub fn derive(shared_key: &str) -> Result<Self, PeerError> {
        if shared_key.len() < MIN_KEY_BYTES {
            return Err(PeerError::ShortKey);
        }
        let derive = |context| blake3::derive_key(context, shared_key.as_bytes());
        Ok(Self {
            request: derive(REQUEST_KEY_CONTEXT),
            response: derive(RESPONSE_KEY_CONTEXT),
            passed_request: derive(PASSED_REQUEST_KEY_CONTEXT),
            passed_answer: derive(PASSED_ANSWER_KEY_CONTEXT),
            sections: derive(SECTIONS_KEY_CONTEXT),
        })
    }

    /// The key that seals the heads of requests that are passed on.
    pub(super) const fn passed_request(&self) -> &[u8; blake3::KEY_LEN] {
        &self.passed_request
    }

    /// The key that seals the heads of their answers.
    pub(super) const fn passed_answer(&self) -> &[u8; blake3::KEY_LEN] {
        &self.passed_answer
    }

    /// The key that seals messages that consist of sections.
    pub(super) const fn sections(&self) -> &[u8; blake3::KEY_LEN] {
        &self.sections
    }
}

/// A message with the fields that all messages have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<M> {
    /// The sender.
    pub from: EntryId,
    /// Identifies the run of the sender's process.
    pub incarnation: u64,
    /// The number of the request, repeated by its response.
    pub number: u64,
    /// When the message was sent.
    pub sent_at: HybridTime,
    /// The message itself.
    pub message: M,
}

/// A request of one entry VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Reports the sender's state and requests the receiver's.
    Heartbeat(Heartbeat),
    /// Requests the changes of the configuration after a generation.
    PullChanges {
        /// The generation that the sender has.
        after: Generation,
    },
    /// Requests the newest known list of VMs.
    Vms,
    /// Reports a gateway's observations. Sent as a datagram without a response.
    Notice(Box<Notice>),
    /// Requests the changes in a gateway's copies of tables of the platform's store.
    PullTables {
        /// The store version up to which the sender knows each table, by the table's name.
        known: Vec<(String, StoreVersion)>,
    },
    /// Asks for the origins of all streams, for a gateway that starts.
    PullStreams,
    /// Asks for the origin of a stream. Sent as a datagram; a receiver that knows it answers with a
    /// [`Self::Notice`].
    StreamQuery {
        /// The stream.
        stream: StreamKey,
        /// The address of the gateway that asks.
        reply_to: SocketAddr,
    },
    /// Announces a gateway that knows few others, and asks for those that the receiver knows. Sent as
    /// a datagram, as is the [`Self::Digest`] that answers it.
    Join(Box<Notice>),
    /// Reports a gateway's observations to the one that merges them. Sent as a datagram without a
    /// response.
    NoticeToMerge(Box<Notice>),
    /// Hands merged notices to a member of the sender's failure domain, or to the gateway that merges
    /// those of another domain. Sent as a datagram without a response.
    Digest {
        /// The members that the receiver passes the digest on to.
        pass_on_to: Vec<SocketAddr>,
        /// Whether the receiver must merge the digest into those of its own domain.
        is_to_merge: bool,
        /// The merged notices.
        digest: Box<Digest>,
    },
    /// Asks whether a service has had a single software version, by a list of servers that is checked after
    /// this question. Sent as a datagram; a receiver that knows it answers with a [`Self::OnlyVersion`].
    OnlyVersionQuery {
        /// The service's name.
        service: String,
        /// A number that the answer repeats.
        query: u64,
        /// The address of the gateway that asks.
        reply_to: SocketAddr,
    },
    /// Answers a [`Self::OnlyVersionQuery`].
    OnlyVersion {
        /// The number of the question.
        query: u64,
        /// The version; `None` if the service has had several.
        software: Option<SoftwareKey>,
    },
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The state of the process that responds.
    Heartbeat(Heartbeat),
    /// The changes after the generation, in order.
    Changes {
        /// The records of the log, as a JSON list. `bincode` can't decode declarations since their
        /// encoding leaves out empty fields.
        records_json: Vec<u8>,
    },
    /// The whole configuration, since not all changes after the generation are kept.
    Snapshot {
        /// The configuration as JSON.
        configuration_json: Vec<u8>,
    },
    /// There are no changes after the generation.
    UpToDate,
    /// The newest known list of VMs.
    Vms {
        /// The list; `None` if none is known.
        list: Option<VmList>,
        /// The age of the list.
        age_ms: DurationMs,
    },
    /// A gateway's copies of tables of the platform's store.
    Tables(Vec<TableCopy>),
    /// The origins of the streams that the peer knows.
    Streams(Vec<StreamOrigin>),
}

/// A request in the sealed format.
pub type SealedRequest = Sealed<PeerRequest>;
/// A response in the sealed format.
pub type SealedResponse = Sealed<PeerResponse>;

/// A kind of message that can be sealed.
pub trait Message: Serialize + DeserializeOwned {
    /// The maximum size of a sealed message of this kind.
    const MAX_BYTES: usize;

    /// The key that seals this kind.
    fn key(key: &PeerKey) -> &[u8; blake3::KEY_LEN];
}

impl Message for PeerRequest {
    const MAX_BYTES: usize = MAX_REQUEST_BYTES;

    fn key(key: &PeerKey) -> &[u8; blake3::KEY_LEN] {
        &key.request
    }
}

impl Message for PeerResponse {
    const MAX_BYTES: usize = MAX_RESPONSE_BYTES;

    fn key(key: &PeerKey) -> &[u8; blake3::KEY_LEN] {
        &key.response
    }
}

/// A sealed message of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sealed<M> {
    bytes: Bytes,
    kind: PhantomData<M>,
}

impl<M> From<Bytes> for Sealed<M> {
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes,
            kind: PhantomData,
        }
    }
}

impl<M> From<Sealed<M>> for Bytes {
    fn from(sealed: Sealed<M>) -> Self {
        sealed.bytes
    }
}

impl<M> Sealed<M>
where
    M: Message,
{
    /// Encodes and seals a message.
    ///
    /// # Errors
    ///
    /// [`MessageError::Size`] if the sealed message is larger than allowed.
    pub fn seal(key: &PeerKey, envelope: &Envelope<M>) -> Result<Self, MessageError> {
        let body = bincode::serde::encode_to_vec(envelope, bincode::config::standard())
            .map_err(|_| MessageError::Malformed)?;
        if HEADER_BYTES + body.len() > M::MAX_BYTES {
            return Err(MessageError::Size);
        }
        let mut bytes = BytesMut::with_capacity(HEADER_BYTES + body.len());
        bytes.put_u8(VERSION);
        bytes.put_slice(keyed_hash(M::key(key), VERSION, &body).as_bytes());
        bytes.put_slice(&body);
        Ok(bytes.freeze().into())
    }

    /// Verifies and decodes a sealed message.
    ///
    /// # Errors
    ///
    /// The reason why the message is rejected.
    pub fn open(&self, key: &PeerKey) -> Result<Envelope<M>, MessageError> {
        let bytes = &self.bytes[..];
        if bytes.len() > M::MAX_BYTES {
            return Err(MessageError::Size);
        }
        let Some((&version, rest)) = bytes.split_first() else {
            return Err(MessageError::Malformed);
        };
        if version != VERSION {
            return Err(MessageError::Version { version });
        }
        let Some((keyed_hash_bytes, body)) = rest.split_first_chunk::<{ blake3::OUT_LEN }>() else {
            return Err(MessageError::Malformed);
        };
        if keyed_hash(M::key(key), version, body) != *keyed_hash_bytes {
            return Err(MessageError::Key);
        }
        decode(body)
    }
}

/// Decodes a body. The limit prevents a length inside it from allocating excessive memory.
fn decode<M>(body: &[u8]) -> Result<Envelope<M>, MessageError>
where
    M: Message,
{
    type Limited = Configuration<LittleEndian, Varint, Limit<MAX_RESPONSE_BYTES>>;
    let limited: Limited = bincode::config::standard().with_limit::<MAX_RESPONSE_BYTES>();
    let (envelope, read_bytes) =
        bincode::serde::decode_from_slice(body, limited).map_err(|_| MessageError::Malformed)?;
    if read_bytes != body.len() {
        return Err(MessageError::Malformed);
    }
    Ok(envelope)
}

pub(super) fn keyed_hash(key: &[u8; blake3::KEY_LEN], version: u8, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&[version]);
    hasher.update(body);
    hasher.finalize()
}
