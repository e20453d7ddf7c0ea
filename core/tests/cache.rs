//! Tests of the cache index: incarnations, gaps in events, adjustment by answers, bounded memory.

use {
    cactusspur_core::{
        CacheChange, CacheReport, CacheSequence, CacheSnapshot, CustomerId, DurationMs,
        Incarnation, ModelId, PIECE_BYTES, PieceHash, PrefixChain, PrefixScope, TimeMs, Tokens,
        TokensPerSecond, WeightsVersion, WorkerId,
        cache::{CacheIndex, MAX_HOLDERS, SHARD_CAPACITY},
    },
    test_case::test_case,
};

const WORKER: WorkerId = WorkerId(7);
const START: TimeMs = TimeMs(1_000_000);

fn chain_of(seed: u64, pieces: usize) -> PrefixChain {
    let scope = PrefixScope {
        customer: CustomerId(seed),
        model: ModelId(1),
        weights: WeightsVersion(1),
    };
    PrefixChain::from_levels(scope, &[vec![b'x'; pieces * PIECE_BYTES]])
}

fn index() -> CacheIndex {
    let mut index = CacheIndex::default();
    index.set_incarnation(WORKER, Incarnation(1));
    index
}

fn report(first: u64, changes: Vec<CacheChange>) -> CacheReport {
    CacheReport {
        worker: WORKER,
        incarnation: Incarnation(1),
        first_sequence: CacheSequence(first),
        changes,
    }
}

#[test]
fn another_life_holds_nothing() {
    let mut index = index();
    let chain = chain_of(1, 4);
    index.insert_prompt(WORKER, &chain, START);
    assert_eq!(index.cached_tokens(WORKER, &chain, START), Tokens(256));
    index.set_incarnation(WORKER, Incarnation(2));
    assert_eq!(index.cached_tokens(WORKER, &chain, START), Tokens(0));
}

#[test]
fn a_hole_in_the_prefix_ends_it() {
    let mut index = index();
    let chain = chain_of(1, 4);
    index.insert_prompt(WORKER, &chain, START);
    let evicted = CacheChange::Evicted(chain.pieces[1]);
    assert_eq!(index.apply_report(&report(0, vec![evicted]), START), None);
    assert_eq!(index.cached_tokens(WORKER, &chain, START), Tokens(64));
}

#[test]
fn a_gap_asks_once_and_the_snapshot_replaces() {
    let mut index = index();
    let old = chain_of(1, 2);
    let new = chain_of(2, 2);
    index.insert_prompt(WORKER, &old, START);
    let stored = || vec![CacheChange::Stored(new.pieces[0])];
    assert_eq!(
        index.apply_report(&report(5, stored()), START),
        Some(CacheSequence(0))
    );
    assert_eq!(index.apply_report(&report(6, stored()), START), None);
    let snapshot = CacheSnapshot {
        worker: WORKER,
        incarnation: Incarnation(1),
        next_sequence: CacheSequence(9),
        pieces: new.pieces.clone(),
    };
    index.apply_snapshot(&snapshot, START);
    assert_eq!(index.cached_tokens(WORKER, &old, START), Tokens(0));
    assert_eq!(index.cached_tokens(WORKER, &new, START), Tokens(128));
    assert_eq!(index.apply_report(&report(9, stored()), START), None);
    assert_eq!(
        index.apply_report(&report(11, stored()), START),
        Some(CacheSequence(10))
    );
}

#[test]
fn repeated_changes_are_not_applied_twice() {
    let mut index = index();
    let chain = chain_of(1, 1);
    let changes = vec![
        CacheChange::Stored(chain.pieces[0]),
        CacheChange::Evicted(chain.pieces[0]),
    ];
    index.apply_report(&report(0, changes.clone()), START);
    index.apply_report(&report(0, changes[..1].to_vec()), START);
    assert_eq!(index.cached_tokens(WORKER, &chain, START), Tokens(0));
}

#[test]
fn beliefs_expire_with_the_turnover_of_the_cache() {
    let mut index = index();
    let chain = chain_of(1, 2);
    index.set_capacity(WORKER, 100, TokensPerSecond(6_400));
    index.insert_prompt(WORKER, &chain, START);
    let soon = START.after(DurationMs(900));
    let late = START.after(DurationMs(1_200));
    assert_eq!(index.cached_tokens(WORKER, &chain, soon), Tokens(128));
    assert_eq!(index.cached_tokens(WORKER, &chain, late), Tokens(0));
}

#[test_case(4, 1, 500, false; "fewer than believed shortens the belief")]
#[test_case(4, 4, 4_000, true; "as many as believed lengthens it")]
fn answers_correct_the_belief(assumed: usize, cached: usize, age_ms: u64, is_retained: bool) {
    let mut index = index();
    let chain = chain_of(1, 2);
    index.set_capacity(WORKER, 100, TokensPerSecond(6_400));
    index.insert_prompt(WORKER, &chain, START);
    index.adjust_retention(WORKER, assumed, DurationMs(age_ms), cached);
    let later = START.after(DurationMs(450));
    assert_eq!(
        index.cached_tokens(WORKER, &chain, later) == Tokens(128),
        is_retained
    );
}

#[test]
fn memory_is_bounded_and_the_latest_stay() {
    let mut index = index();
    let snapshot = CacheSnapshot {
        worker: WORKER,
        incarnation: Incarnation(1),
        next_sequence: CacheSequence(0),
        pieces: (1..=10_000).map(PieceHash).collect(),
    };
    index.apply_snapshot(&snapshot, START);
    assert_eq!(index.len(), SHARD_CAPACITY);
    let later = START.after(DurationMs(100));
    let latest = PrefixChain {
        pieces: (20_000..20_100).map(PieceHash).collect(),
        level_ends: vec![100],
    };
    index.insert_prompt(WORKER, &latest, later);
    assert_eq!(index.len(), SHARD_CAPACITY);
    assert_eq!(index.cached_tokens(WORKER, &latest, later), Tokens(6_400));
}

#[test]
fn a_piece_has_a_bounded_number_of_holders() {
    let mut index = CacheIndex::default();
    let chain = chain_of(1, 3);
    for worker in 0..100 {
        index.set_incarnation(WorkerId(worker), Incarnation(1));
        index.insert_prompt(WorkerId(worker), &chain, START);
    }
    assert_eq!(index.holders(&chain, START).len(), MAX_HOLDERS);
}
