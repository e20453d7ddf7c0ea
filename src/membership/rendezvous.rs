//! Rendezvous hashing: processes that know the same members choose the same ones without talking.

use {
    cactusspur_core::{DomainId, EntryId},
    xxhash_rust::xxh3::xxh3_64,
};

/// What members are chosen for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Purpose {
    /// To poll the table service.
    Poll,
    /// To talk to other failure domains.
    Delegate,
}

/// The `count` candidates with the highest hashes.
pub(super) fn chosen<I>(
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

/// A hash of two members, the same in both orders.
pub(super) fn pair_hash(one: EntryId, other: EntryId) -> u64 {
    hash([u64::MAX, one.0.min(other.0), one.0.max(other.0)])
}

fn hash(parts: [u64; 3]) -> u64 {
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    xxh3_64(&bytes)
}
