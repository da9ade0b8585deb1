//! Links: authentication, message delivery, and detection of closed links.

#[path = "../common/certs.rs"]
mod certs;
mod raw;
mod relay;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use certs::Authority;
use compio::time::timeout;
use compio_quic::ConnectionError;
use compio_quic::ServerConfig;
use compio_quic::crypto::rustls::QuicServerConfig;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use mimosastep::name::NodeName;
use mimosastep::net::Events;
use mimosastep::net::FRAME_LIMIT;
use mimosastep::net::Link;
use mimosastep::net::LinkId;
use mimosastep::net::Mesh;
use mimosastep::net::NetEvent;
use mimosastep::net::encode;
use mimosastep::record::Role;
use mimosastep::wire::Hello;
use mimosastep::wire::Message;
use raw::load_pair;
use raw::loopback;
use raw::raw_client;
use raw::raw_connect;
use raw::raw_endpoint;
use raw::with_timeout;
use relay::UdpRelay;
use rustls::crypto::ring;
use slog::Discard;
use slog::Logger;
use slog::o;
use test_case::test_case;

type Receiver = UnboundedReceiver<NetEvent>;

fn report() -> Message {
    Message::Report {
        epoch: 0,
        running: Vec::new(),
    }
}

fn hello(name: &str) -> Hello {
    Hello {
        node: NodeName::new(name).expect("a name"),
        incarnation: 7,
        role: Role::Sched,
    }
}

async fn bind_at(addr: SocketAddr, authority: &Authority, name: &str) -> (Mesh, Events) {
    let log = Logger::root(Discard, o!());
    let mesh = Mesh::bind(addr, authority.identity(name), hello(name), log)
        .await
        .expect("a mesh");
    let events = mesh.take_events().expect("events");
    assert!(mesh.take_events().is_none());
    (mesh, events)
}

async fn bind(authority: &Authority, name: &str) -> (Mesh, Events) {
    bind_at(loopback(), authority, name).await
}

async fn next_event(events: &mut Receiver) -> NetEvent {
    with_timeout(events.next()).await.expect("an event")
}

async fn next_up(events: &mut Receiver) -> Link {
    match next_event(events).await {
        NetEvent::Up { link } => link,
        other => panic!("expected an up event, got {other:?}"),
    }
}

async fn next_down(events: &mut Receiver) -> LinkId {
    match next_event(events).await {
        NetEvent::Down { link } => link,
        other => panic!("expected a down event, got {other:?}"),
    }
}

async fn next_message(events: &mut Receiver) -> Message {
    match next_event(events).await {
        NetEvent::Message { message, .. } => message,
        other => panic!("expected a message, got {other:?}"),
    }
}

fn probe(nonce: u64) -> Message {
    Message::Probe { nonce, offset: 3 }
}

#[compio::test]
async fn messages_go_both_ways() {
    let fleet = Authority::new();
    let (a, mut a_events) = bind(&fleet, "a").await;
    let (b, mut b_events) = bind(&fleet, "b").await;
    a.dial("peers", vec![b.local_addr(), a.local_addr()]);
    let to_b = next_up(&mut a_events.dispatch).await;
    let to_a = next_up(&mut b_events.dispatch).await;
    assert_eq!(to_b.peer(), &hello("b"));
    assert_eq!(to_a.peer(), &hello("a"));
    assert_eq!(next_up(&mut a_events.state).await.id(), to_b.id());
    assert_eq!(next_up(&mut b_events.state).await.id(), to_a.id());
    let large = Message::Records(vec![(1, vec![9; FRAME_LIMIT - 64])]);
    for nonce in 0..500 {
        to_b.send(probe(nonce));
    }
    to_a.send(large.clone());
    to_b.send(report());
    for nonce in 0..500 {
        assert_eq!(next_message(&mut b_events.state).await, probe(nonce));
    }
    assert_eq!(next_message(&mut a_events.state).await, large);
    assert_eq!(next_message(&mut b_events.dispatch).await, report());
}

#[compio::test]
async fn a_message_beyond_the_limit_costs_only_itself() {
    let fleet = Authority::new();
    let (a, mut a_events) = bind(&fleet, "a").await;
    let (b, mut b_events) = bind(&fleet, "b").await;
    a.dial("peers", vec![b.local_addr()]);
    let to_b = next_up(&mut a_events.state).await;
    next_up(&mut b_events.state).await;
    to_b.send(Message::Records(vec![(1, vec![9; FRAME_LIMIT])]));
    to_b.send(probe(1));
    assert_eq!(next_message(&mut b_events.state).await, probe(1));
}

