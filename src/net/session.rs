//! The life of one connection.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::time::timeout_at;
use compio_quic::Connection;
use compio_quic::RecvStream;
use compio_quic::SendStream;
use compio_quic::VarInt;
use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_util::StreamExt;
use futures_util::future::Either;
use futures_util::future::select;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;

use crate::net::Decoder;
use crate::net::Link;
use crate::net::NetError;
use crate::net::NetEvent;
use crate::net::encode;
use crate::net::outlet::Outlet;
use crate::net::recalls::Recalls;
use crate::net::traffic::Traffic;
use crate::observe::Counters;
use crate::observe::HlcTimestamp;
use crate::observe::NodeTimeline;
use crate::observe::Recorder;
use crate::record::Role;
use crate::wire::Hello;
use crate::wire::Message;

const CHUNK: usize = 64 << 10;
const BATCH: usize = 256 << 10;
const GREETING: Duration = Duration::from_secs(2);

/// What every connection of a process shares.
#[derive(Debug)]
pub(super) struct Station {
    pub(super) hello: Hello,
    pub(super) outlet: Outlet,
    pub(super) log: Logger,
    pub(super) counters: Arc<Counters>,
    pub(super) traffic: Traffic,
    pub(super) recorder: Recorder,
    pub(super) recalls: Recalls,
}

impl Station {
    /// Handles what concerns the time line, and passes all else on.
    fn receive(&self, link: &Link, message: Message) {
        match message {
            Message::Clock(stamp) => self.recorder.merge(stamp),
            Message::Recall { nonce, since } if link.peer().role == Role::Fleet => {
                let share = self.share(since);
                link.send(Message::Recalled { nonce, share });
            }
            Message::Recalled { nonce, share } => {
                self.recalls.answer(link.peer().node.clone(), nonce, share);
            }
            message => self.outlet.emit(NetEvent::Message {
                link: link.clone(),
                message,
            }),
        }
    }

    /// This process's part of the time line.
    pub(super) fn share(&self, since: HlcTimestamp) -> NodeTimeline {
        NodeTimeline {
            entries: self.recorder.entries(since),
            dropped: self.recorder.dropped(),
        }
    }

    /// Brings the counters of links and datagrams up to date.
    pub(super) fn refresh(&self) {
        let (sent, received) = self.traffic.totals();
        self.counters.datagrams_out.store(sent, Relaxed);
        self.counters.datagrams_in.store(received, Relaxed);
        let links = self.traffic.links() as u64;
        self.counters.links.store(links, Relaxed);
    }
}

/// Closes the connection when dropped, so that a cancelled task leaves none behind.
struct Closing(Connection);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.close(VarInt::from_u32(0), b"done");
    }
}

/// Tells that the link stands, and when dropped that it is gone.
struct Standing {
    link: Link,
    station: Rc<Station>,
}

impl Standing {
    fn announce(link: Link, station: Rc<Station>) -> Self {
        info!(station.log, "link up"; "link" => link.id().0, "peer" => %link.peer().node);
        station.outlet.emit(NetEvent::Up { link: link.clone() });
        Self { link, station }
    }
}

impl Drop for Standing {
    fn drop(&mut self) {
        let link = self.link.id();
        info!(self.station.log, "link down"; "link" => link.0, "peer" => %self.link.peer().node);
        self.station.traffic.remove(link);
        self.station.recalls.remove(link);
        self.station.outlet.emit(NetEvent::Down { link });
    }
}

/// Latest time by which a connection begun now must have introduced itself.
pub(super) fn greeting_deadline() -> Instant {
    Instant::now() + GREETING
}

/// Runs a connection that was accepted, until it ends.
pub(super) async fn accepted(
    connection: Connection,
    station: Rc<Station>,
    deadline: Instant,
) -> NetError {
    let closing = Closing(connection);
    let greeting = async {
        let (mut send, mut recv) = closing.0.accept_bi().await?;
        let mut decoder = Decoder::new();
        let peer = hear(&mut recv, &mut decoder, &station.hello).await?;
        introduce(&mut send, &station.hello).await?;
        Ok((send, recv, decoder, peer))
    };
    match in_time(greeting, deadline).await {
        Ok(streams) => {
            let link = |peer, queue| Link::new(station.outlet.next_id(), peer, queue);
            run(&closing.0, streams, link, &station).await
        }
        Err(err) => err,
    }
}

