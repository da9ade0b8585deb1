//! Measures the round-trip time of a message over a link on the loopback interface.

#[path = "../tests/common/certs.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod certs;

use std::time::Instant;

use certs::Authority;
use compio::runtime::spawn;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use mimosastep::name::NodeName;
use mimosastep::net::Events;
use mimosastep::net::Link;
use mimosastep::net::Mesh;
use mimosastep::net::NetEvent;
use mimosastep::record::Role;
use mimosastep::wire::Hello;
use mimosastep::wire::Message;
use slog::Discard;
use slog::Logger;
use slog::o;

/// Number of round trips to measure.
const ROUNDS: u64 = 20_000;

#[compio::main]
async fn main() {
    let authority = Authority::new();
    let server = bind(&authority, "echo-far").await;
    let client = bind(&authority, "echo-near").await;
    let mut server_events = events(&server);
    spawn(async move {
        while let Some(event) = server_events.state.next().await {
            if let NetEvent::Message { link, message } = event {
                link.send(message);
            }
        }
    })
    .detach();
    let mut events = events(&client);
    client.dial("echo", vec![server.local_addr()]);
    let Some(NetEvent::Up { link }) = events.state.next().await else {
        panic!("expected a link to come up first");
    };
    report(&measure(&link, &mut events).await);
    client.close().await;
}

async fn bind(authority: &Authority, name: &str) -> Mesh {
    let hello = Hello {
        node: NodeName::new(name).expect("valid name"),
        incarnation: 1,
        role: Role::Gate,
    };
    let addr = ([127, 0, 0, 1], 0).into();
    let log = Logger::root(Discard, o!());
    Mesh::bind(addr, authority.identity(name), hello, log)
        .await
        .expect("mesh bound to a loopback address")
}

fn events(mesh: &Mesh) -> Events {
    mesh.take_events().expect("events not taken yet")
}

async fn measure(link: &Link, events: &mut Events) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("valid histogram precision");
    for nonce in 0..ROUNDS {
        let start = Instant::now();
        link.send(Message::Probe { nonce, offset: 0 });
        let event = events.state.next().await;
        assert!(matches!(
            event,
            Some(NetEvent::Message { message: Message::Probe { nonce: reply_nonce, .. }, .. })
                if reply_nonce == nonce
        ));
        let nanos =
            u64::try_from(start.elapsed().as_nanos()).expect("round-trip time fits into 64 bits");
        times
            .record(nanos)
            .expect("round-trip time within the histogram's range");
    }
    times
}

fn report(times: &Histogram<u64>) {
    let micros = |nanos: u64| nanos / 1_000;
    println!(
        "{} round trips: p50 {} us, p99 {} us, max {} us",
        times.len(),
        micros(times.value_at_quantile(0.5)),
        micros(times.value_at_quantile(0.99)),
        micros(times.max()),
    );
}
