//! Forwarding of datagrams.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use futures_util::future::join;

use crate::link::Direction;
use crate::link::Link;

const BUFFER_BYTES: usize = 64 * 1024;

/// One client's way to the target, under a socket of its own.
struct Flow {
    socket: UdpSocket,
    silent: Cell<bool>,
}

impl Flow {
    async fn open(target: SocketAddr) -> io::Result<Self> {
        let socket = match target {
            SocketAddr::V4(_) => UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?,
            SocketAddr::V6(_) => UdpSocket::bind((Ipv6Addr::UNSPECIFIED, 0)).await?,
        };
        socket.connect(target).await?;
        Ok(Self {
            socket,
            silent: Cell::new(false),
        })
    }
}

/// Forwards the datagrams that come to `socket`.
///
/// A client is an address: once forgotten, all its datagrams are dropped.
///
/// # Errors
/// A socket towards the target can't be opened.
pub async fn forward_udp(socket: UdpSocket, link: Rc<Link>) -> io::Result<()> {
    let socket = Rc::new(socket);
    let mut flows: HashMap<SocketAddr, Rc<Flow>> = HashMap::new();
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((_, client)) = received else {
            continue;
        };
        let flow = match flows.get(&client) {
            Some(flow) => flow.clone(),
            None => {
                let flow = Rc::new(Flow::open(link.ends.target).await?);
                flows.insert(client, flow.clone());
                spawn_answers(client, socket.clone(), flow.clone(), link.clone());
                flow
            }
        };
        if !flow.silent.get() && !link.stops(Direction::ToTarget) {
            let BufResult(_, sent) = flow.socket.send(buffer).await;
            buffer = sent;
        }
    }
}

fn spawn_answers(client: SocketAddr, socket: Rc<UdpSocket>, flow: Rc<Flow>, link: Rc<Link>) {
    compio::runtime::spawn(async move {
        let Some((_, fate)) = link.connections.open() else {
            return;
        };
        join(answers(client, &socket, &flow, &link), async {
            fate.await.ok();
            flow.silent.set(true);
        })
        .await;
    })
    .detach();
}

async fn answers(client: SocketAddr, socket: &UdpSocket, flow: &Flow, link: &Link) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    while !flow.silent.get() {
        buffer.clear();
        let BufResult(received, filled) = flow.socket.recv(buffer).await;
        buffer = filled;
        if received.is_ok() && !flow.silent.get() && !link.stops(Direction::ToClient) {
            let BufResult(_, sent) = socket.send_to(buffer, client).await;
            buffer = sent;
        }
    }
}
