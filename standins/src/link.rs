//! A forwarded address, on which either direction can be cut.

use std::cell::Cell;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::change_signal::ChangeSignal;
use crate::connections::ConnectionFault;
use crate::connections::Connections;

/// Direction of traffic on a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// Directions in which a link drops all traffic.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Neither direction.
    #[default]
    None,
    /// Both directions.
    Both,
    /// From the client to the target only.
    ToTarget,
    /// From the target to the client only.
    ToClient,
}

impl Cut {
    fn is_cut(self, direction: Direction) -> bool {
        match self {
            Self::None => false,
            Self::Both => true,
            Self::ToTarget => direction == Direction::ToTarget,
            Self::ToClient => direction == Direction::ToClient,
        }
    }
}

/// The two addresses of a link, parsed from `LISTEN=TARGET`.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// The listen address as given on the command line; names the link in control requests.
    pub name: String,
    /// The listen address; port 0 selects any free port.
    pub listen: SocketAddr,
    /// The address to which traffic is forwarded.
    pub target: SocketAddr,
}

impl FromStr for Endpoints {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (listen, target) = text.split_once('=').ok_or("expected LISTEN=TARGET")?;
        let parse = |text: &str| text.parse().map_err(|error| format!("{text}: {error}"));
        Ok(Self {
            name: listen.to_owned(),
            listen: parse(listen)?,
            target: parse(target)?,
        })
    }
}

/// A forwarded address and its current state.
pub struct Link {
    /// The addresses it listens on and forwards to.
    pub endpoints: Endpoints,
    /// The open TCP connections, or the UDP clients seen so far.
    pub connections: Connections,
    cut: Cell<Cut>,
    changed: ChangeSignal,
}

impl Link {
    /// Creates a link that is not cut.
    pub fn new(endpoints: Endpoints) -> Self {
        Self {
            endpoints,
            connections: Connections::new(usize::MAX),
            cut: Cell::default(),
            changed: ChangeSignal::default(),
        }
    }

    /// The directions that are cut now.
    pub fn cut(&self) -> Cut {
        self.cut.get()
    }

    /// Sets the directions that are cut, from now on.
    pub fn set_cut(&self, cut: Cut) {
        self.cut.set(cut);
        self.changed.notify();
    }

    /// Permanently silences the connections that are open now; new ones are forwarded.
    pub fn silence_open_connections(&self) {
        self.connections.inject_all(ConnectionFault::Silent);
    }

    /// Whether `direction` is cut.
    pub fn is_cut(&self, direction: Direction) -> bool {
        self.cut.get().is_cut(direction)
    }

    /// Waits until `direction` is not cut.
    pub async fn wait_until_open(&self, direction: Direction) {
        while self.is_cut(direction) {
            self.changed.wait_after(self.changed.count()).await;
        }
    }
}
