//! The gateway's port to a platform's wire formats, and the types it translates to and from.

use {
    bytes::Bytes,
    cactusspur_core::{
        DurationMs, FencingNumber, Tokens, WeightsVersion,
        gateway::{BackendSpec, CallKind, Load, OrderState, PromptPart, RoutingTable},
    },
    derive_more::{Display, Error},
    http::{HeaderMap, Request},
    http_body_util::Full,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The header fields of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's id for this attempt.
    pub request_id: String,
    /// How long the caller waits for a response.
    pub deadline_ms: Option<DurationMs>,
    /// The API key that identifies the customer.
    pub api_key: Option<String>,
    /// The tokens of the prompt, by the caller's count; `None` if it sends no counts.
    pub prompt_tokens: Option<Tokens>,
    /// The most tokens of the answer; 0 if the caller names none.
    pub max_answer_tokens: Tokens,
    /// The prompt; `None` for a request that isn't for a model.
    pub prompt: Option<Prompt>,
    /// The id of the last event that the caller received of a stream that it wants resumed.
    pub last_event: Option<u64>,
    /// The id of the attempt that brought the first event of that stream.
    pub resumes: Option<String>,
}

impl RequestHead {
    /// The tokens of the prompt and the most of the answer together; `None` without counts.
    #[must_use]
    pub fn total_tokens(&self) -> Option<Tokens> {
        self.prompt_tokens
            .map(|prompt| Tokens(prompt.0.saturating_add(self.max_answer_tokens.0)))
    }
}

/// A description of a prompt by the ids and lengths of its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model's name.
    pub model: String,
    /// The prompt's parts in order. The last one belongs to this request only.
    pub parts: Vec<PromptPart>,
    /// The parts as the caller names them, for the log.
    pub part_names: String,
    /// The maximum length of the answer; 0 when the caller gives none.
    pub max_answer_tokens: Tokens,
}

/// The error of a request whose headers can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RequestHeadError {
    /// The request id is missing.
    #[display("the request has no id")]
    NoId,
    /// A header has an invalid value.
    #[display("a header of the request has an invalid value")]
    Malformed,
}

/// The values of the headers that the gateway sets on a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardHead<'a> {
    /// The instance id of the server's incarnation that must run the request.
    pub instance: &'a str,
    /// The time that is left for the response.
    pub deadline_ms: DurationMs,
    /// The customer's name; `None` when the caller's key identifies no customer.
    pub customer: Option<&'a str>,
    /// The id of the last event that the caller received; the stream resumes after it.
    pub last_event: Option<u64>,
    /// The values for a request to a model.
    pub model: Option<ModelForwardHead>,
}

/// The values of the headers that the gateway sets on a request to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelForwardHead {
    /// The cache salt. Only requests with the same one share cached KV entries.
    pub cache_scope: String,
    /// The weights version that the request must run on.
    pub weights: WeightsVersion,
    /// The scheduling priority; 0 is served first.
    pub priority: u8,
    /// The server from which the engine fetches cached parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The KV cache store to which the engine saves parts of the prompt after prefill.
    pub save_to: Option<SocketAddr>,
}

/// What a backend server says of itself with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerSignals {
    /// Whether it leaves and wants no new requests.
    pub is_leaving: bool,
    /// How long it wants no requests from this gateway.
    pub pause_ms: Option<DurationMs>,
}

/// What a backend server's response says of whether the request has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunClaim {
    /// Nothing: the request may have run.
    #[default]
    Unstated,
    /// Its status alone would tell a caller that the request has not run. The server doesn't say so.
    Implied,
    /// The server states that it has not run the request.
    NotRun,
    /// The server rejected the request because it is another incarnation than expected or has other weights.
    Misdirected,
}

impl RunClaim {
    /// Whether the server has not run the request, by its own statement.
    #[must_use]
    pub const fn is_refusal(self) -> bool {
        matches!(self, Self::NotRun | Self::Misdirected)
    }
}

/// The header fields of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// What the response says of whether the request has run.
    pub run_claim: RunClaim,
    /// The instance id of the incarnation that responded, if the server reports it.
    pub instance: Option<String>,
    /// The server's load, if it reports it.
    pub load: Option<Load>,
    /// What the server says of itself besides its load.
    pub signals: ServerSignals,
    /// Whether the response carries the server's signature.
    pub is_signed: bool,
}

