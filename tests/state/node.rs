//! Node lifecycle: join, end, rejoin, and closing of links on shutdown.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use compio::time::timeout;
use futures_util::StreamExt;
use mimosastep::intake::Budget;
use mimosastep::net::NetEvent;
use mimosastep::node::MembershipEnd;
use mimosastep::node::Node;
use mimosastep::record::Change;
use mimosastep::record::Role;
use mimosastep::settings::NodeSettings;
use mimosastep::settings::TlsSettings;

use crate::certs::Authority;
use crate::fake_log::FakeLog;
use crate::test_fleet::join;
use crate::test_fleet::record;
use crate::test_fleet::wait_until;

const END_TIMEOUT: Duration = Duration::from_secs(8);

/// Shorter than the idle timeout of a connection, so that only an explicit close is in time.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);

pub fn free_addr() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address")
}

pub fn settings(
    authority: &Authority,
    log: &FakeLog,
    number: usize,
    fleet: &[SocketAddr],
) -> NodeSettings {
    let node = format!("f{number}");
    let files = authority.node(&node);
    NodeSettings {
        node: node.parse().expect("a name"),
        dc: "a".parse().expect("a name"),
        listen: fleet[number - 1],
        http: ([127, 0, 0, 1], 0).into(),
        log: log.url().parse().expect("a URL"),
        fleet: fleet.to_vec(),
        tls: TlsSettings {
            ca: files.ca,
            cert: files.cert,
            key: files.key,
        },
        budget: Budget::default(),
    }
}

async fn start(settings: &NodeSettings) -> Node {
    let node = Node::spawn(settings, Role::Fleet).await.expect("a node");
    node.join();
    node
}

async fn wait_ready(node: &Node) {
    let ready = node.readiness();
    wait_until("ready", || ready.get()).await;
}

async fn wait_ended(node: &Node) -> MembershipEnd {
    timeout(END_TIMEOUT, node.ended()).await.expect("in time")
}

#[compio::test]
async fn an_ended_process_rejoins_under_a_new_incarnation() {
    let (authority, log) = (Authority::new(), FakeLog::start());
    let settings = settings(&authority, &log, 1, &[free_addr()]);
    let first = start(&settings).await;
    wait_ready(&first).await;
    let incarnation = first.incarnation();
    let node = first.name().clone();
    log.put(record(1, Change::End { node, incarnation }).encode());
    assert_eq!(wait_ended(&first).await, MembershipEnd::Suspected);
    first.leave().await;
    let second = start(&settings).await;
    wait_ready(&second).await;
    assert!(second.incarnation() > incarnation);
}

#[compio::test]
async fn a_process_gives_way_to_its_successor() {
    let (authority, log) = (Authority::new(), FakeLog::start());
    let first = start(&settings(&authority, &log, 1, &[free_addr()])).await;
    wait_ready(&first).await;
    log.put(record(1, join_at("f1", first.incarnation() + 1)).encode());
    assert_eq!(wait_ended(&first).await, MembershipEnd::Replaced);
}

#[compio::test]
async fn a_process_whose_clock_went_back_joins_all_the_same() {
    let (authority, log) = (Authority::new(), FakeLog::start());
    let settings = settings(&authority, &log, 2, &[free_addr(), free_addr()]);
    let incarnation = u64::MAX / 2;
    log.put(record(1, join_at("f2", incarnation)).encode());
    let node = settings.node.clone();
    log.put(record(2, Change::End { node, incarnation }).encode());
    let first = start(&settings).await;
    assert_eq!(wait_ended(&first).await, MembershipEnd::Suspected);
    first.leave().await;
    let second = start(&settings).await;
    wait_ready(&second).await;
}

fn join_at(node: &str, incarnation: u64) -> Change {
    match join(node, Role::Fleet) {
        Change::Join { node, mut member } => {
            member.incarnation = incarnation;
            Change::Join { node, member }
        }
        other => other,
    }
}

#[compio::test]
async fn a_stopped_process_closes_its_links() {
    let (authority, log) = (Authority::new(), FakeLog::start());
    let fleet = [free_addr(), free_addr()];
    let [one, two] = [1, 2].map(|number| settings(&authority, &log, number, &fleet));
    let (mut one, two) = (start(&one).await, start(&two).await);
    wait_ready(&one).await;
    wait_ready(&two).await;
    let mut events = one.take_events();
    let mut open = 0;
    while open == 0 {
        open += i32::from(matches!(events.next().await, Some(NetEvent::Up { .. })));
    }
    two.leave().await;
    let deadline = Instant::now() + CLOSE_TIMEOUT;
    while open > 0 {
        match compio::time::timeout_at(deadline, events.next()).await {
            Ok(Some(NetEvent::Up { .. })) => open += 1,
            Ok(Some(NetEvent::Down { .. })) => open -= 1,
            Ok(_) => {}
            Err(_) => panic!("{open} links are still open"),
        }
    }
}
