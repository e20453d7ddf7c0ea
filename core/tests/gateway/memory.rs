//! Loads that need more memory than one engine has.

use {
    crate::fixture::{
        ENGINES, NOW, Prompt, World, long_prompt, shared_keys, short_prompt, spec, worker,
    },
    cactusspur_core::{
        DurationMs, TimeMs, Tokens, WorkerId,
        gateway::{Choice, EngineMemory, MemoryNeed, PartState, PartUpdate, TokenBlocks},
    },
    std::collections::{BTreeMap, BTreeSet},
    test_case::test_case,
};

/// Room for three long prompts without common parts, and for four with the same first one.
const MEMORY: Tokens = Tokens(30_000);

fn need(prompt: &Prompt) -> MemoryNeed {
    let keys = shared_keys(prompt, 1, None);
    MemoryNeed::new(&keys, &prompt.parts, prompt.max_answer_tokens)
}

fn world(engines: usize) -> World {
    World {
        memory_tokens: Some(MEMORY),
        ..World::with_engines(engines)
    }
}

/// Records a request of the world's own gateway.
fn start(world: &mut World, prompt: &Prompt, choice: &Choice, request: u64, now: TimeMs) {
    world.record_sent(choice, now);
    let backend = world.backends.get_mut(choice.worker).expect("an engine");
    backend.memory.record_started(request, need(prompt), now);
}

/// Records a request that another gateway told of.
fn hear(world: &mut World, worker: WorkerId, prefill_ms: DurationMs, tokens: Tokens, now: TimeMs) {
    let backend = world.backends.get_mut(worker).expect("an engine");
    backend.record_sent_by_peer(prefill_ms, now);
    let blocks = TokenBlocks::from(tokens);
    backend.memory.record_sent_by_peer(blocks.into(), now);
}

/// What gateways see of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sight {
    All,
    OwnRequests,
    Nothing,
}

/// What the requests at one engine hold.
#[derive(Clone, Debug, Default)]
struct Engine {
    shared: BTreeSet<u64>,
    held: u64,
}

impl Engine {
    fn added(&self, prompt: &Prompt) -> u64 {
        let mut keys = shared_keys(prompt, 1, None).into_iter();
        let parts = prompt.parts.iter();
        let parts = parts.filter(|_| keys.next().is_none_or(|key| !self.shared.contains(&key)));
        parts.map(|part| part.tokens.0).sum::<u64>() + prompt.max_answer_tokens.0
    }

    fn fits(&self, prompt: &Prompt) -> bool {
        self.held + self.added(prompt) <= MEMORY.0
    }
}

/// Counts the requests of four gateways that are placed where they don't fit while another of twelve
/// engines has room.
fn misplaced(sight: Sight, prompts: &[Prompt]) -> usize {
    let mut gateways: Vec<World> = (0..4).map(|_| world(12)).collect();
    if sight == Sight::Nothing {
        for gateway in &mut gateways {
            gateway.memory_tokens = None;
        }
    }
    let ids = (0..12).map(|number| (worker(number), Engine::default()));
    let mut engines: BTreeMap<WorkerId, Engine> = ids.collect();
    let mut count = 0;
    for (number, prompt) in (0..).zip(prompts) {
        let sender = usize::try_from(number).expect("few requests") % 4;
        let choice = gateways[sender].choose(prompt, NOW).expect("an engine");
        let others_fit = engines.values().any(|engine| engine.fits(prompt));
        let engine = engines.get_mut(&choice.worker).expect("an engine");
        count += usize::from(others_fit && !engine.fits(prompt));
        engine.held += engine.added(prompt);
        engine.shared.extend(shared_keys(prompt, 1, None));
        start(&mut gateways[sender], prompt, &choice, number, NOW);
        let informed = gateways.iter_mut().enumerate();
        for (_, gateway) in informed.filter(|(other, _)| *other != sender) {
            if sight == Sight::OwnRequests {
                continue;
            }
            let tokens = choice.memory_tokens;
            hear(gateway, choice.worker, choice.prefill_ms, tokens, NOW);
        }
        for gateway in &mut gateways {
            for part in shared_keys(prompt, 1, None) {
                let update = PartUpdate {
                    part,
                    worker: choice.worker,
                    state: PartState::Prefilling,
                };
                gateway.cached.record(update, NOW);
            }
        }
    }
    count
}

/// Bursts of long prompts at engines with little memory. The faults that are planted, gateways that see
/// only their own requests or no memory at all, must be caught.
#[test_case(Sight::All, 12, 30 => true; "many designs")]
#[test_case(Sight::All, 1, 80 => true; "one design")]
#[test_case(Sight::OwnRequests, 12, 30 => false; "planted, own requests only")]
#[test_case(Sight::Nothing, 1, 80 => false; "planted, no sight of memory")]
fn a_burst_of_long_prompts_fits(sight: Sight, designs: u64, count: u64) -> bool {
    let prompts = (0..count).map(|number| long_prompt(number % designs, number));
    misplaced(sight, &prompts.collect::<Vec<_>>()) == 0
}

