//! The control interface of the forwarder.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::connections::Connections;
use crate::link::Cut;
use crate::link::Link;
use crate::serve::Handler;
use crate::serve::HttpResponse;
use crate::serve::json;
use crate::serve::plain;
use crate::serve::with_json;

/// Selects a link by its listen address as given on the command line, or by its index.
#[derive(Deserialize)]
#[serde(untagged)]
enum LinkName {
    Index(usize),
    Name(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    link: LinkName,
    cut: Option<Cut>,
    #[serde(default)]
    forget: bool,
}

/// Serves the control interface of a forwarder.
pub struct Forwarder {
    links: Vec<Rc<Link>>,
    connections: Connections,
}

impl Forwarder {
    /// Creates the control interface for `links`, which requests address by their order.
    pub fn new(links: Vec<Rc<Link>>) -> Self {
        Self {
            links,
            connections: Connections::new(usize::MAX),
        }
    }

    fn find(&self, name: &LinkName) -> Option<&Link> {
        let link = match name {
            LinkName::Index(index) => self.links.get(*index),
            LinkName::Name(name) => self
                .links
                .iter()
                .find(|link| link.endpoints.name == *name)
                .or_else(|| self.links.get(name.parse::<usize>().ok()?)),
        };
        link.map(Rc::as_ref)
    }

    fn set(&self, change: Change) -> HttpResponse {
        let Some(link) = self.find(&change.link) else {
            return plain(StatusCode::NOT_FOUND, "no such link");
        };
        if let Some(cut) = change.cut {
            link.set_cut(cut);
        }
        if change.forget {
            link.silence_open_connections();
        }
        self.get()
    }

    fn get(&self) -> HttpResponse {
        let links = self.links.iter();
        let links = links.map(|link| json!({"link": link.endpoints.name, "cut": link.cut()}));
        json(StatusCode::OK, &links.collect::<Vec<_>>())
    }
}

impl Handler for Forwarder {
    fn is_control(_path: &str) -> bool {
        true
    }

    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> io::Result<HttpResponse> {
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/control") => self.get(),
            (&Method::PUT, "/control") => with_json(request.body(), |change| self.set(change)),
            _ => plain(StatusCode::NOT_FOUND, ""),
        })
    }
}
