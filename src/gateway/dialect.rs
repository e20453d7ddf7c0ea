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
pub struct CallHead {
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
    pub max_answer: Tokens,
}

/// The head of a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum HeadError {
    /// It has no id.
    #[display("the request has no id")]
    NoId,
    /// A field is not what it should be.
    #[display("a header of the request can't be read")]
    Malformed,
}

/// What goes along with a request that is sent to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendHead<'a> {
    /// The life of the server that it is meant for.
    pub instance: &'a str,
    /// How long the caller still waits.
    pub deadline_ms: DurationMs,
    /// The customer, if the caller named one.
    pub customer: Option<&'a str>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Of a request to a model.
    pub model: Option<ModelHead>,
}

/// What goes along with a request to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelHead {
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
pub struct AnswerHead {
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
pub enum Update {
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
pub struct KeptState {
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
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// When the head can't be read.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, HeadError>;

    /// The headers of a caller's request as a backend server gets them.
    fn forward(&self, headers: &HeaderMap, head: &SendHead<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn read_answer(&self, status: u16, headers: &HeaderMap) -> AnswerHead;

    /// The headers of a backend server's answer as the caller gets them.
    fn give_back(&self, headers: &HeaderMap) -> HeaderMap;

    /// The tables of the platform's store to watch.
    fn tables(&self) -> &'static [&'static str];

    /// Reads a row of the platform's store. `None` for a row that tells nothing.
    fn read_row(&self, table: &str, key: &str, value: &[u8]) -> Option<Update>;

    /// The backend server that a row is about, if it is about one.
    fn backend_of_row(&self, table: &str, key: &str) -> Option<String>;

    /// The order for weights, as a request to an engine.
    fn order(&self, order: &WeightsOrder<'_>) -> Request<Full<Bytes>>;

    /// Reads an engine's answer to an order.
    fn read_order_answer(&self, status: u16) -> OrderAnswer;

    /// A question for an engine's state, as a request to it.
    fn ask_state(&self, instance: &str) -> Request<Full<Bytes>>;

    /// Reads an engine's state.
    fn read_state(&self, model: &str, body: &[u8]) -> Option<OrderState>;

    /// A question to a store of kept KV cache for what changes there after `since`, held until
    /// something does or `wait_ms` have passed.
    fn ask_kept(&self, since: u64, wait_ms: DurationMs) -> Request<Full<Bytes>>;

    /// Reads the answer: the life of the store and what to ask for next.
    fn read_kept(&self, body: &[u8]) -> Option<KeptState>;

    /// Whether an answer of this kind of call is a stream of events.
    fn is_event_stream(&self, kind: CallKind, status: u16, headers: &HeaderMap) -> bool;
}
