//! The command `cactusspur key-hash`.

use {
    super::{ExitStatus, Failure, OutputFormat},
    serde::Serialize,
    std::io,
};

#[derive(Serialize)]
struct KeyHash {
    hash: String,
}

/// Reads an API key, ignoring line breaks at its end.
pub(super) fn read_key<R>(input: &mut R) -> Result<String, Failure>
where
    R: io::Read,
{
    let key = io::read_to_string(input)?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "no key was given").into());
    }
    Ok(key.to_owned())
}

/// Reads an API key and prints its hash.
pub(super) fn run<R, W>(
    input: &mut R,
    format: OutputFormat,
    out: &mut W,
) -> Result<ExitStatus, Failure>
where
    R: io::Read,
    W: io::Write,
{
    let key = read_key(input)?;
    let hash = blake3::hash(key.as_bytes()).to_hex().to_string();
    format.print(out, &KeyHash { hash }, |key| vec![key.hash.clone()])?;
    Ok(ExitStatus::Done)
}
