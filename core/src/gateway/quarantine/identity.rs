//! The identity of a request by its content, which repeats of it share.

use {
    super::PartId,
    derive_more::{Display, From, FromStr, Into},
    serde::{Deserialize, Serialize},
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
    FromStr,
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
