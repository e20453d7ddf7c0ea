//! What a crash may be blamed on: a request, by its content, or a part of its prompt.

use {
    crate::gateway::cached::PromptPart,
    derive_more::{Display, Error, From, Into},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
    xxhash_rust::xxh3::{Xxh3, xxh3_64},
};

/// What makes two requests of callers the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The host that the request names.
    pub host: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// The customer's name; `None` if the request has none.
    pub customer: Option<&'a str>,
    /// The prompt parts that other requests may share. The last part may differ between repeats.
    pub shared_parts: &'a [PartId],
    /// The body.
    pub body: &'a [u8],
}

/// The hash of a request's content.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    derive_more::FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Hashes the content. `secret` keeps callers from finding requests with equal digests; all gateways
    /// use the same one.
    #[must_use]
    pub fn new(content: &RequestContent<'_>, secret: &str) -> Self {
        let mut hasher = Xxh3::with_seed(xxh3_64(secret.as_bytes()));
        let fields = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            content.customer.unwrap_or_default().as_bytes(),
            content.body,
        ];
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        for part in content.shared_parts {
            hasher.update(&part.0.to_le_bytes());
        }
        Self(hasher.digest())
    }
}

/// The id of a prompt part: the hash of its name.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    derive_more::FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct PartId(pub u64);

/// The parts of a prompt that other requests may share: all but the last one.
#[must_use]
pub fn shared_parts(parts: &[PromptPart]) -> Vec<PartId> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| PartId(part.id)).collect()
}

/// A request as crashes know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// The hash of its content, which repeats share.
    pub digest: RequestDigest,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<PartId>,
}

impl RequestIdentity {
    /// Whether a crash of this request may be blamed on `trigger`.
    #[must_use]
    pub fn has(&self, trigger: Trigger) -> bool {
        match trigger {
            Trigger::Request(digest) => self.digest == digest,
            Trigger::Part(part) => self.parts.contains(&part),
        }
    }

    /// All that a crash of this request may be blamed on.
    pub fn triggers(&self) -> impl Iterator<Item = Trigger> {
        let parts = self.parts.iter().copied().map(Trigger::Part);
        std::iter::once(Trigger::Request(self.digest)).chain(parts)
    }
}

/// What a crash may be blamed on.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
pub enum Trigger {
    /// A part of the prompt, in any request.
    #[display("part {_0}")]
    Part(PartId),
    /// One request as a whole.
    #[display("request {_0}")]
    Request(RequestDigest),
}

/// What is quarantined.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Culprit {
    /// One request and its repeats.
    #[display("request {_0}")]
    Request(RequestDigest),
    /// The requests that have all of these parts.
    #[display("parts {}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join(","))]
    Parts(Vec<PartId>),
}

/// The error of a text that names no [`Culprit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("expected `request ID` or `parts ID,ID`, with ids of 16 hexadecimal digits")]
pub struct CulpritError;

impl FromStr for Culprit {
    type Err = CulpritError;

    fn from_str(text: &str) -> Result<Self, CulpritError> {
        let (kind, ids) = text.trim().split_once(' ').ok_or(CulpritError)?;
        let ids: Result<Vec<u64>, _> = ids
            .split(',')
            .map(|id| u64::from_str_radix(id.trim(), 16))
            .collect();
        match (kind, ids.map_err(|_| CulpritError)?.as_slice()) {
            ("request", [digest]) => Ok(Self::Request(RequestDigest(*digest))),
            ("parts", ids) => Ok(Self::Parts(ids.iter().copied().map(PartId).collect())),
            _ => Err(CulpritError),
        }
    }
}

impl Culprit {
    /// Whether it refuses a request.
    #[must_use]
    pub fn is_in(&self, request: &RequestIdentity) -> bool {
        match self {
            Self::Request(digest) => request.digest == *digest,
            Self::Parts(parts) => parts.iter().all(|part| request.parts.contains(part)),
        }
    }

    /// Whether it refuses all that `other` refuses.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Request(digest), Self::Request(other)) => digest == other,
            (Self::Parts(parts), Self::Parts(others)) => {
                parts.iter().all(|part| others.contains(part))
            }
            _ => false,
        }
    }

    /// What answers must get past to end it.
    #[must_use]
    pub fn triggers(&self) -> Vec<Trigger> {
        match self {
            Self::Request(digest) => vec![Trigger::Request(*digest)],
            Self::Parts(parts) => parts.iter().copied().map(Trigger::Part).collect(),
        }
    }
}
