//! Builds the engines, services and requests of the gateway tests.

use {
    cactusspur_core::{
        DurationMs, TimeMs, Tokens, WeightsVersion, WorkerId,
        gateway::{
            self, AgeSource, AnnouncedAt, AnnouncedWeights, BackendSpec, BackendTable, CacheGroup,
            CacheScope, CachedParts, Choice, ChoiceContext, IsolatedSet, KeptStore, Load,
            ModelCall, PartState, PartUpdate, PromptPart, ServerStanding, ServiceSpec,
            choose_model, choose_plain, explain_model, explain_plain, hash_prefixes,
        },
    },
    std::net::SocketAddr,
};

pub const MODEL: &str = "model";
pub const ENGINES: &str = "engines";
pub const PLAIN: &str = "plain";
pub const DOMAIN: &str = "domain-0";
/// Long after time zero, so that unset timestamps don't count as recent.
pub const NOW: TimeMs = TimeMs(1_000_000);

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, 0, 1],
        8_000 + u16::try_from(number).expect("few servers"),
    ))
}

pub fn worker(number: usize) -> WorkerId {
    WorkerId::from_name(&instance(number))
}

pub fn instance(number: usize) -> String {
    format!("server-{number}")
}

pub fn spec(number: usize, service: &str, slots: u64) -> BackendSpec {
    BackendSpec {
        instance: instance(number),
        started_at_ms: 1,
        service: service.to_owned(),
        address: address(number),
        domain: DOMAIN.to_owned(),
        slots,
        is_ready: true,
        weights: vec![(MODEL.to_owned(), WeightsVersion(1))],
        software: None,
    }
}

/// A KV cache store in a failure domain.
pub fn kept_store(number: usize, domain: &str) -> KeptStore {
    KeptStore::new(address(500 + number), domain.to_owned())
}

pub fn service() -> ServiceSpec {
    ServiceSpec {
        name: ENGINES.to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 360,
        kv_bytes_per_token: 163_840,
        link_mbps: 740_000,
        kept_store: None,
    }
}

/// A prompt of named parts, with the maximum length of its answer.
#[derive(Clone, Debug)]
pub struct Prompt {
    pub parts: Vec<PromptPart>,
    pub max_answer_tokens: Tokens,
}

/// A prefill-heavy request: house rules, a design and a question, with a short answer.
pub fn long_prompt(design: u64, question: u64) -> Prompt {
    prompt(
        &[
            (1, 2_520),
            (100 + design, 3_780),
            (10_000 + question, 2_890),
        ],
        13,
    )
}

/// A decode-heavy request: a short prompt with a long answer.
pub fn short_prompt(design: u64, question: u64) -> Prompt {
    prompt(
        &[(2, 119), (5_000 + design, 79), (20_000 + question, 628)],
        73,
    )
}

fn prompt(parts: &[(u64, u64)], max_answer_tokens: u64) -> Prompt {
    let parts = parts.iter().map(|(id, tokens)| PromptPart {
        id: *id,
        tokens: Tokens(*tokens),
    });
    Prompt {
        parts: parts.collect(),
        max_answer_tokens: Tokens(max_answer_tokens),
    }
}

/// The state on which the gateway of one entry VM decides.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub backends: BackendTable,
    pub cached: CachedParts,
    pub announced: Vec<AnnouncedWeights>,
    pub kept_stores: Vec<KeptStore>,
    pub max_in_flight: Option<u64>,
    pub event_gap_ms: Option<DurationMs>,
    pub decode_heavy_requests: u64,
    pub random: u64,
}

impl World {
    pub fn with_engines(count: usize) -> Self {
        let mut world = Self::default();
        for number in 0..count {
            world.backends.upsert(spec(number, ENGINES, 64));
        }
        world
    }

    pub fn with_plain(count: usize, slots: u64) -> Self {
        let mut world = Self::default();
        for number in 0..count {
            world.backends.upsert(spec(number, PLAIN, slots));
        }
        world
    }

    pub fn announce(&mut self, version: u64, now: TimeMs) {
        self.announced.push(AnnouncedWeights {
            version: WeightsVersion(version),
            follows: WeightsVersion(version - 1),
            at: AnnouncedAt::NotBefore {
                at_ms: now,
                source: AgeSource::Store,
            },
            heard_at_ms: Some(now),
            grace_ms: DurationMs(10_000),
        });
    }

