//! Forwarding of TCP connections.

use std::future::pending;
use std::io;
use std::pin::pin;
use std::rc::Rc;

use compio::buf::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWrite;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use futures_util::future::Either;
use futures_util::future::join;
use futures_util::future::select;

use crate::connections::Fate;
use crate::link::Direction;
use crate::link::Link;

const BUFFER_BYTES: usize = 64 * 1024;

/// Forwards the connections that `listener` accepts.
///
/// # Errors
/// The listener can't accept any more.
pub async fn forward_tcp(listener: TcpListener, link: Rc<Link>) -> io::Result<()> {
    loop {
        let (client, _) = listener.accept().await?;
        compio::runtime::spawn(keep(client, link.clone())).detach();
    }
}

async fn keep(client: TcpStream, link: Rc<Link>) {
    let Some((connection, fate)) = link.connections.open() else {
        return;
    };
    let relay = pin!(relay(&client, &link));
    if let Either::Left((Ok(Fate::Silent), _relay)) = select(fate, relay).await {
        pending::<()>().await;
    }
    link.connections.close(&connection);
}

async fn relay(client: &TcpStream, link: &Link) -> io::Result<()> {
    client.set_nodelay(true)?;
    let target = TcpStream::connect(link.ends.target).await?;
    target.set_nodelay(true)?;
    join(
        pump(client, &target, link, Direction::ToTarget),
        pump(&target, client, link, Direction::ToClient),
    )
    .await;
    Ok(())
}

async fn pump(mut from: &TcpStream, mut to: &TcpStream, link: &Link, direction: Direction) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(read, filled) = from.read(buffer).await;
        buffer = filled;
        if !read.is_ok_and(|count| count > 0) {
            break;
        }
        if link.stops(direction) {
            continue;
        }
        let BufResult(written, sent) = to.write_all(buffer).await;
        buffer = sent;
        if written.is_err() {
            break;
        }
    }
    link.open(direction).await;
    to.shutdown().await.ok();
}
