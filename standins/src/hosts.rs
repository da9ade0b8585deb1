//! The lagging list of live and leaving hosts.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::clock::unix_ms;
use crate::connections::Connections;
use crate::serve::Answer;
use crate::serve::Handler;
use crate::serve::json;
use crate::serve::plain;
use crate::serve::with_json;

/// Whether a host takes part.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It takes part.
    Live,
    /// It's about to go.
    Leaving,
}

/// One host as the platform lists it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    name: String,
    dc: String,
    rack: String,
    addr: String,
    state: HostState,
}

struct Version {
    at_ms: u64,
    hosts: Vec<Host>,
}

/// The list of hosts with its past.
pub struct Hosts {
    lag_ms: u64,
    versions: RefCell<VecDeque<Version>>,
    connections: Connections,
}

impl Hosts {
    /// An empty list, shown as it was `lag_ms` ago.
    pub fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            versions: RefCell::default(),
            connections: Connections::new(usize::MAX),
        }
    }

    fn set(&self, hosts: Vec<Host>) -> Answer {
        let at_ms = unix_ms();
        let version = Version { at_ms, hosts };
        self.versions.borrow_mut().push_back(version);
        plain(StatusCode::OK, "")
    }

    fn get(&self) -> Answer {
        let as_of_ms = unix_ms().saturating_sub(self.lag_ms);
        let mut versions = self.versions.borrow_mut();
        while versions.get(1).is_some_and(|next| next.at_ms <= as_of_ms) {
            versions.pop_front();
        }
        let seen = versions.front().filter(|seen| seen.at_ms <= as_of_ms);
        let hosts = seen.map_or(&[][..], |seen| &seen.hosts);
        let body = json!({"as_of_ms": as_of_ms, "hosts": hosts});
        json(StatusCode::OK, &body)
    }
}

impl Handler for Hosts {
    fn is_control(path: &str) -> bool {
        path == "/control/hosts"
    }

    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn answer(self: Rc<Self>, request: Request<Bytes>) -> io::Result<Answer> {
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/hosts") => self.get(),
            (&Method::PUT, "/control/hosts") => with_json(request.body(), |hosts| self.set(hosts)),
            _ => plain(StatusCode::NOT_FOUND, ""),
        })
    }
}
