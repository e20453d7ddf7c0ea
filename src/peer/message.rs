//! The messages, and how they are sealed.
//!
//! A sealed message is a byte with the version, 32 bytes of keyed BLAKE3 over the version and
//! the body, and the body in `bincode`. Asks and answers have keys of their own, both derived
//! from the shared key, so that neither can pass for the other; an answer repeats the number of
//! its ask.

use {
    super::{MessageError, PeerError},
    crate::{
        gateway::{notice::Notice, replica::TableCopy},
        membership::Heartbeat,
        timeline::HybridTime,
    },
    bincode::config::{Configuration, Limit, LittleEndian, Varint},
    bytes::{BufMut, Bytes, BytesMut},
    cactusspur_core::{DurationMs, EntryId, Generation, VmList},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{fmt, marker::PhantomData},
};

/// The version of the protocol.
pub const VERSION: u8 = 1;
/// The least length of the shared key.
pub const MIN_KEY_BYTES: usize = 32;
/// The largest sealed ask.
pub const MAX_REQUEST_BYTES: usize = 64 * 1_024;
/// The largest sealed answer.
pub const MAX_RESPONSE_BYTES: usize = 32 * 1_024 * 1_024;
/// The bytes before the body: the version and the keyed hash.
const HEADER_BYTES: usize = 1 + blake3::OUT_LEN;
const ASK_CONTEXT: &str = "cactusspur 2026-12 entry VM to entry VM, ask";
const ANSWER_CONTEXT: &str = "cactusspur 2026-12 entry VM to entry VM, answer";

/// The keys that messages are sealed with.
#[derive(Clone)]
pub struct PeerKey {
    ask: [u8; blake3::KEY_LEN],
    answer: [u8; blake3::KEY_LEN],
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey")
    }
}

impl PeerKey {
    /// The keys for a shared key from the settings.
    ///
    /// # Errors
    ///
    /// When the shared key has less than [`MIN_KEY_BYTES`].
    pub fn derive(shared_key: &str) -> Result<Self, PeerError> {
        if shared_key.len() < MIN_KEY_BYTES {
            return Err(PeerError::ShortKey);
        }
        Ok(Self {
            ask: blake3::derive_key(ASK_CONTEXT, shared_key.as_bytes()),
            answer: blake3::derive_key(ANSWER_CONTEXT, shared_key.as_bytes()),
        })
    }
}

/// A message with what every message has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<M> {
    /// The sender.
    pub from: EntryId,
    /// The life of the sender's process.
    pub incarnation: u64,
    /// The number of the ask, repeated by its answer.
    pub number: u64,
    /// When it was sent.
    pub sent_at: HybridTime,
    /// The message.
    pub message: M,
}

/// What a process asks another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Tells the sender's state and asks for the receiver's.
    Heartbeat(Heartbeat),
    /// Asks for the changes of the configuration after a generation.
    PullChanges {
        /// The generation that the sender has.
        after: Generation,
    },
    /// Asks for the newest known list of VMs.
    Vms,
    /// Tells what a gateway has learnt. Sent as a datagram, not answered.
    Notice(Box<Notice>),
    /// Asks a gateway for what has changed in its copies of tables of the platform's store.
    PullTables {
        /// The versions of the store up to which the sender knows each table.
        known: Vec<(String, u64)>,
    },
}

/// What the other answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The receiver's state.
    Heartbeat(Heartbeat),
    /// The changes after the generation, in order.
    Changes {
        /// The records of the log, as a JSON list. Declarations leave empty fields out when
        /// written, which `bincode` can't read.
        records_json: Vec<u8>,
    },
    /// The whole configuration, since the changes aren't remembered or are larger.
    Snapshot {
        /// The configuration as JSON.
        configuration_json: Vec<u8>,
    },
    /// There is nothing after the generation.
    UpToDate,
    /// The newest known list of VMs; none when nothing is known.
    Vms {
        /// The list.
        list: Option<VmList>,
        /// How old it is.
        age_ms: DurationMs,
    },
    /// A gateway's copies of tables of the platform's store.
    Tables(Vec<TableCopy>),
}

/// An ask as it is sent.
pub type SealedRequest = Sealed<PeerRequest>;
/// An answer as it is sent.
pub type SealedResponse = Sealed<PeerResponse>;

/// A kind of message that can be sealed.
pub trait Message: Serialize + DeserializeOwned {
    /// The largest sealed message of this kind.
    const MAX_BYTES: usize;

    /// The key for this kind.
    fn key(key: &PeerKey) -> &[u8; blake3::KEY_LEN];
}

impl Message for PeerRequest {
    const MAX_BYTES: usize = MAX_REQUEST_BYTES;

    fn key(key: &PeerKey) -> &[u8; blake3::KEY_LEN] {
        &key.ask
    }
}

impl Message for PeerResponse {
    const MAX_BYTES: usize = MAX_RESPONSE_BYTES;

    fn key(key: &PeerKey) -> &[u8; blake3::KEY_LEN] {
        &key.answer
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
    /// Seals a message.
    ///
    /// # Errors
    ///
    /// [`MessageError::Size`] when it is larger than allowed.
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

    /// Opens a sealed message.
    ///
    /// # Errors
    ///
    /// Why it isn't taken in.
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
        let Some((seal, body)) = rest.split_first_chunk::<{ blake3::OUT_LEN }>() else {
            return Err(MessageError::Malformed);
        };
        if keyed_hash(M::key(key), version, body) != *seal {
            return Err(MessageError::Key);
        }
        decode(body)
    }
}

/// Reads a body. The limit keeps a length inside it from claiming memory that isn't there.
fn decode<M>(body: &[u8]) -> Result<Envelope<M>, MessageError>
where
    M: Message,
{
    type Limited = Configuration<LittleEndian, Varint, Limit<MAX_RESPONSE_BYTES>>;
    let limited: Limited = bincode::config::standard().with_limit::<MAX_RESPONSE_BYTES>();
    let (envelope, read) =
        bincode::serde::decode_from_slice(body, limited).map_err(|_| MessageError::Malformed)?;
    if read != body.len() {
        return Err(MessageError::Malformed);
    }
    Ok(envelope)
}

fn keyed_hash(key: &[u8; blake3::KEY_LEN], version: u8, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&[version]);
    hasher.update(body);
    hasher.finalize()
}