/// Requests of other gateways fill an engine until they decay or its report leaves them out.
#[test_case(None, 3_000; "their ends aren't told")]
#[test_case(Some(0), 10; "the engine reports that it is idle")]
fn sends_of_others_fill_an_engine(reported: Option<u64>, later_ms: u64) {
    let mut world = world(2);
    let prompt = long_prompt(1, 1);
    let home = world.choose(&prompt, NOW).expect("an engine").worker;
    for _ in 0..3 {
        hear(&mut world, home, DurationMs(0), Tokens(9_203), NOW);
    }
    assert_ne!(world.choose(&prompt, NOW).map(|c| c.worker), Some(home));
    let later = NOW.after(DurationMs(later_ms));
    if let Some(running) = reported {
        let number = (0..2).find(|number| worker(*number) == home);
        world.report_load(number.expect("the home"), running, later);
    }
    assert_eq!(world.choose(&prompt, later).map(|c| c.worker), Some(home));
}

/// The notices of other gateways are lost, and only the engine's report tells of their requests.
#[test]
fn reported_requests_count_without_notices() {
    let mut world = world(2);
    let prompt = long_prompt(1, 1);
    let home = world.choose(&prompt, NOW).expect("an engine").worker;
    let number = (0..2).find(|number| worker(*number) == home);
    world.report_load(number.expect("the home"), 12, NOW);
    let choice = world.choose(&prompt, NOW).expect("an engine");
    assert_ne!(choice.worker, home);
    assert!(choice.has_room);
}

/// Nothing fits anywhere: the wait is predicted, no longer than requests stay, and ends free memory.
#[test]
fn ends_free_memory() {
    let mut world = world(1);
    let mut later = NOW;
    for request in 0..4 {
        let prompt = long_prompt(request, request);
        let choice = world.choose(&prompt, NOW).expect("an engine");
        start(&mut world, &prompt, &choice, request, NOW);
        let backend = world.backends.get_mut(choice.worker).expect("an engine");
        backend.record_prefill_ended(choice.prefill_ms);
        later = later.after(choice.prefill_ms);
    }
    let prompt = long_prompt(9, 9);
    let full = world.choose(&prompt, later).expect("an engine");
    assert!(!full.has_room && full.queue_ms > DurationMs(0) && full.queue_ms < DurationMs(1_000));
    assert!(full.first_token_ms >= full.queue_ms + full.prefill_ms);
    for request in 0..2 {
        let backend = world.backends.get_mut(worker(0)).expect("an engine");
        backend.memory.record_ended(request, true, later);
        backend.record_ended();
    }
    let free = world.choose(&prompt, later).expect("an engine");
    assert!(free.has_room && free.queue_ms == DurationMs(0));
}

/// A prompt that no engine can hold goes to none; one that fits without its longest answer does.
#[test_case(30_000 => false; "as large as the memory")]
#[test_case(29_000 => true; "smaller")]
fn a_huge_prompt_is_sent_nowhere(tokens: u64) -> bool {
    let mut prompt = short_prompt(1, 1);
    prompt.parts.truncate(1);
    prompt.parts[0].tokens = Tokens(tokens);
    prompt.max_answer_tokens = Tokens(8_000);
    world(3).choose(&prompt, NOW).is_some()
}

/// A broken engine holds nothing. It must not attract what the others can't hold.
#[test]
fn failing_engines_attract_nothing() {
    let mut world = world(2);
    for _ in 0..4 {
        hear(&mut world, worker(0), DurationMs(0), Tokens(9_000), NOW);
        let failing = world.backends.get_mut(worker(1)).expect("an engine");
        failing.record_result(false, NOW);
    }
    let choice = world.choose(&long_prompt(1, 1), NOW).expect("an engine");
    assert_eq!(choice.worker, worker(0));
}

/// Parts that were used lately yield to requests, unless the request uses them itself.
#[test]
fn cached_parts_in_use_count_against_an_engine() {
    let mut memory = EngineMemory::default();
    memory.record_started(1, need(&long_prompt(1, 1)), NOW);
    memory.record_ended(1, true, NOW);
    let room = |prompt: &Prompt, capacity| memory.room(&need(prompt), capacity, 0, NOW);
    assert_eq!(
        room(&long_prompt(1, 2), Tokens(9_500)).evicted_tokens,
        Tokens(0)
    );
    let other = room(&long_prompt(2, 2), Tokens(10_203));
    assert!(other.fits());
    assert_eq!(other.evicted_tokens, Tokens(2_780));
}

/// An engine restarts while requests are there, whose ends come after it.
#[test]
fn a_restart_empties_an_engine() {
    let mut world = world(1);
    let prompt = long_prompt(1, 1);
    let choice = world.choose(&prompt, NOW).expect("an engine");
    start(&mut world, &prompt, &choice, 1, NOW);
    let mut restarted = spec(0, ENGINES, 64);
    restarted.started_at_ms = 2;
    world.backends.upsert(restarted);
    let backend = world.backends.get_mut(worker(0)).expect("an engine");
    backend.memory.record_started(2, need(&prompt), NOW);
    backend.memory.record_ended(1, false, NOW);
    assert_eq!(backend.memory.held_tokens(0, Tokens(0)), Tokens(9_203));
}
