//! Forwards TCP and UDP over links that can be cut.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use argh::FromArgs;
use compio::net::UdpSocket;
use futures_util::future::FutureExt;
use futures_util::future::try_join_all;

use standins::forward::Forwarder;
use standins::link::Endpoints;
use standins::link::Link;
use standins::serve::listen;
use standins::serve::print_address;
use standins::serve::run_until_sigterm;
use standins::serve::serve;
use standins::tcp::forward_tcp;
use standins::udp::forward_udp;

/// Stands in for the network between two addresses.
///
/// Prints the control address first, then those of the TCP and the UDP links.
#[derive(FromArgs)]
struct Arguments {
    /// LISTEN=TARGET of TCP connections; may be repeated
    #[argh(option)]
    tcp: Vec<Endpoints>,
    /// LISTEN=TARGET of datagrams; may be repeated
    #[argh(option)]
    udp: Vec<Endpoints>,
    /// address of the control
    #[argh(option)]
    control: SocketAddr,
}

fn main() -> io::Result<()> {
    let arguments: Arguments = argh::from_env();
    run_until_sigterm(async {
        let control = listen(arguments.control).await?;
        let mut links = Vec::new();
        let mut tasks = Vec::new();
        for endpoints in arguments.tcp {
            let listener = listen(endpoints.listen).await?;
            let link = Rc::new(Link::new(endpoints));
            links.push(link.clone());
            tasks.push(forward_tcp(listener, link).boxed_local());
        }
        for endpoints in arguments.udp {
            let socket = UdpSocket::bind(endpoints.listen).await?;
            print_address(socket.local_addr()?)?;
            let link = Rc::new(Link::new(endpoints));
            links.push(link.clone());
            tasks.push(forward_udp(socket, link).boxed_local());
        }
        tasks.push(serve(control, Rc::new(Forwarder::new(links))).boxed_local());
        try_join_all(tasks).await.map(drop)
    })
}
