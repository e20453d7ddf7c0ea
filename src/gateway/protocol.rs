//! What a platform's adapter translates for the gateway.

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

/// What a caller says in the head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The id of this attempt of the caller.
    pub request_id: String,
    /// How long the caller waits.
    pub deadline_ms: Option<DurationMs>,
    /// The key that names the customer.
    pub key: Option<String>,
    /// The prompt, of a request to a model.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of an earlier stream.
    pub last_event: Option<u64>,
}

/// A prompt whose parts are named instead of sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// Its parts in order. The last one is the request's own.
    pub parts: Vec<PromptPart>,
    /// The longest answer that the caller asks for.
    pub max_answer_tokens: Tokens,
}

/// The head of a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RequestHeadError {
    /// It has no id.
    #[display("the request has no id")]
    NoId,
    /// A field is not what it should be.
    #[display("a header of the request can't be read")]
    Malformed,
}

/// What goes along with a request that is sent to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardHead<'a> {
    /// The life of the server that it is meant for.
    pub instance: &'a str,
    /// How long the caller still waits.
    pub deadline_ms: DurationMs,
    /// The customer, if the caller named one.
    pub customer: Option<&'a str>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Of a request to a model.
    pub model: Option<ModelForwardHead>,
}

/// What goes along with a request to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelForwardHead {
    /// Names the requests that may share cached work.
    pub cache_scope: String,
    /// The weights that it must run on.
    pub weights: WeightsVersion,
    /// Its rank; 0 is the first.
    pub priority: u8,
    /// Where cached parts are fetched from.
    pub fetch_from: Option<SocketAddr>,
    /// Where parts are saved once they are read.
    pub save_to: Option<SocketAddr>,
}

/// What a backend server says in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The request that it belongs to.
    pub request_id: Option<String>,
    /// Whether the server states that it has not run the request.
    pub is_not_run: bool,
    /// Whether another life of a server has the address, or the weights differ.
    pub is_misdirected: bool,
    /// The life of the server that answered, if it says so.
    pub instance: Option<String>,
    /// Its load.
    pub load: Option<Load>,
    /// Whether the answer carries the server's signature.
    pub is_signed: bool,
}

/// Something that a row of the platform's store tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowUpdate {
    /// The configuration.
    Routing(Box<RoutingTable>),
    /// The newest weights of a model.
    Weights {
        /// The model.
        model: String,
        /// Their version.
        version: WeightsVersion,
    },
    /// A backend server.
    Backend(BackendSpec),
}

/// An order to an engine to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder<'a> {
    /// The life of the engine.
    pub instance: &'a str,
    /// The model.
    pub model: &'a str,
    /// The weights.
    pub version: WeightsVersion,
    /// Who orders.
    pub holder: &'a str,
    /// The number of the holder's term.
    pub fencing: FencingNumber,
    /// The orders that the engine must have accepted.
    pub accepted: u64,
}

/// What the store of kept KV cache tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptStoreState {
    /// Its life. A restart empties it.
    pub incarnation: u64,
    /// What to ask for next.
    pub next: u64,
}

/// What an engine answers to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// It is turned down.
    Refused,
}

/// Translates between the gateway's types and what the platform speaks.
pub trait PlatformProtocol {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// When the head can't be read.
    fn parse_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, RequestHeadError>;

    /// The headers of a caller's request as a backend server gets them.
    fn forwarded_headers(&self, headers: &HeaderMap, head: &ForwardHead<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn parse_response_head(&self, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// The headers of a backend server's answer as the caller gets them.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The tables of the platform's store to watch.
    fn watched_tables(&self) -> &'static [&'static str];

    /// Reads a row of the platform's store. `None` for a row that tells nothing.
    fn parse_row(&self, table: &str, key: &str, value: &[u8]) -> Option<RowUpdate>;

    /// The backend server that a row is about, if it is about one.
    fn backend_instance(&self, table: &str, key: &str) -> Option<String>;

    /// The order for weights, as a request to an engine.
    fn weights_order_request(&self, order: &WeightsOrder<'_>) -> Request<Full<Bytes>>;

    /// Reads an engine's answer to an order.
    fn parse_order_answer(&self, status: u16) -> OrderAnswer;

    /// A question for an engine's state, as a request to it.
    fn engine_state_request(&self, instance: &str) -> Request<Full<Bytes>>;

    /// Reads an engine's state.
    fn parse_engine_state(&self, model: &str, body: &[u8]) -> Option<OrderState>;

    /// A question to a store of kept KV cache for what changes there after `since`, held until
    /// something does or `wait_ms` have passed.
    fn kept_store_request(&self, since: u64, wait_ms: DurationMs) -> Request<Full<Bytes>>;

    /// Reads the answer: the life of the store and what to ask for next.
    fn parse_kept_store_state(&self, body: &[u8]) -> Option<KeptStoreState>;

    /// Whether an answer of this kind of call is a stream of events.
    fn is_event_stream(&self, kind: CallKind, status: u16, headers: &HeaderMap) -> bool;
}
