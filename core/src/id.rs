//! Identifiers.
//!
//! Ids of declared things are hashes of their names, so that they are the same in every process
//! and every generation of the configuration.

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
            /// The id of the thing with this name.
            #[must_use]
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

named_id!(
    /// A customer, by the hash of its name.
    CustomerId
);
named_id!(
    /// A class of work, by the hash of its name.
    ClassId
);
named_id!(
    /// A backend server (model worker or plain service), by the hash of its VM's name.
    WorkerId
);
named_id!(
    /// An entry VM, by the hash of its VM's name.
    EntryId
);
named_id!(
    /// A failure domain, by the hash of its name.
    DomainId
);
named_id!(
    /// A model together with its adapter, by the hash of `model/adapter`.
    ModelId
);
named_id!(
    /// A service of plain backend servers, by the hash of its name.
    ServiceId
);
id!(
    /// One request of a caller.
    RequestId(u64)
);
/// One try to run a request on one worker. Never used twice. Written as 32 hexadecimal digits,
/// since JSON numbers don't hold 128 bits everywhere.
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
    /// One life of a worker process. A worker that restarts gets another.
    Incarnation(u64)
);
id!(
    /// A version of model weights.
    WeightsVersion(u64)
);
id!(
    /// The number of an accepted configuration. Rises by one with each accepted change.
    Generation(u64)
);
id!(
    /// The number of a lease term. A higher one outdates every lower one.
    FencingNumber(u64)
);
id!(
    /// The position of an event in one worker's stream of cache events.
    CacheSequence(u64)
);
id!(
    /// The number of one call to the table service, never used twice by a process.
    CallId(u64)
);
id!(
    /// The version of a row, as the table service counts it.
    RowVersion(u64)
);
id!(
    /// The chained hash of a prompt up to and including one piece.
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
