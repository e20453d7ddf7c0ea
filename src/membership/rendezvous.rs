//! Rendezvous hashing: processes that know the same members choose the same ones without
//! coordination.

use {
    cactusspur_core::{DomainId, EntryId},
    xxhash_rust::xxh3::xxh3_64,
};

/// The task that members are chosen for. Each task has its own ranking.
#[derive(Clone, Copy, Debug)]
pub(super) enum Purpose {
    /// Polling the table service.
    Poll,
    /// Exchanging heartbeats with other failure domains.
    Delegate,
}

/// The `count` candidates with the highest hashes, in descending order of the hash.
pub(super) fn choose_members<I>(
    purpose: Purpose,
    domain: DomainId,
    candidates: I,
    count: usize,
) -> Vec<EntryId>
where
    I: Iterator<Item = EntryId>,
{
    let mut ranked: Vec<(u64, EntryId)> = candidates
        .map(|entry| (hash([purpose as u64, domain.0, entry.0]), entry))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, entry)| entry).collect()
}

/// A hash of two members that doesn't depend on their order.
pub(super) fn pair_hash(first: EntryId, second: EntryId) -> u64 {
    hash([u64::MAX, first.0.min(second.0), first.0.max(second.0)])
}

fn hash(parts: [u64; 3]) -> u64 {
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    xxh3_64(&bytes)
}
