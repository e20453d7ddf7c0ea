//! Loads that were seen to hurt, each by the name of its pattern.

use {
    crate::fixture::{
        DOMAIN, ENGINES, NOW, World, kept_store, long_prompt, service, short_prompt, spec, worker,
    },
    cactusspur_core::{
        DurationMs, Tokens, WorkerId,
        gateway::{Fetch, Load, rendezvous_score},
    },
    std::collections::BTreeMap,
    test_case::test_case,
};

/// Sends `count` requests of a kind, one every `every_ms`, and counts where they went.
fn spread<F>(world: &mut World, count: u64, every_ms: u64, prompt: F) -> BTreeMap<WorkerId, u64>
where
    F: Fn(u64) -> crate::fixture::Prompt,
{
    let mut counts = BTreeMap::new();
    for number in 0..count {
        let now = NOW.after(DurationMs(number * every_ms));
        let choice = world.choose(&prompt(number), now).expect("an engine");
        world.note_sent(&choice, now);
        world.decode_heavy_requests += u64::from(choice.is_decode_heavy);
        world.random = rendezvous_score(number, choice.worker);
        // The queue that is estimated from sends is what is looked at here.
        let backend = world.backends.get_mut(choice.worker).expect("an engine");
        backend.record_prefill_ended(choice.prefill_ms);
        *counts.entry(choice.worker).or_default() += 1;
    }
    counts
}

/// Pattern: long prompts beside long answers. Reading makes the pauses of answers on the same
/// engine long, so the two go to different engines while there are enough.
#[test]
fn long_prompts_and_long_answers_keep_apart() {
    let mut world = World::with_engines(12);
    let writers = spread(&mut world, 60, 15, |number| short_prompt(number, number));
    assert!(
        writers.len() <= 4,
        "answers are written on {} engines",
        writers.len()
    );
    let readers = spread(&mut world, 8, 40, |number| long_prompt(number, number));
    let shared = readers.keys().filter(|engine| writers.contains_key(engine));
    assert_eq!(shared.count(), 0);
}

/// Pattern: many long answers. One engine is not filled to its last slot before the next is used.
#[test]
fn long_answers_spread_before_slots_run_out() {
    let mut world = World::with_engines(12);
    let writers = spread(&mut world, 200, 15, |number| short_prompt(number, number));
    let most = writers.values().max().copied().unwrap_or_default();
    assert!(most < 60, "{most} answers on one engine of 64 slots");
}

/// Pattern: a burst of cold prompts. Each entry VM counts what all have sent, so that a burst
/// does not queue up at one engine.
#[test]
fn a_burst_of_cold_prompts_spreads() {
    let mut world = World::with_engines(6);
    let readers = spread(&mut world, 18, 0, |number| long_prompt(number, number));
    let most = readers.values().max().copied().unwrap_or_default();
    assert!(most <= 4, "{most} of 18 cold prompts at one of 6 engines");
}

/// Pattern: a queue that other entry VMs made. Their sends count until the engine has had the
/// time to read them.
#[test]
fn sends_of_peers_count_until_they_are_read() {
    let mut world = World::with_engines(2);
    let prompt = long_prompt(1, 1);
    let home = world.choose(&prompt, NOW).expect("an engine").worker;
    let backend = world.backends.get_mut(home).expect("the home");
    backend.record_queued(DurationMs(950), NOW);
    let busy = world.choose(&prompt, NOW).expect("an engine").worker;
    assert_ne!(busy, home);
    let read = NOW.after(DurationMs(1_500));
    assert_eq!(world.choose(&prompt, read).expect("an engine").worker, home);
}

/// Pattern: many entry VMs, each of which sends little to any one engine. An engine that others
/// have filled is seen to be full by one that has never sent there.
#[test]
fn sends_and_loads_that_peers_tell_of_fill_an_engine() {
    let mut world = World::with_engines(12);
    let first = world.choose(&short_prompt(1, 1), NOW).expect("an engine");
    let writer = first.worker;
    let backend = world.backends.get_mut(writer).expect("an engine");
    for _ in 0..20 {
        backend.record_sent_by_peer(DurationMs(0), NOW);
    }
    assert_eq!(backend.occupancy(NOW), 20);
    let load = Load {
        running: 60,
        waiting: 4,
    };
    backend.record_load(load, NOW);
    assert_eq!(backend.occupancy(NOW), 64, "the load includes the sends");
    let next = world.choose(&short_prompt(1, 2), NOW).expect("an engine");
    assert_ne!(next.worker, writer);
}