    pub fn report_load(&mut self, number: usize, running: u64, now: TimeMs) {
        let backend = self.backends.get_mut(worker(number)).expect("an engine");
        let load = Load {
            running,
            waiting: 0,
            limit: None,
            brittle: None,
        };
        backend.record_load(load, now);
    }

    pub fn choose(&self, prompt: &Prompt, now: TimeMs) -> Option<Choice> {
        self.choose_for(prompt, None, &[], now)
    }

    pub fn choose_for(
        &self,
        prompt: &Prompt,
        isolated_customer: Option<&str>,
        tried: &[WorkerId],
        now: TimeMs,
    ) -> Option<Choice> {
        let context = self.context(tried, now);
        self.with_call(prompt, isolated_customer, |call| {
            choose_model(&context, &service(), call)
        })
    }

    /// How the engines stand in the choice for a request.
    pub fn explain(&self, prompt: &Prompt, now: TimeMs) -> Vec<ServerStanding> {
        let context = self.context(&[], now);
        self.with_call(prompt, None, |call| {
            explain_model(&context, &service(), call)
        })
    }

    fn with_call<T, F>(&self, prompt: &Prompt, isolated_customer: Option<&str>, decide: F) -> T
    where
        F: FnOnce(&ModelCall<'_>) -> T,
    {
        let prefix_hashes = hash_prefixes(&prompt.parts);
        let stores: Vec<&KeptStore> = self.kept_stores.iter().collect();
        let call = ModelCall {
            model: MODEL,
            group: group(isolated_customer),
            parts: &prompt.parts,
            decode_heavy_requests: self.decode_heavy_requests,
            random: self.random,
            max_answer_tokens: prompt.max_answer_tokens,
            target_ms: DurationMs(800),
            event_gap_ms: self.event_gap_ms.unwrap_or(DurationMs(300)),
            prefix_hashes: &prefix_hashes,
            kept_stores: &stores,
            announced: &self.announced,
        };
        decide(&call)
    }

    pub fn choose_plain(&self, random: u64, now: TimeMs) -> Option<Choice> {
        choose_plain(&self.context(&[], now), PLAIN, random)
    }

    pub fn explain_plain(&self, random: u64, now: TimeMs) -> Vec<ServerStanding> {
        explain_plain(&self.context(&[], now), PLAIN, random)
    }

    fn context<'a>(&'a self, tried: &'a [WorkerId], now: TimeMs) -> ChoiceContext<'a> {
        ChoiceContext {
            backends: &self.backends,
            cached: &self.cached,
            domain: DOMAIN,
            tried,
            only: None,
            software: None,
            max_in_flight: self.max_in_flight.unwrap_or(u64::MAX),
            now,
        }
    }

    /// Records that a server has the shared parts of a prompt in its cache.
    pub fn record_cached(
        &mut self,
        prompt: &Prompt,
        worker: WorkerId,
        isolated_customer: Option<&str>,
        now: TimeMs,
    ) {
        for part in shared_keys(prompt, 1, isolated_customer) {
            let update = PartUpdate {
                part,
                worker,
                state: PartState::Cached,
            };
            self.cached.record(update, now);
        }
    }

    /// Records that a KV cache store has the shared parts of a prompt.
    pub fn record_stored(&mut self, prompt: &Prompt, store: &KeptStore, now: TimeMs) {
        for part in shared_keys(prompt, 1, None) {
            let update = PartUpdate {
                part,
                worker: store.id,
                state: PartState::Stored,
            };
            self.cached.record(update, now);
        }
    }

    /// Records that a request was sent to the chosen server.
    pub fn record_sent(&mut self, choice: &Choice, now: TimeMs) {
        let backend = self.backends.get_mut(choice.worker).expect("a server");
        backend.record_sent(choice.prefill_ms, now);
    }
}

/// The group of an isolated customer, or of all others while nobody is isolated.
pub fn group(isolated_customer: Option<&str>) -> CacheGroup<'_> {
    let common = CacheGroup::Common(IsolatedSet::default());
    isolated_customer.map_or(common, CacheGroup::Isolated)
}

/// The keys of the shared parts of a prompt.
pub fn shared_keys(prompt: &Prompt, weights: u64, isolated_customer: Option<&str>) -> Vec<u64> {
    let scope = CacheScope::new(MODEL, WeightsVersion(weights), group(isolated_customer));
    let prefix_hashes = hash_prefixes(&prompt.parts);
    gateway::shared_keys(scope, &prefix_hashes).collect()
}