#[test_case(false; "no certificate")]
#[test_case(true; "another authority's certificate")]
#[compio::test]
async fn a_stranger_gets_no_link(certified: bool) {
    let fleet = Authority::new();
    let other = Authority::new();
    let (mesh, mut events) = bind(&fleet, "a").await;
    let own = certified.then(|| other.node("stranger"));
    let config = raw_client(&fleet.node("unused"), own.as_ref());
    let endpoint = raw_endpoint(None).await;
    // In TLS 1.3 a client's handshake may complete before the server has verified its
    // certificate.
    let end = match raw_connect(&endpoint, mesh.local_addr(), config).await {
        Ok(connection) => {
            let stream = connection.open_bi();
            if let Ok((mut send, _)) = stream {
                let mut frame = Vec::new();
                encode(&Message::Hello(hello("stranger")), &mut frame).expect("a frame");
                let _ = send.write_all_chunks(&mut [Bytes::from(frame)]).await;
                with_timeout(connection.closed()).await
            } else {
                with_timeout(connection.closed()).await
            }
        }
        Err(err) => err,
    };
    assert!(
        matches!(end, ConnectionError::ConnectionClosed(_)),
        "{end:?}"
    );
    let (good, _) = bind(&fleet, "good").await;
    good.dial("peers", vec![mesh.local_addr()]);
    assert_eq!(next_up(&mut events.dispatch).await.peer(), &hello("good"));
}

#[compio::test]
async fn a_server_without_the_fleets_certificate_is_not_trusted() {
    let fleet = Authority::new();
    let other = Authority::new();
    let (chain, key) = load_pair(&other.node("stranger"));
    let mut tls = rustls::ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .expect("a pair");
    tls.alpn_protocols = vec![b"mimosa/1".to_vec()];
    let crypto = QuicServerConfig::try_from(tls).expect("QUIC");
    let server = raw_endpoint(Some(ServerConfig::with_crypto(Arc::new(crypto)))).await;
    let (mesh, mut events) = bind(&fleet, "a").await;
    mesh.dial("peers", vec![server.local_addr().expect("an address")]);
    let incoming = with_timeout(server.wait_incoming())
        .await
        .expect("a connection attempt");
    let end = with_timeout(async { incoming.accept().expect("accepted").await }).await;
    assert!(
        matches!(end, Err(ConnectionError::ConnectionClosed(_))),
        "{end:?}"
    );
    assert!(events.dispatch.try_recv().is_err());
}

fn framed(message: &Message) -> Vec<u8> {
    let mut frame = Vec::new();
    encode(message, &mut frame).expect("a frame");
    frame
}

#[test_case(&[], &[0xff; 40]; "garbage instead of a hello")]
#[test_case(&[], &framed(&probe(1)); "another message before a hello")]
#[test_case(&[], &framed(&Message::Hello(hello("a"))); "a hello with the process's own name")]
#[test_case(&framed(&Message::Hello(hello("c"))), &[1, 0, 0, 0, 9]; "another version after a hello")]
#[test_case(&framed(&Message::Hello(hello("c"))), &framed(&Message::Hello(hello("c"))); "two hellos")]
#[compio::test]
async fn garbage_costs_only_its_link(before: &[u8], garbage: &[u8]) {
    let fleet = Authority::new();
    let (a, mut a_events) = bind(&fleet, "a").await;
    let (b, mut b_events) = bind(&fleet, "b").await;
    b.dial("peers", vec![a.local_addr()]);
    let to_a = next_up(&mut b_events.state).await;
    let to_b = next_up(&mut a_events.state).await;
    let files = fleet.node("c");
    let endpoint = raw_endpoint(None).await;
    let raw = raw_connect(&endpoint, a.local_addr(), raw_client(&files, Some(&files)))
        .await
        .expect("a connection");
    let (mut send, _recv) = raw.open_bi().expect("a stream");
    let bytes = Bytes::from([before, garbage].concat());
    send.write_all_chunks(&mut [bytes]).await.expect("written");
    let end = with_timeout(raw.closed()).await;
    assert!(
        matches!(end, ConnectionError::ApplicationClosed(_)),
        "{end:?}"
    );
    if !before.is_empty() {
        let link = next_up(&mut a_events.state).await;
        assert_eq!(next_down(&mut a_events.state).await, link.id());
    }
    to_a.send(probe(1));
    assert_eq!(next_message(&mut a_events.state).await, probe(1));
    to_b.send(probe(2));
    assert_eq!(next_message(&mut b_events.state).await, probe(2));
}

