//! What operators are told of the choice of a server.

use {
    crate::fixture::{ENGINES, NOW, World, long_prompt, short_prompt, spec, worker},
    cactusspur_core::{
        DurationMs, WeightsVersion, WorkerId,
        gateway::{Backend, Exclusion, LimitShare, Load, ServerStanding, Standing},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// The cheapest of the servers that were compared.
fn cheapest(rows: &[ServerStanding]) -> Option<WorkerId> {
    let compared = rows.iter().filter_map(|row| match row.standing {
        Standing::Eligible {
            cost_ms,
            is_compared: true,
            choice,
        } => Some((cost_ms, choice.worker)),
        _ => None,
    });
    compared.min_by_key(|row| row.0).map(|row| row.1)
}

/// An explanation that was worked out apart from the choice would sooner or later name another server
/// than the one that requests go to, under the loads at which operators ask.
#[test]
fn the_cheapest_compared_server_is_the_chosen_one() {
    let mut random = StdRng::seed_from_u64(7);
    for round in 0..200 {
        let mut world = World::with_engines(40);
        world.random = round;
        for number in 0..40 {
            world.report_load(number, random.random_range(0..80), NOW);
            let queued_ms = DurationMs(random.random_range(0..600));
            engine(&mut world, number).record_queued(queued_ms, NOW);
        }
        for prompt in [long_prompt(round, 1), short_prompt(round, 1)] {
            let rows = world.explain(&prompt, NOW);
            assert_eq!(rows.len(), 40);
            let chosen = world.choose(&prompt, NOW).map(|choice| choice.worker);
            assert_eq!(cheapest(&rows), chosen, "round {round}");
        }
        let mut world = World::with_plain(12, 8);
        for number in 0..12 {
            world.report_load(number, random.random_range(0..20) + number as u64 * 20, NOW);
        }
        let rows = world.explain_plain(round, NOW);
        let chosen = world.choose_plain(round, NOW).map(|choice| choice.worker);
        assert_eq!(cheapest(&rows), chosen, "round {round}");
    }
}

fn engine(world: &mut World, number: usize) -> &mut Backend {
    let backend = world.backends.get_mut(worker(number));
    backend.expect("an engine")
}

/// A server without requests may be left out for many reasons, which operators had to guess from its state.
#[test]
fn each_excluded_server_has_its_reason() {
    let mut world = World::with_engines(9);
    world.max_in_flight = Some(2);
    world.announce(2, NOW);
    let now = NOW.after(DurationMs(9_000));
    for number in 0..7 {
        let mut renewed = spec(number, ENGINES, 64);
        renewed.weights[0].1 = WeightsVersion(2);
        world.backends.upsert(renewed);
    }
    let mut other = spec(7, ENGINES, 64);
    other.weights.clear();
    world.backends.upsert(other);
    engine(&mut world, 1).record_leaving();
    engine(&mut world, 2).in_flight = 2;
    engine(&mut world, 3).record_pause(DurationMs(700), 0, now);
    let load = Load {
        limit: Some("0.5".parse().expect("a rate")),
        ..Load::default()
    };
    let limited = engine(&mut world, 4);
    limited.record_load(load, now);
    let share = LimitShare {
        sharers: 1,
        is_sharer: true,
        entry_vms: 1,
    };
    limited.set_limit_share(share, 0, now);
    while limited.available_at_ms() <= now {
        limited.record_sent(DurationMs(0), now);
        limited.record_ended();
    }
    let limit_left_ms = limited.available_at_ms().since(now);
    let pause_left_ms = engine(&mut world, 3).available_at_ms().since(now);
    engine(&mut world, 5).record_unreachable(now);
    engine(&mut world, 6).loading_until_ms = now.after(DurationMs(500));
    let rows = world.explain(&long_prompt(1, 1), now);
    let of = |number: usize| {
        let row = rows.iter().find(|row| row.worker == worker(number));
        row.expect("a row").standing
    };
    assert!(matches!(
        of(0),
        Standing::Eligible {
            is_compared: true,
            ..
        }
    ));
    let expected = [
        Exclusion::Leaving,
        Exclusion::NoConnection,
        Exclusion::Paused {
            left_ms: pause_left_ms,
        },
        Exclusion::Limited {
            left_ms: limit_left_ms,
        },
        Exclusion::Unreachable,
        Exclusion::LoadingWeights,
        Exclusion::NoModel,
        Exclusion::OutdatedWeights,
    ];
    for (number, exclusion) in (1..).zip(expected) {
        assert_eq!(of(number), Standing::Excluded(exclusion), "server {number}");
    }
}
