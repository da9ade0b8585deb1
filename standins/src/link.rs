//! One forwarded address, and what's cut on it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::change_signal::ChangeSignal;
use crate::connections::ConnectionFault;
use crate::connections::Connections;

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// Which directions are cut.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Neither.
    #[default]
    None,
    /// Both.
    Both,
    /// Towards the target.
    ToTarget,
    /// Towards the client.
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

/// A forwarded address as given, `LISTEN=TARGET`.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// The address listened on, as given.
    pub name: String,
    /// The address listened on.
    pub listen: SocketAddr,
    /// The address forwarded to.
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

/// One forwarded address at work.
pub struct Link {
    /// Where it leads.
    pub endpoints: Endpoints,
    /// The connections, or the clients of datagrams, known now.
    pub connections: Connections,
    cut: Cell<Cut>,
    changed: ChangeSignal,
}

impl Link {
    /// A link with nothing cut.
    pub fn new(endpoints: Endpoints) -> Self {
        Self {
            endpoints,
            connections: Connections::new(usize::MAX),
            cut: Cell::default(),
            changed: ChangeSignal::default(),
        }
    }

    /// What's cut.
    pub fn cut(&self) -> Cut {
        self.cut.get()
    }

    /// Sets what's cut.
    pub fn set_cut(&self, cut: Cut) {
        self.cut.set(cut);
        self.changed.notify();
    }

    /// Silences the connections open now for good.
    pub fn silence_open_connections(&self) {
        self.connections.inject_all(ConnectionFault::Silent);
    }

    /// Whether `direction` is cut.
    pub fn is_cut(&self, direction: Direction) -> bool {
        self.cut.get().is_cut(direction)
    }

    /// Waits until `direction` isn't cut.
    pub async fn wait_until_open(&self, direction: Direction) {
        while self.is_cut(direction) {
            self.changed.wait_after(self.changed.count()).await;
        }
    }
}
