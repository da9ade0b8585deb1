//! Stand-in for the machine management of the users' platform: a list of hosts in pages, and orders
//! for maintenance.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use serde_json::Value;
use serde_json::json;

use crate::connections::Connections;
use crate::query::query_text;
use crate::serve::Handler;
use crate::serve::HttpResponse;
use crate::serve::json;
use crate::serve::plain;

/// Limit on simultaneous connections.
const MAX_CONNECTIONS: usize = 64;

/// The machine management.
pub struct Machines {
    connections: Connections,
    /// Pages of the list, each with its token; that of the first page is not used.
    pub pages: RefCell<Vec<(String, Vec<Value>)>>,
    /// Hosts that were ordered down for maintenance, in this order.
    pub upkeeps: RefCell<Vec<String>>,
}

impl Machines {
    /// A machine management that lists these pages.
    pub fn new(pages: Vec<(String, Vec<Value>)>) -> Rc<Self> {
        Rc::new(Self {
            connections: Connections::new(MAX_CONNECTIONS),
            pages: RefCell::new(pages),
            upkeeps: RefCell::default(),
        })
    }

    fn list(&self, uri: &Uri) -> HttpResponse {
        let pages = self.pages.borrow();
        let at = match query_text(uri, "page_token") {
            None => Some(0),
            Some(token) => pages.iter().position(|(own, _)| *own == token),
        };
        let Some((at, (_, rows))) = at.and_then(|at| Some((at, pages.get(at)?))) else {
            return plain(StatusCode::BAD_REQUEST, "no such page");
        };
        let next = pages.get(at + 1).map(|(token, _)| token);
        json(
            StatusCode::OK,
            &json!({ "machines": rows, "next_page_token": next }),
        )
    }

    fn upkeep(&self, body: &[u8]) -> HttpResponse {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let host = body["machine"].as_str().unwrap_or_default().to_owned();
        self.upkeeps.borrow_mut().push(host);
        json(StatusCode::OK, &json!({}))
    }
}

impl Handler for Machines {
    fn is_control(_: &str) -> bool {
        false
    }

    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> io::Result<HttpResponse> {
        Ok(match request.uri().path() {
            "/api/machines" => self.list(request.uri()),
            "/api/machine-upkeep" => self.upkeep(request.body()),
            _ => plain(StatusCode::NOT_FOUND, ""),
        })
    }
}
