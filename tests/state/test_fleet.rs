//! Followers that share an in-memory log and are linked by channels instead of a network.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use compio::time::sleep;
use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedSender;
use futures_util::StreamExt;
use mimosastep::log::LogClient;
use mimosastep::member::Follower;
use mimosastep::member::Voters;
use mimosastep::net::Link;
use mimosastep::net::LinkId;
use mimosastep::net::NetEvent;
use mimosastep::observe::Recorder;
use mimosastep::record::Author;
use mimosastep::record::Change;
use mimosastep::record::Member;
use mimosastep::record::Record;
use mimosastep::record::RecordId;
use mimosastep::record::Role;
use mimosastep::record::TeamRow;
use mimosastep::wire::Hello;
use mimosastep::wire::Message;
use slog::Discard;
use slog::Logger;
use slog::o;

use crate::fake_log::FakeLog;

pub struct Process {
    pub hello: Hello,
    pub follower: Follower,
    pub recorder: Recorder,
    pub events: UnboundedSender<NetEvent>,
}

/// Made-up listen address, unique for each node name.
pub fn addr(node: &str) -> SocketAddr {
    let number: u8 = node[1..].parse().expect("a number");
    ([10, node.as_bytes()[0], 0, number], 1).into()
}

pub fn spawn_process(log: &str, node: &str, role: Role) -> Process {
    let hello = Hello {
        node: node.parse().expect("a name"),
        incarnation: 1,
        role,
    };
    let (events, receiver) = mpsc::unbounded();
    let client = LogClient::new(log).expect("a client");
    let logger = Logger::root(Discard, o!());
    let own = (role == Role::Fleet).then(|| addr(node));
    let voters = Voters::new(["f1", "f2", "f3"].map(addr), own);
    let recorder = Recorder::default();
    let notes = recorder.clone();
    let follower = Follower::spawn(hello.clone(), voters, client, receiver, notes, logger);
    Process {
        hello,
        follower,
        recorder,
        events,
    }
}

/// Links two processes in both directions by channels.
pub fn connect(one: &Process, other: &Process, id: u64) {
    connect_one_way(one, other, id);
    connect_one_way(other, one, id);
}

fn connect_one_way(local: &Process, peer: &Process, id: u64) {
    let (outbox, mut sent) = mpsc::unbounded::<Message>();
    let peer_addr = addr(peer.hello.node.as_str());
    let link = Link::new(LinkId(id), peer.hello.clone(), outbox).dialled(peer_addr);
    let peer_events = peer.events.clone();
    let local_events = local.events.clone();
    let reply = Link::new(
        LinkId(id),
        local.hello.clone(),
        spawn_reply_relay(local_events, link.clone()),
    );
    spawn(async move {
        while let Some(message) = sent.next().await {
            let link = reply.clone();
            let _ = peer_events.unbounded_send(NetEvent::Message { link, message });
        }
    })
    .detach();
    let _ = local.events.unbounded_send(NetEvent::Up { link });
}

/// Returns a sender whose messages arrive as replies on `link`.
fn spawn_reply_relay(
    local_events: UnboundedSender<NetEvent>,
    link: Link,
) -> UnboundedSender<Message> {
    let (sender, mut receiver) = mpsc::unbounded();
    spawn(async move {
        while let Some(message) = receiver.next().await {
            let link = link.clone();
            let _ = local_events.unbounded_send(NetEvent::Message { link, message });
        }
    })
    .detach();
    sender
}

pub fn table(weight: u32) -> Change {
    Change::Table(vec![TeamRow {
        team: "x".parse().expect("a name"),
        weight,
        limit: 1,
        urgent: false,
    }])
}

pub fn record(id: u128, change: Change) -> Record {
    Record {
        id: RecordId(id),
        base: None,
        author: Author::Operator("test".to_owned()),
        at: 0,
        change,
    }
}

pub fn join(node: &str, role: Role) -> Change {
    Change::Join {
        node: node.parse().expect("a name"),
        member: Member {
            role,
            incarnation: 1,
            addr: ([127, 0, 0, 1], 1).into(),
            dc: "a".parse().expect("a name"),
            leaving: false,
        },
    }
}

pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(8);
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

pub fn is_fresh(process: &Process) -> bool {
    process.follower.fresh_until() > Some(Instant::now())
}

/// Fleet processes f1 to f3, fully linked; their three join records are applied.
pub async fn start_fleet(log: &FakeLog) -> [Process; 3] {
    for (id, node) in (1..).zip(["f1", "f2", "f3"]) {
        log.put(record(id, join(node, Role::Fleet)).encode());
    }
    let fleet = ["f1", "f2", "f3"].map(|node| spawn_process(&log.url(), node, Role::Fleet));
    connect(&fleet[0], &fleet[1], 1);
    connect(&fleet[1], &fleet[2], 2);
    connect(&fleet[0], &fleet[2], 3);
    wait_until("joined", || {
        fleet.iter().all(|f| f.follower.state().offset == 3)
    })
    .await;
    fleet
}
