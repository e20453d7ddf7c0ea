//! What operators declare: models, services, customers, classes of work and credits.
//!
//! Nothing here can set a weight, name an engine or give an address.

use {
    crate::{
        id::{ClassId, CustomerId, Generation, ModelId, ServiceId, WeightsVersion},
        unit::{DurationMs, MicroCredits, TimeMs, Tokens},
    },
    serde::{Deserialize, Serialize},
};

/// All that operators declare, as written in YAML and kept under version control.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// The models that may be asked for, with the weights in force.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The customers.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// The classes of work.
    #[serde(default)]
    pub classes: Vec<Class>,
}

/// A model with an optional adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// The adapter on top of it, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The weights version that workers are to serve.
    pub weights_version: WeightsVersion,
}

impl Model {
    /// The id of the model with its adapter.
    #[must_use]
    pub fn id(&self) -> ModelId {
        ModelId::from_name(&format!(
            "{}/{}",
            self.name,
            self.adapter.as_deref().unwrap_or_default()
        ))
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// The lower-case hexadecimal BLAKE3 hashes of its API keys.
    pub api_key_hashes: Vec<String>,
    /// Its credits.
    #[serde(default)]
    pub credits: Vec<CreditGrant>,
}

impl Customer {
    /// Its id.
    #[must_use]
    pub fn id(&self) -> CustomerId {
        CustomerId::from_name(&self.name)
    }
}

/// Credits that lapse at a set time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreditGrant {
    /// Its name, unique for the customer.
    pub name: String,
    /// How much was granted, in microcredits.
    pub amount_microcredits: MicroCredits,
    /// When it lapses, in milliseconds since the Unix epoch.
    pub lapses_at_ms: TimeMs,
}

/// A class of work: a first-token target and a cost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, which callers give as the model.
    pub name: String,
    /// What serves it.
    #[serde(with = "serde_norway::with::singleton_map")]
    pub served_by: ServedBy,
    /// How quickly the first token (or a plain service's answer) must arrive.
    pub first_token_target_ms: DurationMs,
    /// What one request may cost at the most, in microcredits.
    pub max_cost_microcredits: MicroCredits,
    /// Whether the work may wait for a quieter time.
    #[serde(default)]
    pub deferrable: bool,
}

impl Class {
    /// Its id.
    #[must_use]
    pub fn id(&self) -> ClassId {
        ClassId::from_name(&self.name)
    }
}

/// What kind of backend server serves a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServedBy {
    /// Model workers.
    Model {
        /// The model's name.
        name: String,
        /// The adapter, if any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        adapter: Option<String>,
        /// The longest answer that one request may ask for.
        max_answer_tokens: Tokens,
    },
    /// Plain services.
    Service {
        /// The service's name.
        name: String,
        /// Whether a call may be repeated.
        idempotent: bool,
    },
}

impl ServedBy {
    /// The model that serves it, if a model does.
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

    /// The service that serves it, if a plain service does.
    #[must_use]
    pub fn service(&self) -> Option<ServiceId> {
        match self {
            Self::Service { name, .. } => Some(ServiceId::from_name(name)),
            Self::Model { .. } => None,
        }
    }
}

/// Declarations that were accepted, with their number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number.
    pub generation: Generation,
    /// The id that the operator's command gave the change, to settle a lost answer by.
    pub change_id: String,
    /// When it was accepted, by the clock of the operator's machine.
    pub accepted_at_ms: TimeMs,
    /// What was declared.
    pub declarations: Declarations,
}
