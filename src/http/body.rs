//! Reads request bodies with limits on size and time.

use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::http::BodyError;

const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a complete body of at most `limit` bytes within 10 s.
///
/// # Errors
/// A [`BodyError`] if the body is too large, arrives too slowly or is incomplete.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge(limit));
    }
    let deadline = Instant::now() + BODY_TIMEOUT;
    let result = compio::time::timeout_at(deadline, collect(body, limit)).await;
    result.unwrap_or(Err(BodyError::Timeout))
}

async fn collect<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(Into::into)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
