//! Settings, declarations and events shared by several test files.
#![allow(dead_code, reason = "each test file uses a part")]

use {
    bytes::Bytes,
    cactusspur_core::{
        Arrival, Class, ClassId, Configuration, Core, CoreSettings, Customer, CustomerId,
        Declarations, DomainId, DurationMs, EntryId, Generation, Incarnation, LoadReport,
        MicroCredits, Model, ModelId, RequestId, ServedBy, TimeMs, Tokens, TokensPerSecond, Vm,
        VmRole, WeightsVersion, WorkerId,
    },
};

/// A class served by the model.
pub const CHAT: &str = "chat";
/// A class of idempotent service calls.
pub const READ: &str = "read";
/// A class of service calls that must not be repeated.
pub const DISPATCH: &str = "dispatch";
/// The declared customers.
pub const CUSTOMERS: [&str; 2] = ["trust", "kitahama"];

/// A core of an entry VM process with the given incarnation.
pub fn core(entry: &str, domain: &str, incarnation: u64) -> Core {
    Core::new(CoreSettings {
        entry: EntryId::from_name(entry),
        domain: DomainId::from_name(domain),
        incarnation,
        max_requests: 1_000,
    })
}

/// The configuration of a generation; every third generation declares new weights.
pub fn configuration(generation: u64) -> Configuration {
    let service = |name: &str, idempotent| Class {
        name: name.into(),
        served_by: ServedBy::Service {
            name: name.into(),
            idempotent,
        },
        first_token_target_ms: DurationMs(1_000),
        max_cost_microcredits: MicroCredits(1_000_000),
        deferrable: false,
    };
    let chat = Class {
        name: CHAT.into(),
        served_by: ServedBy::Model {
            name: "model".into(),
            adapter: None,
            max_answer_tokens: Tokens(1_000),
        },
        ..service(CHAT, true)
    };
    let customers = CUSTOMERS.iter().map(|name| Customer {
        name: (*name).into(),
        api_key_hashes: Vec::new(),
        credits: Vec::new(),
    });
    Configuration {
        generation: Generation(generation),
        change_id: format!("change-{generation}"),
        accepted_at_ms: TimeMs(generation),
        declarations: Declarations {
            models: vec![Model {
                name: "model".into(),
                adapter: None,
                weights_version: weights(generation),
            }],
            customers: customers.collect(),
            classes: vec![chat, service(READ, true), service(DISPATCH, false)],
        },
    }
}

/// The weights version that a generation declares.
pub fn weights(generation: u64) -> WeightsVersion {
    WeightsVersion(1 + generation / 3)
}

/// Id of the model that serves [`CHAT`].
pub fn model() -> ModelId {
    ModelId::from_name("model/")
}

/// A VM in the platform's list: a plain service when `service` is given, otherwise an engine.
pub fn vm(name: &str, domain: &str, service: Option<&str>, leaving: bool) -> Vm {
    Vm {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        failure_domain: domain.into(),
        role: service.map_or(VmRole::Engine, |name| VmRole::Service { name: name.into() }),
        leaving,
    }
}

/// The load report of an idle worker. `loaded` is an engine's weights version of the model.
pub fn load(
    worker: &str,
    incarnation: u64,
    at_ms: TimeMs,
    loaded: Option<WeightsVersion>,
) -> LoadReport {
    LoadReport {
        worker: WorkerId::from_name(worker),
        incarnation: Incarnation(incarnation),
        observed_at_ms: at_ms,
        queued_tokens: Tokens(0),
        running: 0,
        slots: 64,
        prefill_rate: TokensPerSecond(100_000),
        import_rate: TokensPerSecond(0),
        price_microcredits: MicroCredits(1),
        models: loaded
            .map(|weights| (model(), weights))
            .into_iter()
            .collect(),
        cache_pieces: 64,
    }
}

/// A request whose prompt consists of `levels`.
pub fn arrival(request: u64, customer: &str, class: &str, levels: &[&str]) -> Arrival {
    Arrival {
        request: RequestId(request),
        customer: CustomerId::from_name(customer),
        class: ClassId::from_name(class),
        levels: levels
            .iter()
            .map(|text| Bytes::copy_from_slice(text.as_bytes()))
            .collect(),
        max_answer_tokens: Tokens(100),
        idempotency_key: None,
        body_hash: 1,
    }
}