/// Pattern: servers that never tell their load, under steady sends. What others sent counts for
/// about as long as an answer takes, and does not add up for ever.
#[test]
fn sends_to_a_server_that_tells_no_load_do_not_add_up() {
    let mut world = World::with_engines(1);
    let backend = world.backends.get_mut(worker(0)).expect("an engine");
    let mut now = NOW;
    for _ in 0..1_000 {
        backend.record_sent_by_peer(DurationMs(0), now);
        now = now.after(DurationMs(50));
    }
    // Twenty a second, for one to two seconds.
    let occupancy = backend.occupancy(now);
    assert!((20..=40).contains(&occupancy), "{occupancy}");
}

/// Pattern: an engine that was full when it was last heard. It is not taken for idle all at once.
#[test_case(900, 40; "just told")]
#[test_case(1_500, 30; "a while ago")]
#[test_case(2_000, 20; "longer ago")]
#[test_case(3_000, 10; "much longer ago")]
#[test_case(9_000, 0; "long ago")]
fn a_told_load_fades(age_ms: u64, expected: u64) {
    let mut world = World::with_engines(1);
    world.load(0, 40, NOW);
    let backend = world.backends.get(worker(0)).expect("an engine");
    assert_eq!(backend.occupancy(NOW.after(DurationMs(age_ms))), expected);
}

/// Pattern: a burst at a service whose servers accept few connections. What goes beyond an entry
/// VM's share is refused here at once; there it would be reset, and might have run.
#[test]
fn a_burst_keeps_to_the_connections_that_servers_accept() {
    let mut world = World::with_plain(3, 6);
    world.max_in_flight = Some(16);
    let mut sent = 0;
    while let Some(choice) = world.choose_plain(sent, NOW) {
        world.note_sent(&choice, NOW);
        sent += 1;
    }
    assert_eq!(sent, 48);
    let backend = world.backends.get_mut(worker(1)).expect("a server");
    backend.record_ended();
    assert_eq!(
        world.choose_plain(0, NOW).map(|c| c.worker),
        Some(worker(1))
    );
}

/// All entry VMs together stay within the limit, and each may send something.
#[test_case(6, 60; "a small deployment")]
#[test_case(58, 6; "a large one")]
#[test_case(1_000, 1; "more entry VMs than connections")]
fn entry_vms_share_the_connections(entry_vms: usize, expected: u64) {
    assert_eq!(service().max_in_flight(entry_vms), expected);
}

/// Pattern: capacity that crashed. Engines that can't be reached are left out at once, and what
/// they held is fetched from others or read elsewhere.
#[test]
fn crashed_capacity_is_left_out() {
    let mut world = World::with_engines(3);
    let prompt = long_prompt(1, 1);
    let home = world.choose(&prompt, NOW).expect("an engine").worker;
    world.note_read(&prompt, home, None, NOW);
    let backend = world.backends.get_mut(home).expect("the home");
    backend.record_unreachable(NOW);
    let choice = world.choose(&prompt, NOW).expect("an engine");
    assert_ne!(choice.worker, home);
    assert_eq!(choice.fetch, None, "a crashed engine is no source");
    let later = NOW.after(DurationMs(15_000));
    assert_eq!(
        world.choose(&prompt, later).expect("an engine").worker,
        home
    );
}

/// Pattern: all engines unreachable. One is tried all the same.
#[test]
fn the_last_engines_are_tried_though_they_failed() {
    let mut world = World::with_engines(2);
    for number in 0..2 {
        let backend = world.backends.get_mut(worker(number)).expect("an engine");
        backend.record_unreachable(NOW);
    }
    assert!(world.choose(&long_prompt(1, 1), NOW).is_some());
}

/// Pattern: more parts than the engines' memory holds. A copy on one more engine evicts something
/// else, so a short queue at the engine that holds a part is waited for.
#[test_case(80, true; "a short queue")]
#[test_case(600, false; "a long queue")]
fn a_part_is_copied_only_for_a_long_queue(queue_ms: u64, stays: bool) {
    let mut world = World::with_engines(4);
    let prompt = long_prompt(1, 1);
    let home = world.choose(&prompt, NOW).expect("an engine").worker;
    world.note_read(&prompt, home, None, NOW);
    let backend = world.backends.get_mut(home).expect("the home");
    backend.record_queued(DurationMs(queue_ms), NOW);
    let choice = world.choose(&long_prompt(1, 2), NOW).expect("an engine");
    assert_eq!(choice.worker == home, stays);
}

