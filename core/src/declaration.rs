//! Declarations of operators: models, services, customers, classes of work and credits.
//!
//! A declaration can't set a routing weight, name an engine or contain an address.

use {
    crate::{
        id::{ClassId, CustomerId, Generation, ModelId, ServiceId, WeightsVersion},
        unit::{DurationMs, MicroCredits, TimeMs, Tokens},
    },
    serde::{Deserialize, Serialize},
};

/// The declarations of operators, written in YAML and kept under version control.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// The models that classes may refer to, with their current weights.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The customers that may send requests.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// The classes of work that customers may request.
    #[serde(default)]
    pub classes: Vec<Class>,
}

/// A model with an optional adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the base model.
    pub name: String,
    /// The adapter applied to it, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The weights version that workers must serve.
    pub weights_version: WeightsVersion,
}

impl Model {
    /// The id of the model together with its adapter.
    #[must_use]
    pub fn id(&self) -> ModelId {
        ModelId::from_name(&format!(
            "{}/{}",
            self.name,
            self.adapter.as_deref().unwrap_or_default()
        ))
    }
}

/// A customer with its API keys and credits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The name that its id is derived from.
    pub name: String,
    /// BLAKE3 hashes of its API keys in lower-case hexadecimal.
    pub api_key_hashes: Vec<String>,
    /// Its credit grants; it is not limited by credits when there are none.
    #[serde(default)]
    pub credits: Vec<CreditGrant>,
}

impl Customer {
    /// The id derived from its name.
    #[must_use]
    pub fn id(&self) -> CustomerId {
        CustomerId::from_name(&self.name)
    }
}

/// A grant of credits that expires at a set time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreditGrant {
    /// Name of the grant, unique for the customer.
    pub name: String,
    /// The amount granted, in microcredits.
    pub amount_microcredits: MicroCredits,
    /// When it expires, in milliseconds since the Unix epoch.
    pub lapses_at_ms: TimeMs,
}

/// A class of work: what serves it, its first-token target and its cost limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name that callers send as the model.
    pub name: String,
    /// The model or service that serves it.
    #[serde(with = "serde_norway::with::singleton_map")]
    pub served_by: ServedBy,
    /// Time within which the first token (or a plain service's answer) must arrive.
    pub first_token_target_ms: DurationMs,
    /// Maximum cost of one request, in microcredits.
    pub max_cost_microcredits: MicroCredits,
    /// Whether the work may be deferred until load is lower.
    #[serde(default)]
    pub deferrable: bool,
}

impl Class {
    /// The id derived from its name.
    #[must_use]
    pub fn id(&self) -> ClassId {
        ClassId::from_name(&self.name)
    }
}

/// The kind of backend server that serves a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServedBy {
    /// Workers that have loaded a model.
    Model {
        /// Name of the base model.
        name: String,
        /// The adapter, if any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<String>,
        /// The longest answer that a request may ask for.
        max_answer_tokens: Tokens,
    },
    /// Plain services.
    Service {
        /// The service's name.
        name: String,
        /// Whether a call may safely be repeated.
        idempotent: bool,
    },
}

impl ServedBy {
    /// The id of the model; `None` for a service.
    #[must_use]
    pub fn model(&self) -> Option<ModelId> {
        match self {
            Self::Model { name, adapter, .. } => Some(ModelId::from_name(&format!(
                "{name}/{}",
                adapter.as_deref().unwrap_or_default()
            ))),
            Self::Service { .. } => None,
        }
    }

    /// The id of the service; `None` for a model.
    #[must_use]
    pub fn service(&self) -> Option<ServiceId> {
        match self {
            Self::Service { name, .. } => Some(ServiceId::from_name(name)),
            Self::Model { .. } => None,
        }
    }
}

/// Accepted declarations with their generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises by one with each accepted change.
    pub generation: Generation,
    /// The id that the operator's command assigned to the change. It shows whether the change was
    /// accepted when the answer is lost.
    pub change_id: String,
    /// When it was accepted, according to the clock of the operator's machine.
    pub accepted_at_ms: TimeMs,
    /// The declarations accepted.
    pub declarations: Declarations,
}
