//! Engines, services and calls to decide about.

use {
    cactusspur_core::{
        DurationMs, TimeMs, Tokens, WeightsVersion, WorkerId,
        gateway::{
            self, BackendSpec, BackendTable, CacheScope, CachedParts, Choice, HeldAs, KeptStore,
            Load, ModelCall, NamedWeights, PartNote, PromptPart, ServiceSpec, Surroundings,
            chain_of, choose_model, choose_plain,
        },
    },
    std::net::SocketAddr,
};

pub const MODEL: &str = "model";
pub const ENGINES: &str = "engines";
pub const PLAIN: &str = "plain";
pub const DOMAIN: &str = "domain-0";
/// Long after the start of the clock, so that nothing that is unset counts as recent.
pub const NOW: TimeMs = TimeMs(1_000_000);

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, 0, 1],
        8_000 + u16::try_from(number).expect("few servers"),
    ))
}

pub fn worker(number: usize) -> WorkerId {
    WorkerId::of(&instance(number))
}

pub fn instance(number: usize) -> String {
    format!("server-{number}")
}

pub fn spec(number: usize, service: &str, slots: u64) -> BackendSpec {
    BackendSpec {
        instance: instance(number),
        born_ms: 1,
        service: service.to_owned(),
        address: address(number),
        domain: DOMAIN.to_owned(),
        slots,
        is_ready: true,
        weights: vec![(MODEL.to_owned(), WeightsVersion(1))],
    }
}

/// A store of kept KV cache in a failure domain.
pub fn kept_store(number: usize, domain: &str) -> KeptStore {
    KeptStore::new(address(500 + number), domain.to_owned())
}

pub fn service() -> ServiceSpec {
    ServiceSpec {
        name: ENGINES.to_owned(),
        max_connections: 360,
        kv_bytes_per_token: 163_840,
        link_mbps: 740_000,
        kept_store: None,
    }
}

/// A prompt of named parts, with the longest answer.
#[derive(Clone, Debug)]
pub struct Prompt {
    pub parts: Vec<PromptPart>,
    pub max_answer: Tokens,
}

/// A long prompt with a short answer: house rules, a design, a question.
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

/// A short prompt with a long answer.
pub fn short_prompt(design: u64, question: u64) -> Prompt {
    prompt(
        &[(2, 119), (5_000 + design, 79), (20_000 + question, 628)],
        73,
    )
}

fn prompt(parts: &[(u64, u64)], max_answer: u64) -> Prompt {
    let parts = parts.iter().map(|(id, tokens)| PromptPart {
        id: *id,
        tokens: Tokens(*tokens),
    });
    Prompt {
        parts: parts.collect(),
        max_answer: Tokens(max_answer),
    }
}

/// What one entry VM believes.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub backends: BackendTable,
    pub cached: CachedParts,
    pub named: Vec<NamedWeights>,
    pub kept_stores: Vec<KeptStore>,
    pub max_in_flight: Option<u64>,
    pub writing: u64,
    pub draw: u64,
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

    pub fn name(&mut self, version: u64, at: TimeMs) {
        self.named.push(NamedWeights {
            version: WeightsVersion(version),
            heard_at_ms: at,
            permitted_ms: DurationMs(10_000),
        });
    }

    pub fn load(&mut self, number: usize, running: u64, now: TimeMs) {
        let backend = self.backends.get_mut(worker(number)).expect("an engine");
        let load = Load {
            running,
            waiting: 0,
        };
        backend.note_load(load, now);
    }

    pub fn choose(&self, prompt: &Prompt, now: TimeMs) -> Option<Choice> {
        self.choose_for(prompt, None, &[], now)
    }

    pub fn choose_for(
        &self,
        prompt: &Prompt,
        wall: Option<&str>,
        tried: &[WorkerId],
        now: TimeMs,
    ) -> Option<Choice> {
        let chain = chain_of(&prompt.parts);
        let stores: Vec<&KeptStore> = self.kept_stores.iter().collect();
        let call = ModelCall {
            model: MODEL,
            wall,
            parts: &prompt.parts,
            writing: self.writing,
            draw: self.draw,
            max_answer: prompt.max_answer,
            chain: &chain,
            kept_stores: &stores,
            named: &self.named,
        };
        choose_model(&self.around(tried, now), &service(), &call)
    }

    pub fn choose_plain(&self, draw: u64, now: TimeMs) -> Option<Choice> {
        choose_plain(&self.around(&[], now), PLAIN, draw)
    }

    fn around<'a>(&'a self, tried: &'a [WorkerId], now: TimeMs) -> Surroundings<'a> {
        Surroundings {
            backends: &self.backends,
            cached: &self.cached,
            domain: DOMAIN,
            tried,
            only: None,
            max_in_flight: self.max_in_flight.unwrap_or(u64::MAX),
            now,
        }
    }

    /// Notes that a server has read the shared parts of a prompt.
    pub fn note_read(
        &mut self,
        prompt: &Prompt,
        worker: WorkerId,
        wall: Option<&str>,
        now: TimeMs,
    ) {
        for part in shared_keys(prompt, 1, wall) {
            let note = PartNote {
                part,
                worker,
                held_as: HeldAs::Read,
            };
            self.cached.note(note, now);
        }
    }

    /// Notes that a store of kept KV cache has the shared parts of a prompt.
    pub fn note_kept(&mut self, prompt: &Prompt, store: &KeptStore, now: TimeMs) {
        for part in shared_keys(prompt, 1, None) {
            let note = PartNote {
                part,
                worker: store.id,
                held_as: HeldAs::Kept,
            };
            self.cached.note(note, now);
        }
    }

    /// Notes that a request was sent where it was to.
    pub fn note_sent(&mut self, choice: &Choice, now: TimeMs) {
        let backend = self.backends.get_mut(choice.worker).expect("a server");
        backend.note_sent(choice.reading_ms, now);
    }
}

/// The keys of the shared parts of a prompt.
pub fn shared_keys(prompt: &Prompt, weights: u64, wall: Option<&str>) -> Vec<u64> {
    let scope = CacheScope::of(MODEL, WeightsVersion(weights), wall);
    let chain = chain_of(&prompt.parts);
    gateway::shared_keys(scope, &chain).collect()
}
