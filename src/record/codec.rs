//! Encoding of records and snapshots: a version byte followed by postcard data.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::record::DecodeError;

/// Encodes `value`, prefixed with the byte `version`.
pub(super) fn encode<T: Serialize>(version: u8, value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![version]).expect("encoding into memory cannot fail")
}

/// Decodes `data`, which must start with the byte `version` and have no trailing bytes.
pub(super) fn decode<T: DeserializeOwned>(version: u8, data: &[u8]) -> Result<T, DecodeError> {
    let (&found, body) = data.split_first().ok_or(DecodeError::Empty)?;
    if found != version {
        return Err(DecodeError::Version(found));
    }
    let (value, rest) = postcard::take_from_bytes(body)?;
    match rest.len() {
        0 => Ok(value),
        len => Err(DecodeError::Trailing(len)),
    }
}
