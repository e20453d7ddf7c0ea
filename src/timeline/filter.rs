//! The filter of time line queries.

use {
    cactusspur_core::RequestId,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{num::ParseIntError, str::FromStr},
};

/// The identity of a request across processes: the process that received it, and its id there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{incarnation:016x}-{request}")]
#[serde(into = "String", try_from = "String")]
pub struct RequestName {
    /// Identifies the run of the process.
    pub incarnation: u64,
    /// The id in that process.
    pub request: RequestId,
}

/// The prefix of an answer's id in OpenAI's format.
const ANSWER_ID_PREFIX: &str = "chatcmpl-";

impl FromStr for RequestName {
    type Err = ParseIntError;

    /// Parses a name or the id of an answer in OpenAI's format, which contains it.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.strip_prefix(ANSWER_ID_PREFIX).unwrap_or(text);
        let (incarnation, request) = text.split_once('-').unwrap_or((text, ""));
        Ok(Self {
            incarnation: u64::from_str_radix(incarnation, 16)?,
            request: request.parse()?,
        })
    }
}

impl From<RequestName> for String {
    fn from(name: RequestName) -> Self {
        name.to_string()
    }
}

impl TryFrom<String> for RequestName {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// Selects the events that match all of the given fields; an absent field matches any event. It is
/// the query of `GET /timeline`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimelineFilter {
    /// Only events of this request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestName>,
    /// Only events of the class with this name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Only events of the worker with this name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
}

impl TimelineFilter {
    /// The filter as a URL query with the question mark; empty if no field is set.
    #[must_use]
    pub fn query(&self) -> String {
        let request = self.request.map(|name| name.to_string());
        let parts = [
            ("request", &request),
            ("class", &self.class),
            ("worker", &self.worker),
        ];
        let parts: Vec<String> = parts
            .iter()
            .filter_map(|(name, value)| value.as_ref().map(|value| format!("{name}={value}")))
            .collect();
        if parts.is_empty() {
            return String::new();
        }
        format!("?{}", parts.join("&"))
    }
}