/// The content of a row of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowUpdate {
    /// A version of the configuration.
    Routing(Box<RoutingTable>),
    /// The newest weights of a model.
    Weights {
        /// The model's name.
        model: String,
        /// The version of the weights.
        version: WeightsVersion,
    },
    /// The entry of a backend server.
    Backend(BackendSpec),
}

/// An order to an engine to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder<'a> {
    /// The instance id of the engine's incarnation.
    pub instance: &'a str,
    /// The model's name.
    pub model: &'a str,
    /// The version of the weights to load.
    pub version: WeightsVersion,
    /// The name of the gateway that holds the order lease.
    pub holder: &'a str,
    /// The fencing number of the lease.
    pub fencing: FencingNumber,
    /// The number of orders that the engine must have accepted so far for this one to apply.
    pub accepted: u64,
}

/// The state of a KV cache store, from its response to a long poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptStoreState {
    /// The store's incarnation. A restart changes it and empties the store.
    pub incarnation: u64,
    /// The value of `since` for the next poll.
    pub next: u64,
}

/// An engine's answer to a weights order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The engine loads the weights.
    Accepted,
    /// The engine already has the weights.
    Holds,
    /// The engine rejects the order.
    Refused,
}

/// Translates between the gateway's types and a platform's wire formats.
pub trait PlatformProtocol {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// When the request id is missing or a header has an invalid value.
    fn parse_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, RequestHeadError>;

    /// Parses the parts of a prompt, in the form of a caller's request.
    ///
    /// # Errors
    ///
    /// When a part has no valid length.
    fn parse_prompt_parts(&self, text: &str) -> Result<Vec<PromptPart>, RequestHeadError>;

    /// The headers to send to a backend server, from those of the caller's request and the gateway's
    /// own.
    fn forwarded_headers(&self, headers: &HeaderMap, head: &ForwardHead<'_>) -> HeaderMap;

    /// Parses the status and headers of a backend server's response.
    fn parse_response_head(&self, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// The headers to send to the caller, from those of a backend server's response.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The names of the tables in the platform's store that the gateway watches.
    fn watched_tables(&self) -> &'static [&'static str];

    /// The name of the watched table that lists the backend servers.
    fn servers_table(&self) -> &'static str;

    /// Parses a row of the platform's store. `None` for a row that is invalid or irrelevant to the
    /// gateway.
    fn parse_row(&self, table: &str, key: &str, value: &[u8]) -> Option<RowUpdate>;

    /// The instance id of the backend server that a row describes; `None` for any other row.
    fn backend_instance(&self, table: &str, key: &str) -> Option<String>;

    /// The request that orders an engine to load weights.
    fn weights_order_request(&self, order: &WeightsOrder<'_>) -> Request<Full<Bytes>>;

    /// Parses an engine's answer to a weights order.
    fn parse_order_answer(&self, status: u16) -> OrderAnswer;

    /// The request for a backend server's health at its service's path, which takes a slot at the server as
    /// others do. `None` if the path is invalid.
    fn health_request(&self, path: &str, instance: &str) -> Option<Request<Full<Bytes>>>;

    /// The request for an engine's state, which takes no slot.
    fn engine_state_request(&self, instance: &str) -> Request<Full<Bytes>>;

    /// Parses an engine's state for one model. `None` when the body is invalid or doesn't contain the
    /// model.
    fn parse_engine_state(&self, model: &str, body: &[u8]) -> Option<OrderState>;

    /// The long poll of a KV cache store for changes after `since`. The store responds when there is
    /// one, or after `wait_ms`.
    fn kept_store_request(&self, since: u64, wait_ms: DurationMs) -> Request<Full<Bytes>>;

    /// Parses a KV cache store's response to a long poll.
    fn parse_kept_store_state(&self, body: &[u8]) -> Option<KeptStoreState>;

    /// Whether a response to this kind of call is an event stream.
    fn is_event_stream(&self, kind: CallKind, status: u16, headers: &HeaderMap) -> bool;
}