#[compio::test]
async fn a_close_is_told_at_once_and_a_restarted_peer_is_found_again() {
    let fleet = Authority::new();
    let (a, mut a_events) = bind(&fleet, "a").await;
    let (b, mut b_events) = bind(&fleet, "b").await;
    let addr = b.local_addr();
    a.dial("peers", vec![addr]);
    let first = next_up(&mut a_events.dispatch).await;
    next_up(&mut b_events.dispatch).await;
    b.close().await;
    // Far below the idle timeout, so the link can only end by an explicit close.
    let gone = timeout(
        Duration::from_millis(500),
        next_down(&mut a_events.dispatch),
    )
    .await;
    assert_eq!(gone.expect("at once"), first.id());
    next_down(&mut b_events.dispatch).await;
    let (_b, mut b_events) = bind_at(addr, &fleet, "b").await;
    let second = next_up(&mut a_events.dispatch).await;
    assert_ne!(second.id(), first.id());
    next_up(&mut b_events.dispatch).await;
    first.send(report());
    second.send(report());
    next_message(&mut b_events.dispatch).await;
}

#[compio::test]
async fn an_address_is_dialled_while_any_group_wants_it() {
    let fleet = Authority::new();
    let (a, mut a_events) = bind(&fleet, "a").await;
    let (b, mut b_events) = bind(&fleet, "b").await;
    let (c, _c_events) = bind(&fleet, "c").await;
    a.dial("one", vec![b.local_addr()]);
    a.dial("two", vec![b.local_addr()]);
    let to_b = next_up(&mut a_events.dispatch).await;
    next_up(&mut b_events.dispatch).await;
    a.dial("one", vec![c.local_addr()]);
    assert_eq!(next_up(&mut a_events.dispatch).await.peer(), &hello("c"));
    a.dial("two", Vec::new());
    assert_eq!(next_down(&mut a_events.dispatch).await, to_b.id());
    next_down(&mut b_events.dispatch).await;
}

#[compio::test]
async fn a_silent_peer_is_gone_after_the_idle_timeout() {
    let fleet = Authority::new();
    let (a, mut a_events) = bind(&fleet, "a").await;
    let (b, mut b_events) = bind(&fleet, "b").await;
    let relay = UdpRelay::open(b.local_addr()).await;
    a.dial("peers", vec![relay.addr]);
    let to_b = next_up(&mut a_events.dispatch).await;
    let to_a = next_up(&mut b_events.dispatch).await;
    // Keep-alives hold a link without messages for longer than the idle timeout.
    let quiet = timeout(Duration::from_millis(2_500), a_events.dispatch.next()).await;
    assert!(quiet.is_err(), "{quiet:?}");
    drop(relay);
    // The idle timeout of 2 s counts from the first unanswered keep-alive (after 500 ms).
    let gone = timeout(Duration::from_secs(3), async {
        let a_gone = next_down(&mut a_events.dispatch).await;
        (a_gone, next_down(&mut b_events.dispatch).await)
    });
    assert_eq!(gone.await.expect("in time"), (to_b.id(), to_a.id()));
}

#[compio::test]
async fn connections_beyond_the_limit_are_refused() {
    let fleet = Authority::new();
    let (mesh, mut events) = bind(&fleet, "a").await;
    let files = fleet.node("c");
    let endpoint = raw_endpoint(None).await;
    let config = raw_client(&files, Some(&files));
    let mut connections = Vec::new();
    for _ in 0..1_024 {
        let raw = raw_connect(&endpoint, mesh.local_addr(), config.clone());
        let raw = raw.await.expect("a connection");
        let (mut send, recv) = raw.open_bi().expect("a stream");
        let bytes = Bytes::from(framed(&Message::Hello(hello("c"))));
        send.write_all_chunks(&mut [bytes]).await.expect("written");
        next_up(&mut events.dispatch).await;
        connections.push((raw, send, recv));
    }
    let refused = raw_connect(&endpoint, mesh.local_addr(), config.clone()).await;
    assert!(
        matches!(refused, Err(ConnectionError::ConnectionClosed(_))),
        "{refused:?}"
    );
    connections.pop();
    next_down(&mut events.dispatch).await;
    let taken = raw_connect(&endpoint, mesh.local_addr(), config).await;
    taken.expect("the connection slot that was released");
}
