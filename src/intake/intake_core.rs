//! Decides which connections may stay and how much they may hold.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use crate::intake::Decision;
use crate::intake::IntakeLimits;
use crate::intake::Stage;
use crate::intake::waiting::Cuttable;
use crate::intake::waiting::Waiting;

/// Receive buffer that the system is asked for, for each connection, in bytes.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Send buffer that the system is asked for, for each connection, in bytes.
pub const SEND_BUFFER_BYTES: usize = 8 << 10;
/// The system's buffers of a connection, filled, in bytes: it reserves twice of what it is asked for.
const SYSTEM_BYTES: usize = 2 * (RECEIVE_BUFFER_BYTES + SEND_BUFFER_BYTES);
/// The process's buffers of a connection, filled, and its state, in bytes.
const PROCESS_BYTES: usize = 48 << 10;
/// Memory that a connection takes beside bodies, in bytes.
pub const CONNECTION_BYTES: usize = SYSTEM_BYTES + PROCESS_BYTES;

/// Time for which a connection may be idle, or its request incomplete, before it may be cut for a
/// client that holds as much, in milliseconds.
const GRACE_MS: u64 = 1_000;

/// An open connection.
#[derive(Debug)]
struct Member {
    client: IpAddr,
    stage: Stage,
    since: Instant,
    bytes: usize,
}

/// The connections from one address.
#[derive(Debug, Default)]
struct Client {
    bytes: usize,
    waiting: Waiting,
}

/// The connections of a listener. It reads no clock and does no I/O.
#[derive(Debug)]
pub struct Intake {
    limits: IntakeLimits,
    members: BTreeMap<u64, Member>,
    clients: BTreeMap<IpAddr, Client>,
    // Clients by what they hold.
    weights: BTreeSet<(usize, IpAddr)>,
    waiting: Waiting,
    bytes: usize,
}

impl Intake {
    /// Creates the state of a listener without connections.
    #[must_use]
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            members: BTreeMap::new(),
            clients: BTreeMap::new(),
            weights: BTreeSet::new(),
            waiting: Waiting::default(),
            bytes: 0,
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.members.len()
    }

    /// Returns the memory that counts as used, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Admits a new connection of a client, under a number that no other has, if there is room.
    pub fn admit(&mut self, id: u64, client: IpAddr, now: Instant) -> Decision {
        let decision = self.make_room(id, client, CONNECTION_BYTES, 1, now);
        if decision.granted {
            let member = Member {
                client,
                stage: Stage::Idle,
                since: now,
                bytes: 0,
            };
            self.members.insert(id, member);
            self.add_waiting(id);
            self.resize(id, CONNECTION_BYTES);
        }
        decision
    }

    /// Counts further memory for a connection, if there is room.
    pub fn grow(&mut self, id: u64, bytes: usize, now: Instant) -> Decision {
        let Some(member) = self.members.get(&id) else {
            return Decision::default();
        };
        let held = member.bytes;
        let decision = self.make_room(id, member.client, bytes, 0, now);
        if decision.granted {
            self.resize(id, held + bytes);
        }
        decision
    }

    /// Notes that a connection enters a stage. What its last request held is given back when it is
    /// idle again.
    pub fn enter(&mut self, id: u64, stage: Stage, now: Instant) {
        self.remove_waiting(id);
        if let Some(member) = self.members.get_mut(&id) {
            member.stage = stage;
            member.since = now;
            self.add_waiting(id);
            if stage == Stage::Idle {
                self.resize(id, CONNECTION_BYTES);
            }
        }
    }

    /// Removes a connection that has ended.
    pub fn leave(&mut self, id: u64) {
        self.remove_waiting(id);
        self.resize(id, 0);
        self.members.remove(&id);
    }

    /// Cuts connections until there is room for a connection that needs `bytes` and counts as
    /// `connections` more.
    fn make_room(
        &mut self,
        id: u64,
        client: IpAddr,
        bytes: usize,
        connections: usize,
        now: Instant,
    ) -> Decision {
        let mut decision = Decision::default();
        while !self.has_room(bytes, connections) {
            let first = self.first_to_cut(client, bytes, now);
            let Some(first) = first.filter(|first| first.id != id) else {
                return decision;
            };
            self.leave(first.id);
            decision.cut.push((first.id, first.event));
        }
        decision.granted = true;
        decision
    }

    fn has_room(&self, bytes: usize, connections: usize) -> bool {
        self.bytes.saturating_add(bytes) <= self.limits.bytes
            && self.members.len() + connections <= self.limits.connections
    }

    /// Returns the connection to cut first for `bytes` of a client: one of the client that holds most,
    /// if that is more than this one would hold; otherwise the one that has been in its stage for
    /// longest, if that is long enough; otherwise the oldest of the client's own.
    fn first_to_cut(&self, client: IpAddr, bytes: usize, now: Instant) -> Option<Cuttable> {
        let wanted = self.held_by(client).saturating_add(bytes);
        if let Some(&(held, heaviest)) = self.weights.last()
            && heaviest != client
            && held > wanted
            && let Some(first) = self.clients.get(&heaviest)?.waiting.firsts().next()
        {
            return Some(first);
        }
        let grace = Duration::from_millis(GRACE_MS);
        let mut firsts = self.waiting.firsts();
        let expired = firsts.find(|first| now >= first.since + grace);
        expired.or_else(|| self.own(client).oldest())
    }

    /// The connections that may be cut for a client that holds as much as any other: its own, or all if
    /// it has none.
    fn own(&self, client: IpAddr) -> &Waiting {
        let own = self.clients.get(&client);
        own.map_or(&self.waiting, |client| &client.waiting)
    }

    fn held_by(&self, client: IpAddr) -> usize {
        self.clients.get(&client).map_or(0, |client| client.bytes)
    }

    fn add_waiting(&mut self, id: u64) {
        if let Some(member) = self.members.get(&id) {
            let client = self.clients.entry(member.client).or_default();
            client.waiting.add(id, member.stage, member.since);
            self.waiting.add(id, member.stage, member.since);
        }
    }

    fn remove_waiting(&mut self, id: u64) {
        if let Some(member) = self.members.get(&id) {
            if let Some(client) = self.clients.get_mut(&member.client) {
                client.waiting.remove(id, member.stage, member.since);
            }
            self.waiting.remove(id, member.stage, member.since);
        }
    }

    /// Sets what a connection holds. A client that holds nothing is forgotten.
    fn resize(&mut self, id: u64, bytes: usize) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut member.bytes, bytes);
        let client = self.clients.entry(member.client).or_default();
        self.weights.remove(&(client.bytes, member.client));
        client.bytes = client.bytes - before + bytes;
        self.bytes = self.bytes - before + bytes;
        if client.bytes == 0 {
            self.clients.remove(&member.client);
        } else {
            self.weights.insert((client.bytes, member.client));
        }
    }
}
