//! The shapes of traffic: customers, classes and prompts of the Trust and of Kitahama.

use {
    cactusspur_core::{
        Class, CreditGrant, Customer, CustomerId, Declarations, DurationMs, MicroCredits, Model,
        ServedBy, Tokens, WeightsVersion,
    },
    clap::ValueEnum,
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Whose traffic.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, ValueEnum, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Workload {
    /// The Heirloom Bands Trust: consultations about ring designs.
    #[display("trust")]
    Trust,
    /// Kitahama Reito Service: waves of calls about failing cold rooms.
    #[display("kitahama")]
    Kitahama,
}

/// A customer of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerShape {
    /// Its name.
    pub name: &'static str,
    /// Its share of the traffic, in hundredths.
    pub share: u32,
}

/// A class of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassShape {
    /// Its name.
    pub name: &'static str,
    /// The plain service that serves it; none when the model does.
    pub service: Option<&'static str>,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Its first-token target, in milliseconds.
    pub first_token_target_ms: u64,
    /// The shortest and longest answers, in tokens.
    pub answer_tokens: (u64, u64),
    /// Whether it may wait for a quieter time.
    pub deferrable: bool,
}

const fn customer(name: &'static str, share: u32) -> CustomerShape {
    CustomerShape { name, share }
}

const TRUST_CUSTOMERS: [CustomerShape; 8] = [
    customer("alder-advisors", 30),
    customer("bayside-advisors", 24),
    customer("cedar-couples", 16),
    customer("dune-jewellers", 6),
    customer("elm-jewellers", 6),
    customer("fern-volunteers", 6),
    customer("grove-volunteers", 6),
    customer("house-desk", 6),
];

const KITAHAMA_CUSTOMERS: [CustomerShape; 8] = [
    customer("sapporo-supermarkets", 32),
    customer("asahikawa-supermarkets", 22),
    customer("kushiro-fishery", 16),
    customer("sapporo-convenience", 6),
    customer("asahikawa-convenience", 6),
    customer("kushiro-warehouses", 6),
    customer("otaru-fishery", 6),
    customer("night-desk", 6),
];

const fn model_class(
    name: &'static str,
    first_token_target_ms: u64,
    answer_tokens: (u64, u64),
    deferrable: bool,
) -> ClassShape {
    ClassShape {
        name,
        service: None,
        idempotent: true,
        first_token_target_ms,
        answer_tokens,
        deferrable,
    }
}

const fn service_class(name: &'static str, service: &'static str, idempotent: bool) -> ClassShape {
    ClassShape {
        name,
        service: Some(service),
        idempotent,
        first_token_target_ms: SERVICE_TARGET_MS,
        answer_tokens: (0, 0),
        deferrable: false,
    }
}

const SERVICE_TARGET_MS: u64 = 500;

const TRUST_CLASSES: [ClassShape; 4] = [
    model_class("design-check", 250, (12, 24), false),
    model_class("ring-description", 800, (32, 56), true),
    service_class("saved-design", "application", true),
    service_class("stone-hold", "application", false),
];

const KITAHAMA_CLASSES: [ClassShape; 3] = [
    model_class("fault-triage", 800, (16, 32), false),
    model_class("technician-notes", 2_500, (48, 80), true),
    service_class("dispatch", "dispatch", false),
];

/// The whole that customers' shares are parts of.
const SHARE_WHOLE: u64 = 100;
const GRANT_MICROCREDITS: u64 = 1_000_000_000_000;
const MAX_COST_MICROCREDITS: u64 = 10_000_000;
const WEIGHTS_VERSION: WeightsVersion = WeightsVersion(1);