/// Runs a connection that was dialled at `addr`, until it ends; `stood` becomes true if its link stood.
pub(super) async fn dialled(
    connection: Connection,
    addr: SocketAddr,
    station: Rc<Station>,
    deadline: Instant,
    stood: &mut bool,
) -> NetError {
    let closing = Closing(connection);
    let greeting = async {
        let (mut send, mut recv) = closing.0.open_bi_wait().await?;
        let mut decoder = Decoder::new();
        introduce(&mut send, &station.hello).await?;
        let peer = hear(&mut recv, &mut decoder, &station.hello).await?;
        Ok((send, recv, decoder, peer))
    };
    match in_time(greeting, deadline).await {
        Ok(streams) => {
            *stood = true;
            let link = |peer, queue| Link::new(station.outlet.next_id(), peer, queue).dialled(addr);
            run(&closing.0, streams, link, &station).await
        }
        Err(err) => err,
    }
}

/// What `work` gives, or [`NetError::Late`] at the deadline.
pub(super) async fn in_time<T>(
    work: impl Future<Output = Result<T, NetError>>,
    deadline: Instant,
) -> Result<T, NetError> {
    timeout_at(deadline, work)
        .await
        .unwrap_or(Err(NetError::Late))
}

/// Logs the end of a connection, as a warning where the peer is at fault.
pub(super) fn log_end(log: &Logger, addr: SocketAddr, err: &NetError) {
    if err.is_fault() {
        warn!(log, "bad peer"; "addr" => %addr, "why" => %err);
    } else {
        debug!(log, "connection ended"; "addr" => %addr, "why" => %err);
    }
}

async fn introduce(send: &mut SendStream, own: &Hello) -> Result<(), NetError> {
    let mut frame = Vec::new();
    encode(&Message::Hello(own.clone()), &mut frame)?;
    send.write_all_chunks(&mut [Bytes::from(frame)]).await?;
    Ok(())
}

async fn hear(
    recv: &mut RecvStream,
    decoder: &mut Decoder,
    own: &Hello,
) -> Result<Hello, NetError> {
    loop {
        match decoder.take()? {
            Some(Message::Hello(peer)) if peer.node == own.node => {
                return Err(NetError::Hello("the peer has this process's name"));
            }
            Some(Message::Hello(peer)) => return Ok(peer),
            Some(_) => return Err(NetError::Hello("the first message is another one")),
            None => fill(recv, decoder).await?,
        }
    }
}

async fn fill(recv: &mut RecvStream, decoder: &mut Decoder) -> Result<(), NetError> {
    let chunk = recv.read_chunk(CHUNK, true).await?;
    decoder.feed(&chunk.ok_or(NetError::Ended)?.bytes);
    Ok(())
}

async fn run(
    connection: &Connection,
    (send, recv, decoder, peer): (SendStream, RecvStream, Decoder, Hello),
    link: impl FnOnce(Hello, UnboundedSender<Message>) -> Link,
    station: &Rc<Station>,
) -> NetError {
    let (queue, queued) = mpsc::unbounded();
    let link = link(peer, queue);
    station.traffic.add(link.id(), connection.clone());
    station.recalls.add(link.clone());
    let _standing = Standing::announce(link.clone(), Rc::clone(station));
    let reader = pin!(read(recv, decoder, &link, station));
    let writer = pin!(write(send, queued, station));
    match select(reader, writer).await {
        Either::Left((err, _)) | Either::Right((err, _)) => err,
    }
}

async fn read(
    mut recv: RecvStream,
    mut decoder: Decoder,
    link: &Link,
    station: &Station,
) -> NetError {
    loop {
        match decoder.take() {
            Ok(Some(Message::Hello(_))) => return NetError::Hello("a second one"),
            Ok(Some(message)) => {
                station
                    .counters
                    .message_received(&message, decoder.frame_len());
                station.receive(link, message);
            }
            Ok(None) => {
                if let Err(err) = fill(&mut recv, &mut decoder).await {
                    return err;
                }
            }
            Err(err) => return err.into(),
        }
    }
}

async fn write(
    mut send: SendStream,
    mut queued: UnboundedReceiver<Message>,
    station: &Station,
) -> NetError {
    let mut told = HlcTimestamp::default();
    while let Some(first) = queued.next().await {
        let mut batch = Vec::new();
        let last = station.recorder.last();
        // Costs nothing while nobody has noted anything.
        if last > told {
            append(&Message::Clock(last), &mut batch, station);
            told = last;
        }
        append(&first, &mut batch, station);
        while batch.len() < BATCH
            && let Ok(message) = queued.try_recv()
        {
            append(&message, &mut batch, station);
        }
        if let Err(err) = send.write_all_chunks(&mut [Bytes::from(batch)]).await {
            return err.into();
        }
    }
    NetError::Ended
}

fn append(message: &Message, batch: &mut Vec<u8>, station: &Station) {
    let before = batch.len();
    match encode(message, batch) {
        Ok(()) => station.counters.message_sent(message, batch.len() - before),
        Err(err) => warn!(station.log, "message not sent"; "why" => %err),
    }
}
