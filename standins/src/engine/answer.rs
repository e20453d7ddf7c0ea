//! The answers that engines give: a function of the request alone, so that every engine gives the
//! same and a test can compute it.

use {
    cactusspur_core::{CustomerId, ModelId},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Syllables of which a token has one, followed by a space: [`cactusspur_core::BYTES_PER_TOKEN`] bytes
/// together. Some hold a character of two bytes, so that not every offset is a place to cut.
const SYLLABLES: [&str; 16] = [
    "bal", "cé", "dor", "ün", "fen", "gå", "hit", "jø", "kam", "lü", "mé", "nos", "pil", "rá",
    "sel", "tö",
];

/// The answer of `tokens` tokens that every engine gives to a customer's prompt. `contents` are
/// the contents of the messages in order.
#[must_use]
pub fn expected_answer<S>(
    model: ModelId,
    customer: CustomerId,
    contents: &[S],
    tokens: u64,
) -> String
where
    S: AsRef<str>,
{
    let root = xxh3_64_with_seed(&model.0.to_le_bytes(), customer.0);
    let seed = contents.iter().fold(root, |seed, content| {
        xxh3_64_with_seed(content.as_ref().as_bytes(), seed)
    });
    (0..tokens).map(|token| token_text(seed, token)).collect()
}

fn token_text(seed: u64, token: u64) -> String {
    let drawn = xxh3_64_with_seed(&token.to_le_bytes(), seed);
    let at = usize::try_from(drawn % SYLLABLES.len() as u64).unwrap_or_default();
    format!("{} ", SYLLABLES[at])
}
