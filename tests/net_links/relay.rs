//! A relay of datagrams that can fall silent.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::UdpSocket;
use compio::runtime::JoinHandle;
use compio::runtime::spawn;

use crate::raw::loopback;

/// Forwards datagrams between the peer that connects to its address and `target`, until dropped.
pub struct UdpRelay {
    /// Address to connect to.
    pub addr: SocketAddr,
    _tasks: [JoinHandle<()>; 2],
}

impl UdpRelay {
    /// Starts to forward.
    pub async fn open(target: SocketAddr) -> Self {
        let front = UdpSocket::bind(loopback()).await.expect("a socket");
        let back = UdpSocket::bind(loopback()).await.expect("a socket");
        let addr = front.local_addr().expect("an address");
        let client = Rc::new(Cell::new(loopback()));
        let target = Rc::new(Cell::new(target));
        let outbound = forward(
            front.clone(),
            back.clone(),
            Rc::clone(&client),
            Rc::clone(&target),
        );
        let inbound = forward(back, front, target, client);
        Self {
            addr,
            _tasks: [spawn(outbound), spawn(inbound)],
        }
    }
}

async fn forward(
    from: UdpSocket,
    to: UdpSocket,
    sender: Rc<Cell<SocketAddr>>,
    receiver: Rc<Cell<SocketAddr>>,
) {
    let mut buffer = Vec::with_capacity(1 << 16);
    loop {
        buffer.clear();
        let received = from.recv_from(buffer).await;
        let (_, addr) = received.0.expect("a datagram");
        sender.set(addr);
        let sent = to.send_to(received.1, receiver.get()).await;
        sent.0.expect("sent");
        buffer = sent.1;
    }
}
