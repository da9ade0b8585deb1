//! HTTP endpoints for liveness and readiness probes.

use std::cell::Cell;
use std::rc::Rc;

use futures_util::FutureExt;
use hyper::StatusCode;

use crate::http::Handler;
use crate::http::Reply;
use crate::http::text_reply;

/// Returns a handler that serves only `/healthz` and `/readyz`; other paths get status 404.
#[must_use]
pub fn probe_handler(ready: Rc<Cell<bool>>) -> Handler {
    Rc::new(move |request| {
        let reply = probe_reply(request.uri().path(), ready.get())
            .unwrap_or_else(|| text_reply(StatusCode::NOT_FOUND, "no such path\n"));
        async move { reply }.boxed_local()
    })
}

/// Returns the reply to a probe, or `None` if `path` is not a probe endpoint.
#[must_use]
pub fn probe_reply(path: &str, ready: bool) -> Option<Reply> {
    match path {
        "/healthz" => Some(text_reply(StatusCode::OK, "ok\n")),
        "/readyz" if ready => Some(text_reply(StatusCode::OK, "ready\n")),
        "/readyz" => Some(text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")),
        _ => None,
    }
}