/// Pattern: a hot part. Where its home is busy, another engine fetches it instead of reading it.
#[test]
fn a_hot_part_is_fetched_where_its_home_is_busy() {
    let mut world = World::with_engines(4);
    let prompt = long_prompt(1, 1);
    let home = world.choose(&prompt, NOW).expect("an engine").worker;
    world.note_read(&prompt, home, None, NOW);
    let backend = world.backends.get_mut(home).expect("the home");
    backend.record_queued(DurationMs(710), NOW);
    let choice = world.choose(&long_prompt(1, 2), NOW).expect("an engine");
    assert_ne!(choice.worker, home);
    assert_eq!(choice.fetch, Some(Fetch::Engine(home)));
    assert_eq!(
        choice.prefill_tokens,
        Tokens(2_890),
        "only its own part is read"
    );
}

/// Pattern: new weights, for which nobody has read anything. Reading a part for the first time is
/// no repetition, so it is read on an idle engine instead of in a queue.
#[test]
fn only_what_somebody_holds_is_read_again() {
    let mut world = World::with_engines(2);
    let prompt = long_prompt(1, 1);
    let cold = world.choose(&prompt, NOW).expect("an engine");
    assert_eq!(cold.shared_prefill_tokens, Tokens(6_300));
    assert_eq!(cold.recomputed_tokens, Tokens(0));
    world.note_read(&prompt, cold.worker, None, NOW);
    let others = [cold.worker];
    let backend = world.backends.get_mut(cold.worker).expect("the home");
    backend.record_unreachable(NOW);
    let again = world.choose_for(&prompt, None, &others, NOW);
    assert_eq!(again.expect("an engine").recomputed_tokens, Tokens(6_300));
}

/// Pattern: eviction. A store of kept cache is named as a source also where nothing seems to be
/// lacking, and parts that it lacks are saved there.
#[test]
fn the_kept_store_backs_engines_that_evict() {
    let mut world = World::with_engines(4);
    let store = kept_store(0, DOMAIN);
    world.kept_stores.push(store.clone());
    let prompt = long_prompt(1, 1);
    let first = world.choose(&prompt, NOW).expect("an engine");
    assert_eq!(first.save_to, Some(store.id));
    world.note_read(&prompt, first.worker, None, NOW);
    world.note_kept(&prompt, &store, NOW);
    let again = world.choose(&long_prompt(1, 2), NOW).expect("an engine");
    assert_eq!(again.save_to, None);
    assert_eq!(again.worker, first.worker);
    assert_eq!(again.fetch, Some(Fetch::KeptStore(store.id)));
}

/// Engines in two failure domains, a store of kept KV cache in each.
fn two_domains() -> World {
    let mut world = World::default();
    for (number, domain) in [(0, DOMAIN), (1, "domain-1")] {
        let mut spec = spec(number, ENGINES, 64);
        domain.clone_into(&mut spec.domain);
        world.backends.upsert(spec);
        world.kept_stores.push(kept_store(number, domain));
    }
    world
}

/// Pattern: more parts than one store of kept cache holds. Each engine saves to the store of its
/// own failure domain, so that homes spread over all stores, and each part is saved once.
#[test]
fn parts_spread_over_the_stores_of_all_domains() {
    let mut world = two_domains();
    for number in 0..2 {
        let only = worker(number);
        let others = [worker(1 - number)];
        let prompt = long_prompt(1, 1);
        let choice = world.choose_for(&prompt, None, &others, NOW);
        let choice = choice.expect("an engine");
        assert_eq!(choice.worker, only);
        assert_eq!(choice.save_to, Some(world.kept_stores[number].id));
    }
    let store = world.kept_stores[1].clone();
    world.note_kept(&long_prompt(1, 1), &store, NOW);
    let choice = world.choose_for(&long_prompt(1, 2), None, &[worker(1)], NOW);
    let choice = choice.expect("an engine");
    assert_eq!(choice.save_to, None, "a store has it already");
    assert_eq!(choice.fetch, Some(Fetch::KeptStore(store.id)));
}

/// Pattern: transfers between failure domains, which take longer. Of two stores that have all
/// parts, the near one is the source.
#[test]
fn the_near_store_is_the_source() {
    let mut world = two_domains();
    let prompt = long_prompt(1, 1);
    for store in world.kept_stores.clone() {
        world.note_kept(&prompt, &store, NOW);
    }
    for number in 0..2 {
        let choice = world.choose_for(&prompt, None, &[worker(1 - number)], NOW);
        let fetch = choice.expect("an engine").fetch;
        assert_eq!(fetch, Some(Fetch::KeptStore(world.kept_stores[number].id)));
    }
}

