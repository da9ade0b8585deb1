//! Reads the body of a response within limits.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::http::ResponseLimits;

/// Memory that counts for each byte of a body: the buffer in which it is collected doubles as it
/// grows.
const BYTES_PER_BYTE: usize = 2;

/// Reads a complete body.
///
/// # Errors
/// The reason if it exceeds `limits` or breaks off.
pub async fn read_response(mut body: Incoming, limits: &ResponseLimits) -> Result<Bytes, String> {
    if body.size_hint().lower() > limits.body as u64 {
        return Err(too_large(limits));
    }
    let mut share = limits.memory.begin();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| err.to_string())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limits.body {
            return Err(too_large(limits));
        }
        if !share.grow(data.len().saturating_mul(BYTES_PER_BYTE)) {
            return Err("too much is being received from servers at once".to_owned());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

fn too_large(limits: &ResponseLimits) -> String {
    format!("the body has more than {} bytes", limits.body)
}
