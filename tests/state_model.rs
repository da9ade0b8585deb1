//! Model test: under random faults no process is fresh while it lacks a change in force. Time and
//! network are simulated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mimosastep::member::FRESHNESS_TTL;
use mimosastep::member::Replica;
use mimosastep::member::Voter;
use mimosastep::member::Voters;
use mimosastep::record::Author;
use mimosastep::record::Change;
use mimosastep::record::Record;
use mimosastep::record::RecordId;
use mimosastep::record::Role;
use mimosastep::wire::Hello;
use mimosastep::wire::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

const VOTERS: usize = 3;
const NODES: usize = 5;
const STEP: Duration = Duration::from_millis(100);
const STEPS: u32 = 400;
const SEEDS: u64 = 300;
const LONGEST_DELAY: u32 = 4;

/// A protocol rule that a simulation leaves out, to show that the test detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DisabledRule {
    None,
    /// A restarted voter replies to probes before its state has recovered.
    NoRecovery,
    /// A probe reply counts from its arrival instead of from the probe.
    AnswerTime,
    /// A gate accepts one voter as a majority.
    OneVoter,
}

struct Node {
    hello: Hello,
    replica: Replica,
    probes: BTreeMap<u64, Instant>,
    frozen: u32,
    reads_log: bool,
}

/// An appended change that is not in force yet.
struct PendingChange {
    writer: usize,
    offset: u64,
    held: Option<(Vec<Voter>, Instant)>,
}

/// A message that has been sent and not delivered.
struct InFlightMessage {
    arrives: u32,
    to: usize,
    from: usize,
    peer: Hello,
    message: Message,
}

struct Simulation {
    rng: StdRng,
    disabled: DisabledRule,
    now: Instant,
    step: u32,
    nodes: Vec<Node>,
    log: Vec<Vec<u8>>,
    log_up: bool,
    blocked: [[bool; NODES]; NODES],
    in_flight: Vec<InFlightMessage>,
    pending: Vec<PendingChange>,
    /// Offsets of the changes in force, and the instants since when they are.
    enforced: Vec<(u64, Instant)>,
}

fn addr(node: usize) -> SocketAddr {
    ([10, 0, 0, node as u8], 1).into()
}

fn node(number: usize, incarnation: u64, now: Instant, disabled: DisabledRule) -> Node {
    let voter = number < VOTERS;
    let role = if voter { Role::Fleet } else { Role::Gate };
    let name = format!("n{number}").parse().expect("a name");
    let hello = Hello {
        node: name,
        incarnation,
        role,
    };
    let known = if disabled == DisabledRule::OneVoter && !voter {
        1
    } else {
        VOTERS
    };
    let voters = Voters::new((0..known).map(addr), voter.then(|| addr(number)));
    Node {
        replica: Replica::new(now, hello.clone(), voters),
        hello,
        probes: BTreeMap::new(),
        frozen: 0,
        reads_log: true,
    }
}