/// Pattern: a store of kept cache that fell silent. It is neither a source nor written to.
#[test]
fn a_silent_store_is_not_named() {
    let mut world = two_domains();
    let prompt = long_prompt(1, 1);
    let silent = world.kept_stores.remove(0);
    world.note_kept(&prompt, &silent, NOW);
    let choice = world.choose_for(&prompt, None, &[worker(1)], NOW);
    let choice = choice.expect("an engine");
    assert_eq!(choice.worker, worker(0));
    assert_eq!(choice.fetch, None);
    assert_eq!(choice.save_to, Some(world.kept_stores[0].id));
}

/// Pattern: weights that change under load. Old weights are used while they are permitted, and
/// engines that load get nothing.
#[test_case(0, true; "just named")]
#[test_case(8_000, true; "still permitted")]
#[test_case(9_500, false; "a request might begin too late")]
fn old_weights_are_used_while_they_are_permitted(age_ms: u64, expected: bool) {
    let mut world = World::with_engines(2);
    world.name(2, NOW);
    let now = NOW.after(DurationMs(age_ms));
    assert_eq!(world.choose(&long_prompt(1, 1), now).is_some(), expected);
}

/// Pattern: a queue at an engine with old weights. A request that waits there too long is not to
/// begin at all, so the engine is told to stop before its weights are no longer permitted.
#[test]
fn an_engine_with_old_weights_is_told_when_to_stop() {
    let mut world = World::with_engines(2);
    let fresh = world.choose(&long_prompt(1, 1), NOW).expect("an engine");
    assert_eq!(fresh.limit_ms, None);
    world.name(2, NOW);
    let now = NOW.after(DurationMs(8_000));
    let old = world.choose(&long_prompt(1, 1), now).expect("an engine");
    assert_eq!(old.limit_ms, Some(DurationMs(1_700)));
}

#[test]
fn the_first_newer_weights_end_the_time_of_older_ones() {
    let mut world = World::with_engines(2);
    world.name(2, NOW);
    world.name(3, NOW.after(DurationMs(8_000)));
    let now = NOW.after(DurationMs(9_500));
    assert_eq!(world.choose(&long_prompt(1, 1), now), None);
}

#[test]
fn engines_that_load_get_nothing() {
    let mut world = World::with_engines(2);
    let prompt = long_prompt(1, 1);
    let home = world.choose(&prompt, NOW).expect("an engine").worker;
    let backend = world.backends.get_mut(home).expect("the home");
    backend.loading_until_ms = NOW.after(DurationMs(500));
    assert_ne!(world.choose(&prompt, NOW).expect("an engine").worker, home);
}

/// Pattern: a server that fails while its health is good. Its share falls with its failures, and
/// returns.
#[test]
fn a_failing_server_is_avoided_and_forgiven() {
    let mut world = World::with_plain(3, 6);
    let failing = worker(0);
    for _ in 0..6 {
        let backend = world.backends.get_mut(failing).expect("a server");
        backend.record_result(false, NOW);
    }
    let chosen = |now| {
        let draws = (0..300).filter_map(|draw| world.choose_plain(draw, now));
        draws.filter(|choice| choice.worker == failing).count()
    };
    assert_eq!(chosen(NOW), 0);
    assert!(chosen(NOW.after(DurationMs(60_000))) > 50);
}

/// Pattern: equal stale views. Idle servers share requests evenly over draws.
#[test]
fn idle_servers_share_evenly() {
    let world = World::with_plain(3, 6);
    for number in 0..3 {
        let draws = (0..300).filter_map(|draw| world.choose_plain(draw, NOW));
        let count = draws
            .filter(|choice| choice.worker == worker(number))
            .count();
        assert!(
            (70..=130).contains(&count),
            "server {number}: {count} of 300"
        );
    }
}

/// Pattern: an engine that tells a high load. Long prompts go elsewhere.
#[test]
fn told_load_counts() {
    let mut world = World::with_engines(2);
    let prompt = long_prompt(1, 1);
    let home = world.choose(&prompt, NOW).expect("an engine").worker;
    let number = (0..2)
        .find(|number| worker(*number) == home)
        .expect("a number");
    world.load(number, 60, NOW);
    assert_ne!(world.choose(&prompt, NOW).expect("an engine").worker, home);
}
