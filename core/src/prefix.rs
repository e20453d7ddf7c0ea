//! Identity of prompt prefixes: a chain of hashes over fixed-size pieces of a prompt.
//!
//! The chain starts from the customer, the model with its adapter, and the weights version, so that
//! it never matches a prefix of another customer or of other weights.

use {
    crate::{
        id::{CustomerId, ModelId, PieceHash, WeightsVersion},
        unit::Tokens,
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Size of a piece in bytes of prompt text.
pub const PIECE_BYTES: usize = 256;
/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Size of a piece in tokens.
pub const PIECE_TOKENS: u64 = (PIECE_BYTES / BYTES_PER_TOKEN) as u64;

/// The scope in which cached pieces may be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PrefixScope {
    /// The customer whose prompt it is.
    pub customer: CustomerId,
    /// The model and adapter that computed it.
    pub model: ModelId,
    /// The weights that computed it.
    pub weights: WeightsVersion,
}

impl PrefixScope {
    /// Returns the hash that every chain of this scope starts from.
    #[must_use]
    pub fn root(self) -> PieceHash {
        let model = xxh3_64_with_seed(&self.model.0.to_le_bytes(), self.customer.0);
        PieceHash(xxh3_64_with_seed(&self.weights.0.to_le_bytes(), model))
    }
}

/// The chained hashes of the whole pieces of one prompt, shortest prefix first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{} pieces", pieces.len())]
pub struct PrefixChain {
    /// One hash for each whole piece.
    pub pieces: Vec<PieceHash>,
    /// Indexes into `pieces` (exclusive ends) where a level of the prompt ends: the system text,
    /// then each further message. Ascending.
    pub level_ends: Vec<usize>,
}

impl PrefixChain {
    /// Hashes a prompt given as its levels (for a chat, its messages in order). Levels are joined
    /// without padding, so a piece may span two levels.
    #[must_use]
    pub fn from_levels<S>(scope: PrefixScope, levels: &[S]) -> Self
    where
        S: AsRef<[u8]>,
    {
        let mut chain = Self::default();
        let mut parent = scope.root();
        let mut pending: Vec<u8> = Vec::with_capacity(PIECE_BYTES);
        for level in levels {
            for part in level.as_ref().chunks(PIECE_BYTES) {
                pending.extend_from_slice(part);
                if pending.len() < PIECE_BYTES {
                    continue;
                }
                parent = PieceHash(xxh3_64_with_seed(&pending[..PIECE_BYTES], parent.0));
                chain.pieces.push(parent);
                pending.drain(..PIECE_BYTES);
            }
            chain.level_ends.push(chain.pieces.len());
        }
        chain
    }

    /// Returns the tokens in the whole pieces.
    #[must_use]
    pub fn tokens(&self) -> Tokens {
        Tokens(self.pieces.len() as u64 * PIECE_TOKENS)
    }
}

/// Estimates the tokens of a text of `bytes` bytes, rounded up.
#[must_use]
pub fn tokens_of_bytes(bytes: usize) -> Tokens {
    Tokens(bytes.div_ceil(BYTES_PER_TOKEN) as u64)
}
