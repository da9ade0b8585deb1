//! Links between processes, and the messages on them.

use mimosastep::gate;
use mimosastep::net::LinkId;
use mimosastep::record::Role;
use mimosastep::sched;
use mimosastep::wire::Message;
use mimosastep::wire::Peer;
use rand::RngExt;

use crate::share_fleet::Defect;
use crate::share_fleet::Fleet;
use crate::share_fleet::MAX_NOTICE_MS;
use crate::share_fleet::SimEvent;
use crate::share_fleet::node_name;

impl Fleet {
    pub(super) fn connect(&mut self) {
        let scheds = self.scheds();
        for low in 0..scheds {
            for high in low + 1..self.nodes.len() {
                let connected =
                    !self.cuts.contains(&(low, high)) && !self.cuts.contains(&(high, low));
                let running = self.is_running(low) && self.is_running(high);
                if connected && running && !self.links.contains_key(&(low, high)) {
                    self.serial += 1;
                    let link = self.serial;
                    self.links.insert((low, high), link);
                    self.announce_link(low, high, link);
                }
            }
        }
    }

    pub(super) fn announce_link(&mut self, sched: usize, other: usize, link: u64) {
        if self.nodes[other].role != Role::Gate {
            return;
        }
        let peer = self.peer(other);
        self.notify_sched(sched, sched::Event::Up(LinkId(link), peer));
        let Peer { node, incarnation } = self.peer(sched);
        let link = LinkId(link);
        self.notify_gate(
            other,
            gate::Event::Up {
                link,
                node,
                incarnation,
            },
        );
    }

    pub(super) fn close_link(&mut self, pair: (usize, usize)) {
        let Some(link) = self.links.remove(&pair) else {
            return;
        };
        for index in [pair.0, pair.1] {
            let delay = self.rng.random_range(1..MAX_NOTICE_MS);
            let at = (index, self.nodes[index].incarnation);
            self.schedule(self.now + delay, SimEvent::LinkDown { at, link });
        }
    }

    pub(super) fn peer(&self, index: usize) -> Peer {
        Peer {
            node: node_name(index),
            incarnation: self.nodes[index].incarnation,
        }
    }

    pub(super) fn far_end(&self, index: usize, link: u64) -> Option<usize> {
        let mut links = self.links.iter();
        let (pair, _) =
            links.find(|(pair, id)| **id == link && (pair.0 == index || pair.1 == index))?;
        Some(if pair.0 == index { pair.1 } else { pair.0 })
    }

    pub(super) fn send_peer(&mut self, index: usize, peer: &Peer, mut message: Message) {
        let Some(to) = (0..self.scheds()).find(|other| self.peer(*other) == *peer) else {
            return;
        };
        let sender = self.peer(index);
        match &mut message {
            Message::PermitGrant(permit) => {
                let pair = (permit.team.clone(), sender, peer.clone());
                self.sent_permits.insert(pair, permit.number);
            }
            Message::PermitReport(permits) if self.defect == Defect::AcceptStaleReports => {
                let pair = (permits.team.clone(), peer.clone(), sender);
                permits.seen = self.sent_permits.get(&pair).copied().unwrap_or(0);
            }
            _ => {}
        }
        let Some(link) = self.links.get(&(index.min(to), index.max(to))).copied() else {
            return;
        };
        if self.lossy && self.rng.random_bool(0.1) {
            return;
        }
        if self.lossy && self.rng.random_bool(0.1) {
            let arrival = self.now + self.rng.random_range(1..3_000);
            self.schedule_delivery(arrival, index, to, link, message.clone());
        }
        self.send(index, to, link, message);
    }

    pub(super) fn send(&mut self, from: usize, to: usize, link: u64, message: Message) {
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let earliest = self.last_arrival.get(&(from, to)).copied().unwrap_or(0);
        let max_delay = if self.lossy { 40 } else { 4 };
        let at = (self.now + self.rng.random_range(1..max_delay)).max(earliest);
        self.last_arrival.insert((from, to), at);
        self.schedule_delivery(at, from, to, link, message);
    }

    pub(super) fn schedule_delivery(
        &mut self,
        at: u64,
        from: usize,
        to: usize,
        link: u64,
        message: Message,
    ) {
        let from = (from, self.nodes[from].incarnation);
        let to = (to, self.nodes[to].incarnation);
        let event = SimEvent::Deliver {
            from,
            to,
            link,
            message,
        };
        self.schedule(at, event);
    }

    pub(super) fn deliver(
        &mut self,
        from: (usize, u64),
        to: usize,
        link: LinkId,
        message: Message,
    ) {
        let peer = Peer {
            node: node_name(from.0),
            incarnation: from.1,
        };
        match message {
            Message::Grant(grant) => self.notify_gate(to, gate::Event::Grant(link, grant)),
            Message::Refuse(refusal) => self.notify_gate(to, gate::Event::Refuse(link, refusal)),
            Message::SlotRequest(ask) => {
                self.notify_sched(to, sched::Event::SlotRequest(link, ask))
            }
            Message::Cancel(attempt) => self.notify_sched(to, sched::Event::Cancel(link, attempt)),
            Message::Finished { attempt, evidence } => {
                let event = sched::Event::Finished {
                    link,
                    attempt,
                    evidence,
                };
                self.notify_sched(to, event);
            }
            Message::Report { epoch, running } => {
                let event = sched::Event::Report {
                    link,
                    epoch,
                    running,
                };
                self.notify_sched(to, event);
            }
            message => self.notify_sched(to, sched::Event::PermitMessage(peer, message)),
        }
    }
}
