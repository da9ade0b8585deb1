//! Measures round trips of one message over a link on loopback.

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

const ROUNDS: u64 = 20_000;

#[compio::main]
async fn main() {
    let authority = Authority::new();
    let far = bind(&authority, "echo-far").await;
    let near = bind(&authority, "echo-near").await;
    let mut echo = events(&far);
    spawn(async move {
        while let Some(event) = echo.state.next().await {
            if let NetEvent::Message { link, message } = event {
                link.send(message);
            }
        }
    })
    .detach();
    let mut events = events(&near);
    near.dial("echo", vec![far.local_addr()]);
    let Some(NetEvent::Up { link }) = events.state.next().await else {
        panic!("no link");
    };
    report(&measure(&link, &mut events).await);
    near.close().await;
}

async fn bind(authority: &Authority, name: &str) -> Mesh {
    let hello = Hello {
        node: NodeName::new(name).expect("a name"),
        incarnation: 1,
        role: Role::Gate,
    };
    let addr = ([127, 0, 0, 1], 0).into();
    let log = Logger::root(Discard, o!());
    Mesh::bind(addr, authority.identity(name), hello, log)
        .await
        .expect("a mesh")
}

fn events(mesh: &Mesh) -> Events {
    mesh.take_events().expect("events, once")
}

async fn measure(link: &Link, events: &mut Events) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("a histogram");
    for nonce in 0..ROUNDS {
        let begun = Instant::now();
        link.send(Message::Probe { nonce, offset: 0 });
        let event = events.state.next().await;
        assert!(matches!(
            event,
            Some(NetEvent::Message { message: Message::Probe { nonce: heard, .. }, .. })
                if heard == nonce
        ));
        let nanos = u64::try_from(begun.elapsed().as_nanos()).expect("a short time");
        times.record(nanos).expect("a time in range");
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