impl Workload {
    /// Its customers.
    #[must_use]
    pub const fn customers(self) -> &'static [CustomerShape] {
        match self {
            Self::Trust => &TRUST_CUSTOMERS,
            Self::Kitahama => &KITAHAMA_CUSTOMERS,
        }
    }

    /// Its classes.
    #[must_use]
    pub const fn classes(self) -> &'static [ClassShape] {
        match self {
            Self::Trust => &TRUST_CLASSES,
            Self::Kitahama => &KITAHAMA_CLASSES,
        }
    }

    /// The position of a class by its name.
    #[must_use]
    pub fn class(self, name: &str) -> Option<usize> {
        self.classes().iter().position(|class| class.name == name)
    }

    /// The model that serves its chats.
    #[must_use]
    pub fn model(self) -> Model {
        let name = match self {
            Self::Trust => "heirloom",
            Self::Kitahama => "kitahama",
        };
        Model {
            name: name.to_owned(),
            adapter: None,
            weights_version: WEIGHTS_VERSION,
        }
    }

    /// The plain service beside its engines.
    #[must_use]
    pub const fn service(self) -> &'static str {
        match self {
            Self::Trust => "application",
            Self::Kitahama => "dispatch",
        }
    }

    /// The names of its failure domains.
    #[must_use]
    pub const fn domains(self) -> &'static [&'static str] {
        match self {
            Self::Trust => &["d1", "d2", "d3"],
            Self::Kitahama => &["sapporo", "asahikawa", "kushiro", "obihiro"],
        }
    }

    /// Its plain services' servers.
    #[must_use]
    pub const fn service_count(self) -> usize {
        match self {
            Self::Trust => 3,
            Self::Kitahama => 4,
        }
    }

    /// Model requests a second in the steady state.
    #[must_use]
    pub const fn steady_rate(self) -> u32 {
        match self {
            Self::Trust => 100,
            Self::Kitahama => 48,
        }
    }

    /// The id of a customer by its position.
    #[must_use]
    pub fn customer_id(self, position: usize) -> CustomerId {
        CustomerId::from_name(self.customers()[position].name)
    }

    /// The declarations that an operator would write for it. Each customer has a part of each
    /// grant, as large as its share of the traffic.
    #[must_use]
    pub fn declarations(self, grants: &[CreditGrant]) -> Declarations {
        Declarations {
            models: vec![self.model()],
            customers: self
                .customers()
                .iter()
                .map(|customer| declared_customer(*customer, grants))
                .collect(),
            classes: self
                .classes()
                .iter()
                .map(|class| self.declared_class(*class))
                .collect(),
        }
    }

    fn declared_class(self, class: ClassShape) -> Class {
        let served_by = match class.service {
            Some(name) => ServedBy::Service {
                name: name.to_owned(),
                idempotent: class.idempotent,
            },
            None => ServedBy::Model {
                name: self.model().name,
                adapter: None,
                max_answer_tokens: Tokens(class.answer_tokens.1),
            },
        };
        Class {
            name: class.name.to_owned(),
            served_by,
            first_token_target_ms: DurationMs(class.first_token_target_ms),
            max_cost_microcredits: MicroCredits(MAX_COST_MICROCREDITS),
            deferrable: class.deferrable,
        }
    }
}

/// The API key of a customer of the load tool.
#[must_use]
pub fn api_key(customer: &str) -> String {
    format!("KEY-{customer}")
}

/// The part of an amount for all customers that one with this share gets.
#[must_use]
pub fn part_of(amount: u64, share: u32) -> u64 {
    amount / SHARE_WHOLE * u64::from(share)
}

fn declared_customer(customer: CustomerShape, grants: &[CreditGrant]) -> Customer {
    let part = |grant: &CreditGrant| {
        let amount = part_of(grant.amount_microcredits.0, customer.share);
        CreditGrant {
            amount_microcredits: MicroCredits(amount),
            ..grant.clone()
        }
    };
    Customer {
        name: customer.name.to_owned(),
        api_key_hashes: vec![
            blake3::hash(api_key(customer.name).as_bytes())
                .to_hex()
                .to_string(),
        ],
        credits: grants.iter().map(part).collect(),
    }
}

/// A grant that outlasts every run.
#[must_use]
pub fn lasting_grant(lapses_at_ms: cactusspur_core::TimeMs) -> CreditGrant {
    CreditGrant {
        name: "lasting".to_owned(),
        amount_microcredits: MicroCredits(GRANT_MICROCREDITS),
        lapses_at_ms,
    }
}
