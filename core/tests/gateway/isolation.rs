//! Which customers share cached parts while customers become isolated, are no longer so, leave and come back.

use {
    cactusspur_core::{
        DurationMs, WeightsVersion,
        gateway::{CacheScope, CallerLimits, CustomerSpec, RoutingTable},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    test_case::test_case,
};

const NAMES: [&str; 4] = ["alder", "birch", "cedar", "dogwood"];
/// Changes in one series.
const CHANGES: u64 = 60;
const MODEL: &str = "model";

/// What a configuration says of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Absent,
    Shared,
    Isolated,
}

fn table(version: u64, standings: &[Standing]) -> RoutingTable {
    let present = NAMES.iter().zip(standings);
    let present = present.filter(|row| *row.1 != Standing::Absent);
    let customers = present.map(|(name, standing)| CustomerSpec {
        name: (*name).to_owned(),
        keys: vec![format!("KEY-{name}")],
        priority: None,
        isolated: *standing == Standing::Isolated,
        cap: None,
    });
    let limits = CallerLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1_000,
        idle_ms: DurationMs(15_000),
    };
    RoutingTable::new(version, Vec::new(), Vec::new(), customers.collect(), limits)
}

fn scope(table: &RoutingTable, name: &str) -> CacheScope {
    CacheScope::new(MODEL, WeightsVersion(1), table.cache_group(Some(name)))
}

/// Parts that a customer had read before it was isolated went on being used for others, since the scope of all
/// others stayed the same (review/2, WALL).
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn no_series_of_changes_shares_what_an_isolated_customer_read(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut standings = [Standing::Shared; NAMES.len()];
    // Which customers have read parts in a scope. Servers may keep them for ever.
    let mut readers: Vec<(CacheScope, usize)> = Vec::new();
    for version in 1..=CHANGES {
        let table = table(version, &standings);
        for (user, name) in NAMES.iter().enumerate() {
            // Requests that were admitted before the customer left may still be sent.
            let scope = scope(&table, name);
            let makers = readers.iter().filter(|row| row.0 == scope);
            for (_, maker) in makers.filter(|row| row.1 != user) {
                let pair = [standings[user], standings[*maker]];
                assert!(
                    !pair.contains(&Standing::Isolated),
                    "{name} uses parts of {} in {version}: {standings:?}",
                    NAMES[*maker]
                );
            }
            readers.push((scope, user));
        }
        let changed = random.random_range(0..NAMES.len());
        let to = [Standing::Absent, Standing::Shared, Standing::Isolated];
        standings[changed] = to[random.random_range(0..to.len())];
    }
}

/// A change that isolates nobody would cost the others all cached parts.
#[test]
fn customers_that_are_not_isolated_share_through_other_changes() {
    let before = table(1, &[Standing::Shared, Standing::Shared, Standing::Isolated]);
    let after = table(2, &[Standing::Shared, Standing::Absent, Standing::Isolated]);
    assert_eq!(scope(&before, "alder"), scope(&before, "birch"));
    assert_eq!(scope(&before, "alder"), scope(&after, "alder"));
    assert_eq!(scope(&before, "cedar"), scope(&after, "cedar"));
    assert_ne!(scope(&before, "alder"), scope(&before, "cedar"));
    assert_eq!(before.cache_group(None), before.cache_group(Some("alder")));
}
