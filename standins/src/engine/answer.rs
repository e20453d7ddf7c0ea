//! Generates answers as a function of the request alone, so that every engine produces the same
//! answer and tests can compute it.

use {
    cactusspur_core::{CustomerId, ModelId},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The syllables that tokens consist of. A token is one syllable and a space, which together are
/// [`cactusspur_core::BYTES_PER_TOKEN`] bytes. Some syllables contain a two-byte character, so that
/// not every byte offset is a valid place to split an answer.
const SYLLABLES: [&str; 16] = [
    "bal", "cé", "dor", "ün", "fen", "gå", "hit", "jø", "kam", "lü", "mé", "nos", "pil", "rá",
    "sel", "tö",
];

/// Returns the answer of `tokens` tokens that every engine generates for a customer's prompt.
/// `contents` holds the contents of the messages in order.
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
    let hash = xxh3_64_with_seed(&token.to_le_bytes(), seed);
    let index = usize::try_from(hash % SYLLABLES.len() as u64).unwrap_or_default();
    format!("{} ", SYLLABLES[index])
}
