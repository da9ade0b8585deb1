//! Forwards TCP connections.

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

use crate::connections::ConnectionFault;
use crate::link::Direction;
use crate::link::Link;

const BUFFER_BYTES: usize = 64 * 1024;

/// Forwards the connections that `listener` accepts.
///
/// What is sent in a direction that is cut is dropped; the connections stay open.
///
/// # Errors
/// The listener can no longer accept connections.
pub async fn forward_tcp(listener: TcpListener, link: Rc<Link>) -> io::Result<()> {
    loop {
        let (client, _) = listener.accept().await?;
        compio::runtime::spawn(forward_connection(client, link.clone())).detach();
    }
}

async fn forward_connection(client: TcpStream, link: Rc<Link>) {
    let Some((connection, fault)) = link.connections.open() else {
        return;
    };
    let relay = pin!(relay(&client, &link));
    if let Either::Left((Ok(ConnectionFault::Silent), _relay)) = select(fault, relay).await {
        pending::<()>().await;
    }
    link.connections.close(&connection);
}

async fn relay(client: &TcpStream, link: &Link) -> io::Result<()> {
    client.set_nodelay(true)?;
    let target = TcpStream::connect(link.endpoints.target).await?;
    target.set_nodelay(true)?;
    join(
        copy_bytes(client, &target, link, Direction::ToTarget),
        copy_bytes(&target, client, link, Direction::ToClient),
    )
    .await;
    Ok(())
}

async fn copy_bytes(mut from: &TcpStream, mut to: &TcpStream, link: &Link, direction: Direction) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(read, filled) = from.read(buffer).await;
        buffer = filled;
        if !read.is_ok_and(|count| count > 0) {
            break;
        }
        if link.is_cut(direction) {
            continue;
        }
        let BufResult(written, sent) = to.write_all(buffer).await;
        buffer = sent;
        if written.is_err() {
            break;
        }
    }
    link.wait_until_open(direction).await;
    to.shutdown().await.ok();
}
