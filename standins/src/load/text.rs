//! Prompt text that depends on a seed and a label alone.

use {
    cactusspur_core::PIECE_BYTES,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

const WORDS: [&str; 24] = [
    "band", "stone", "prong", "gauge", "solder", "alloy", "bezel", "carat", "valve", "coil",
    "frost", "sensor", "shall", "check", "before", "after", "unless", "within", "each", "every",
    "record", "replace", "measure", "confirm",
];

/// A text of exactly `size_bytes` bytes that starts with its label.
#[must_use]
pub fn text(seed: u64, label: &str, size_bytes: usize) -> Arc<str> {
    let mut rng = StdRng::seed_from_u64(xxh3_64_with_seed(label.as_bytes(), seed));
    let mut text = String::with_capacity(size_bytes + PIECE_BYTES);
    text.push_str(label);
    text.push(':');
    while text.len() < size_bytes {
        text.push(' ');
        text.push_str(WORDS[rng.random_range(0..WORDS.len())]);
    }
    text.truncate(size_bytes);
    text.into()
}

/// A text of `pieces` whole pieces, so that what follows it starts at the edge of a piece.
#[must_use]
pub fn pieces(seed: u64, label: &str, pieces: usize) -> Arc<str> {
    text(seed, label, pieces * PIECE_BYTES)
}
