//! Forwards UDP datagrams.

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

use crate::connections::ConnectionFault;
use crate::link::Direction;
use crate::link::Link;

const BUFFER_BYTES: usize = 64 * 1024;

/// The socket on which one client's datagrams go to the target and replies come back.
struct Flow {
    socket: UdpSocket,
    fault: RefCell<oneshot::Receiver<ConnectionFault>>,
}

impl Flow {
    async fn open(link: &Link) -> io::Result<Self> {
        let target = link.endpoints.target;
        let socket = match target {
            SocketAddr::V4(_) => UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?,
            SocketAddr::V6(_) => UdpSocket::bind((Ipv6Addr::UNSPECIFIED, 0)).await?,
        };
        socket.connect(target).await?;
        let (_, fault) = link
            .connections
            .open()
            .ok_or(io::ErrorKind::QuotaExceeded)?;
        let fault = RefCell::new(fault);
        Ok(Self { socket, fault })
    }

    fn is_silent(&self) -> bool {
        !matches!(self.fault.borrow_mut().try_recv(), Ok(None))
    }
}

/// Forwards the datagrams that arrive at `socket`.
///
/// A client is identified by its address; once it is silenced, all its datagrams are dropped.
///
/// # Errors
/// No socket to the target can be opened.
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
                let replies = forward_replies(client, socket.clone(), flow.clone(), link.clone());
                compio::runtime::spawn(replies).detach();
                flow
            }
        };
        if !flow.is_silent() && !link.is_cut(Direction::ToTarget) {
            let BufResult(_, sent) = flow.socket.send(buffer).await;
            buffer = sent;
        }
    }
}

async fn forward_replies(
    client: SocketAddr,
    socket: Rc<UdpSocket>,
    flow: Rc<Flow>,
    link: Rc<Link>,
) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    while !flow.is_silent() {
        buffer.clear();
        let BufResult(received, filled) = flow.socket.recv(buffer).await;
        buffer = filled;
        if received.is_ok() && !flow.is_silent() && !link.is_cut(Direction::ToClient) {
            let BufResult(_, sent) = socket.send_to(buffer, client).await;
            buffer = sent;
        }
    }
}
