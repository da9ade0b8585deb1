//! HTTP replies.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;

/// An HTTP response whose body is in memory.
pub type Reply = Response<Full<Bytes>>;

/// Creates a reply with `value` as JSON; its status is 500 if `value` cannot be serialized.
#[must_use]
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => reply(status, "application/json", Bytes::from(body)),
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates a reply with a plain text body.
#[must_use]
pub fn text_reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    reply(status, "text/plain; charset=utf-8", text.into())
}

fn reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}
