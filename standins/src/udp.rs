//! Forwarding of datagrams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::buf::BufResult;
use compio::net::UdpSocket;
use futures_channel::oneshot;

use crate::connections::Fate;
use crate::link::Direction;
use crate::link::Link;

const BUFFER_BYTES: usize = 64 * 1024;

/// One client's way to the target, under a socket of its own.
struct Flow {
    socket: UdpSocket,
    fate: RefCell<oneshot::Receiver<Fate>>,
}

impl Flow {
    async fn open(link: &Link) -> io::Result<Self> {
        let target = link.ends.target;
        let socket = match target {
            SocketAddr::V4(_) => UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?,
            SocketAddr::V6(_) => UdpSocket::bind((Ipv6Addr::UNSPECIFIED, 0)).await?,
        };
        socket.connect(target).await?;
        let (_, fate) = link
            .connections
            .open()
            .ok_or(io::ErrorKind::QuotaExceeded)?;
        let fate = RefCell::new(fate);
        Ok(Self { socket, fate })
    }

    fn is_silent(&self) -> bool {
        !matches!(self.fate.borrow_mut().try_recv(), Ok(None))
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
                let flow = Rc::new(Flow::open(&link).await?);
                flows.insert(client, flow.clone());
                let answers = answer(client, socket.clone(), flow.clone(), link.clone());
                compio::runtime::spawn(answers).detach();
                flow
            }
        };
        if !flow.is_silent() && !link.stops(Direction::ToTarget) {
            let BufResult(_, sent) = flow.socket.send(buffer).await;
            buffer = sent;
        }
    }
}

async fn answer(client: SocketAddr, socket: Rc<UdpSocket>, flow: Rc<Flow>, link: Rc<Link>) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    while !flow.is_silent() {
        buffer.clear();
        let BufResult(received, filled) = flow.socket.recv(buffer).await;
        buffer = filled;
        if received.is_ok() && !flow.is_silent() && !link.stops(Direction::ToClient) {
            let BufResult(_, sent) = socket.send_to(buffer, client).await;
            buffer = sent;
        }
    }
}