impl Simulation {
    fn new(seed: u64, disabled: DisabledRule) -> Self {
        let now = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(seed),
            disabled,
            now,
            step: 0,
            nodes: (0..NODES)
                .map(|number| node(number, 1, now, disabled))
                .collect(),
            log: Vec::new(),
            log_up: true,
            blocked: [[false; NODES]; NODES],
            in_flight: Vec::new(),
            pending: Vec::new(),
            enforced: Vec::new(),
        }
    }

    fn chance(&mut self, of_thousand: u32) -> bool {
        self.rng.random_range(0..1000) < of_thousand
    }

    /// Returns the number of steps at which a process was fresh and lacked a change that had been
    /// in force for `FRESHNESS_TTL`.
    fn run(mut self) -> u32 {
        let mut violations = 0;
        while self.step < STEPS {
            self.step += 1;
            self.now += STEP;
            self.inject_faults();
            self.deliver();
            (0..NODES).for_each(|node| self.tick(node));
            self.update_enforced();
            violations += u32::from(self.is_violated());
        }
        violations
    }

    fn inject_faults(&mut self) {
        if self.chance(20) {
            self.log_up = !self.log_up;
        }
        let (one, other) = (
            self.rng.random_range(0..NODES),
            self.rng.random_range(0..NODES),
        );
        if self.chance(80) {
            self.blocked[one][other] ^= true;
        }
        if self.chance(100) {
            self.nodes[one].reads_log ^= true;
        }
        if self.chance(15) {
            self.nodes[one].frozen = self.rng.random_range(5..60);
        }
        if self.chance(40) {
            let incarnation = self.nodes[one].hello.incarnation + 1;
            self.nodes[one] = node(one, incarnation, self.now, self.disabled);
            self.pending.retain(|pending| pending.writer != one);
            self.in_flight.retain(|packet| packet.to != one);
        }
        if self.log_up && self.chance(300) {
            self.append(one);
        }
    }

    fn append(&mut self, writer: usize) {
        if !self.nodes[writer].reads_log || self.nodes[writer].frozen > 0 {
            return;
        }
        let offset = self.log.len() as u64;
        let record = Record {
            id: RecordId(offset.into()),
            base: None,
            author: Author::Operator("test".to_owned()),
            at: 0,
            change: Change::Table(Vec::new()),
        };
        let data = record.encode();
        self.log.push(data.clone());
        self.nodes[writer]
            .replica
            .apply(self.now, [(offset, data.clone())]);
        (0..VOTERS)
            .for_each(|to| self.send(writer, to, Message::Records(vec![(offset, data.clone())])));
        let held = None;
        self.pending.push(PendingChange {
            writer,
            offset,
            held,
        });
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from != to && !self.blocked[from][to] {
            let delay = self.rng.random_range(0..LONGEST_DELAY);
            self.in_flight.push(InFlightMessage {
                arrives: self.step + delay,
                to,
                from,
                peer: self.nodes[from].hello.clone(),
                message,
            });
        }
    }

    fn deliver(&mut self) {
        let (step, nodes) = (self.step, &self.nodes);
        let due =
            |packet: &mut InFlightMessage| packet.arrives <= step && nodes[packet.to].frozen == 0;
        let due: Vec<InFlightMessage> = self.in_flight.extract_if(.., due).collect();
        due.into_iter().for_each(|packet| self.receive(packet));
    }

    fn receive(&mut self, packet: InFlightMessage) {
        let InFlightMessage {
            to,
            from,
            peer,
            message,
            ..
        } = packet;
        let now = self.now;
        let node = &mut self.nodes[to];
        match message {
            Message::Probe { nonce, .. } => {
                let offset = node.replica.state().offset;
                let premature =
                    (self.disabled == DisabledRule::NoRecovery).then_some(Message::ProbeReply {
                        nonce,
                        offset,
                        age: None,
                    });
                let vouch = node.replica.probe_reply(now, nonce).or(premature);
                vouch
                    .into_iter()
                    .for_each(|vouch| self.send(to, from, vouch));
            }
            Message::ProbeReply { nonce, offset, age } => {
                let Some(asked) = node.probes.get(&nonce).copied() else {
                    return;
                };
                let asked = if self.disabled == DisabledRule::AnswerTime {
                    now
                } else {
                    asked
                };
                let by = (&peer, Some(addr(from)));
                node.replica
                    .observe_probe_reply(now, by, asked, offset, age);
                if node.replica.is_behind(&peer) {
                    let from_offset = node.replica.state().offset;
                    self.send(to, from, Message::Fetch { from: from_offset });
                }
            }
            Message::Fetch { from: first } => {
                let records = node.replica.fetch_reply(first);
                self.send(to, from, records);
            }
            Message::Records(records) => node.replica.apply(now, records),
            Message::Snapshot { offset, state } => {
                node.replica.install_snapshot(now, offset, &state).unwrap()
            }
            _ => {}
        }
    }

    fn tick(&mut self, of: usize) {
        let (now, step) = (self.now, self.step);
        let node = &mut self.nodes[of];
        if node.frozen > 0 {
            node.frozen -= 1;
            return;
        }
        if self.log_up && node.reads_log {
            let records = (0..).zip(self.log.iter().cloned());
            node.replica
                .apply(now, records.skip(node.replica.state().offset as usize));
            node.replica.observe_head(now, now, self.log.len() as u64);
        }
        if step.is_multiple_of(3) {
            let nonce = u64::from(step);
            node.probes.insert(nonce, now);
            let offset = node.replica.state().offset;
            (0..VOTERS).for_each(|to| self.send(of, to, Message::Probe { nonce, offset }));
        }
    }

    fn update_enforced(&mut self) {
        let now = self.now;
        for pending in &mut self.pending {
            let writer = &self.nodes[pending.writer];
            if writer.frozen > 0 {
                continue;
            }
            let held = pending.held.take();
            pending.held = held.or_else(|| Some((writer.replica.holders(pending.offset)?, now)));
        }
        let nodes = &self.nodes;
        let in_force = |pending: &PendingChange| {
            pending.held.as_ref().is_some_and(|(holders, since)| {
                let replica = &nodes[pending.writer].replica;
                replica.has_confirmed(holders, *since)
            })
        };
        let enforced = self.pending.extract_if(.., |pending| in_force(pending));
        self.enforced
            .extend(enforced.map(|pending| (pending.offset, now)));
    }

    fn is_violated(&self) -> bool {
        let old = self
            .enforced
            .iter()
            .filter(|(_, since)| *since + FRESHNESS_TTL <= self.now);
        let needed = old.map(|(offset, _)| offset + 1).max().unwrap_or(0);
        self.nodes.iter().any(|node| {
            node.replica.fresh_until() > Some(self.now) && node.replica.state().offset < needed
        })
    }
}

#[test_case(DisabledRule::None => false; "all rules kept")]
#[test_case(DisabledRule::NoRecovery => true; "no recovery")]
#[test_case(DisabledRule::AnswerTime => true; "counted from the answer")]
#[test_case(DisabledRule::OneVoter => true; "one voter for a majority")]
fn some_process_is_fresh_without_a_change_in_force(disabled: DisabledRule) -> bool {
    let violations = (0..SEEDS).filter(|seed| Simulation::new(*seed, disabled).run() > 0);
    let violations: Vec<u64> = violations.collect();
    println!(
        "{disabled:?}: {} of {SEEDS} seeds, first {:?}",
        violations.len(),
        violations.first()
    );
    !violations.is_empty()
}
