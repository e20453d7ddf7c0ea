//! Identifiers.
//!
//! An id derived from a name is the hash of that name, so that it is the same in every process and
//! in every generation of the configuration.

use {
    derive_more::{Display, From, Into},
    serde::{Deserialize, Serialize},
    std::{num::ParseIntError, str::FromStr},
    xxhash_rust::xxh3::xxh3_64,
};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            Display, From, derive_more::FromStr, Into, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

macro_rules! named_id {
    ($(#[$doc:meta])* $name:ident) => {
        id!($(#[$doc])* $name(u64));

        impl $name {
            /// Derives the id from a name.
            #[must_use]
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

named_id!(
    /// Id of a customer: the hash of its name.
    CustomerId
);
named_id!(
    /// Id of a class of work: the hash of its name.
    ClassId
);
named_id!(
    /// Id of a backend server (engine or plain service): the hash of its VM's name.
    WorkerId
);
named_id!(
    /// Id of an entry VM: the hash of its name.
    EntryId
);
named_id!(
    /// Id of a failure domain: the hash of its name.
    DomainId
);
named_id!(
    /// Id of a model together with its adapter: the hash of `model/adapter`.
    ModelId
);
named_id!(
    /// Id of a plain service: the hash of its name.
    ServiceId
);
id!(
    /// Id of a caller's request.
    RequestId(u64)
);
/// Id of one attempt to run a request on one worker, never reused. Serialized as 32 hexadecimal
/// digits, since not every JSON implementation keeps 128-bit numbers intact.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:032x}")]
#[serde(into = "String", try_from = "String")]
pub struct AttemptId(pub u128);

impl FromStr for AttemptId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl From<AttemptId> for String {
    fn from(id: AttemptId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for AttemptId {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

id!(
    /// Id of one run of a worker process, from start to exit. A restarted worker gets a new one.
    Incarnation(u64)
);
id!(
    /// A version of model weights.
    WeightsVersion(u64)
);
id!(
    /// Number of an accepted configuration, incremented with each accepted change.
    Generation(u64)
);
id!(
    /// Number of a lease term. A higher number invalidates all lower ones.
    FencingNumber(u64)
);
id!(
    /// Position of an event in a worker's stream of cache events.
    CacheSequence(u64)
);
id!(
    /// Number of a call to the table service, never reused by a process.
    CallId(u64)
);
id!(
    /// Version of a row, assigned by the table service.
    RowVersion(u64)
);
id!(
    /// Chained hash of a prompt up to and including a piece.
    PieceHash(u64)
);

/// The caller's idempotency key, scoped to a customer and a class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{customer}/{class}/{key}")]
pub struct IdempotencyKey {
    /// The customer that sent the key.
    pub customer: CustomerId,
    /// The class that it was sent to.
    pub class: ClassId,
    /// The key itself, as the caller sent it.
    pub key: String,
}
