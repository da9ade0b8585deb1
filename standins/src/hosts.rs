//! Stand-in for the platform's list of hosts, which lags behind the changes made to it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
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
use crate::serve::Handler;
use crate::serve::HttpResponse;
use crate::serve::json;
use crate::serve::plain;
use crate::serve::with_json;

/// State of a host on the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    name: String,
    dc: String,
    rack: String,
    addr: String,
    state: HostState,
    /// Id of the last reboot that completed; 0 if there was none.
    #[serde(default)]
    reboot: u64,
}

/// Body of a request to reboot a host.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RebootBody {
    id: u64,
}

/// Body of a request that sets how long later reboots take, in milliseconds.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RebootsBody {
    ms: u64,
}

#[derive(Clone, Copy)]
struct Reboot {
    id: u64,
    from_ms: u64,
    until_ms: u64,
}

struct Version {
    at_ms: u64,
    hosts: Vec<Host>,
}

/// The list of hosts, with the past versions that the lag still requires.
pub struct Hosts {
    lag_ms: u64,
    reboot_ms: Cell<u64>,
    versions: RefCell<VecDeque<Version>>,
    reboots: RefCell<BTreeMap<String, Vec<Reboot>>>,
    connections: Connections,
}

impl Hosts {
    /// Creates an empty list that is served as it was `lag_ms` ago; a reboot takes `reboot_ms`.
    pub fn new(lag_ms: u64, reboot_ms: u64) -> Self {
        Self {
            lag_ms,
            reboot_ms: Cell::new(reboot_ms),
            versions: RefCell::default(),
            reboots: RefCell::default(),
            connections: Connections::new(usize::MAX),
        }
    }

    fn set(&self, hosts: Vec<Host>) -> HttpResponse {
        let at_ms = unix_ms();
        let version = Version { at_ms, hosts };
        self.versions.borrow_mut().push_back(version);
        plain(StatusCode::OK, "")
    }

    fn get(&self) -> HttpResponse {
        let as_of_ms = unix_ms().saturating_sub(self.lag_ms);
        let mut versions = self.versions.borrow_mut();
        while versions.get(1).is_some_and(|next| next.at_ms <= as_of_ms) {
            versions.pop_front();
        }
        let visible = versions.front().filter(|visible| visible.at_ms <= as_of_ms);
        let hosts = visible.map_or(&[][..], |visible| &visible.hosts);
        let hosts: Vec<Host> = hosts
            .iter()
            .filter_map(|host| self.host_as_of(host, as_of_ms))
            .collect();
        let body = json!({"as_of_ms": as_of_ms, "hosts": hosts});
        json(StatusCode::OK, &body)
    }
}

impl Hosts {
    /// Returns a host as of a point in time: `None` while it reboots, and with the id of its last
    /// reboot afterwards.
    fn host_as_of(&self, host: &Host, as_of_ms: u64) -> Option<Host> {
        let reboots = self.reboots.borrow();
        let mut newest_first = reboots.get(&host.name).into_iter().flatten().rev();
        let Some(last) = newest_first.find(|reboot| reboot.from_ms <= as_of_ms) else {
            return Some(host.clone());
        };
        (last.until_ms <= as_of_ms).then(|| Host {
            reboot: last.id,
            ..host.clone()
        })
    }

    /// Starts a reboot of a host, unless this id or a higher one was requested before.
    fn reboot(&self, name: &str, id: u64) -> HttpResponse {
        let versions = self.versions.borrow();
        let known = versions.back().map_or(&[][..], |version| &version.hosts);
        if !known.iter().any(|host| host.name == name) {
            return plain(StatusCode::NOT_FOUND, "");
        }
        let mut all = self.reboots.borrow_mut();
        let reboots = all.entry(name.to_owned()).or_default();
        if reboots.last().is_none_or(|last| last.id < id) {
            let from_ms = unix_ms();
            reboots.push(Reboot {
                id,
                from_ms,
                until_ms: from_ms.saturating_add(self.reboot_ms.get()),
            });
        }
        plain(StatusCode::OK, "")
    }

    fn set_reboots(&self, body: &RebootsBody) -> HttpResponse {
        self.reboot_ms.set(body.ms);
        plain(StatusCode::OK, "")
    }
}

/// Returns the host name in the path of a reboot request.
fn rebooted_host(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/hosts/")?.strip_suffix("/reboot")
}

impl Handler for Hosts {
    fn is_control(path: &str) -> bool {
        path.starts_with("/control/")
    }

    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> io::Result<HttpResponse> {
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/hosts") => self.get(),
            (&Method::PUT, "/control/hosts") => with_json(request.body(), |hosts| self.set(hosts)),
            (&Method::PUT, "/control/reboots") => {
                with_json(request.body(), |body| self.set_reboots(&body))
            }
            (&Method::POST, path) if rebooted_host(path).is_some() => {
                let name = rebooted_host(path).unwrap_or_default();
                with_json(request.body(), |body: RebootBody| {
                    self.reboot(name, body.id)
                })
            }
            _ => plain(StatusCode::NOT_FOUND, ""),
        })
    }
}
