//! Handshake, reading and writing on one connection.

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
use crate::net::event_router::EventRouter;
use crate::net::timeline_requests::TimelineRequests;
use crate::net::traffic::Traffic;
use crate::observe::Counters;
use crate::observe::HlcTimestamp;
use crate::observe::NodeTimeline;
use crate::observe::Recorder;
use crate::record::Role;
use crate::wire::Hello;
use crate::wire::Message;

const READ_CHUNK_BYTES: usize = 64 << 10;
const WRITE_BATCH_BYTES: usize = 256 << 10;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all connections of a process.
#[derive(Debug)]
pub(super) struct MeshContext {
    pub(super) hello: Hello,
    pub(super) router: EventRouter,
    pub(super) log: Logger,
    pub(super) counters: Arc<Counters>,
    pub(super) traffic: Traffic,
    pub(super) recorder: Recorder,
    pub(super) timelines: TimelineRequests,
}

impl MeshContext {
    /// Handles clock and timeline messages; routes all others to the receivers of events.
    fn receive(&self, link: &Link, message: Message) {
        match message {
            Message::Clock(stamp) => self.recorder.merge(stamp),
            Message::TimelineRequest { nonce, since } if link.peer().role == Role::Fleet => {
                let share = self.share(since);
                link.send(Message::TimelineReply { nonce, share });
            }
            Message::TimelineReply { nonce, share } => {
                self.timelines
                    .complete(link.peer().node.clone(), nonce, share);
            }
            message => self.router.emit(NetEvent::Message {
                link: link.clone(),
                message,
            }),
        }
    }

    /// The timeline entries of this process, beginning at `since`.
    pub(super) fn share(&self, since: HlcTimestamp) -> NodeTimeline {
        NodeTimeline {
            entries: self.recorder.entries(since),
            dropped: self.recorder.dropped(),
        }
    }

    /// Updates the counters of links and datagrams.
    pub(super) fn refresh(&self) {
        let (sent, received) = self.traffic.totals();
        self.counters.datagrams_out.store(sent, Relaxed);
        self.counters.datagrams_in.store(received, Relaxed);
        let links = self.traffic.links() as u64;
        self.counters.links.store(links, Relaxed);
    }
}

/// Closes the connection when dropped, also when its task is cancelled.
struct CloseOnDrop(Connection);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close(VarInt::from_u32(0), b"done");
    }
}

/// Emits `Up` when created and `Down` when dropped.
struct LinkGuard {
    link: Link,
    context: Rc<MeshContext>,
}

impl LinkGuard {
    fn open(link: Link, context: Rc<MeshContext>) -> Self {
        info!(context.log, "link up"; "link" => link.id().0, "peer" => %link.peer().node);
        context.router.emit(NetEvent::Up { link: link.clone() });
        Self { link, context }
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        let link = self.link.id();
        info!(self.context.log, "link down"; "link" => link.0, "peer" => %self.link.peer().node);
        self.context.traffic.remove(link);
        self.context.timelines.remove(link);
        self.context.router.emit(NetEvent::Down { link });
    }
}

/// Deadline for the handshake of a connection that begins now.
pub(super) fn handshake_deadline() -> Instant {
    Instant::now() + HANDSHAKE_TIMEOUT
}

/// Runs an accepted connection until it ends.
pub(super) async fn run_accepted(
    connection: Connection,
    context: Rc<MeshContext>,
    deadline: Instant,
) -> NetError {
    let guard = CloseOnDrop(connection);
    let handshake = async {
        let (mut send, mut recv) = guard.0.accept_bi().await?;
        let mut decoder = Decoder::new();
        let peer = receive_hello(&mut recv, &mut decoder, &context.hello).await?;
        send_hello(&mut send, &context.hello).await?;
        Ok((send, recv, decoder, peer))
    };
    match with_deadline(handshake, deadline).await {
        Ok(streams) => {
            let link = |peer, queue| Link::new(context.router.next_id(), peer, queue);
            run(&guard.0, streams, link, &context).await
        }
        Err(err) => err,
    }
}

/// Runs a connection dialled at `addr` until it ends; sets `established` after the handshake.
pub(super) async fn run_dialled(
    connection: Connection,
    addr: SocketAddr,
    context: Rc<MeshContext>,
    deadline: Instant,
    established: &mut bool,
) -> NetError {
    let guard = CloseOnDrop(connection);
    let handshake = async {
        let (mut send, mut recv) = guard.0.open_bi_wait().await?;
        let mut decoder = Decoder::new();
        send_hello(&mut send, &context.hello).await?;
        let peer = receive_hello(&mut recv, &mut decoder, &context.hello).await?;
        Ok((send, recv, decoder, peer))
    };
    match with_deadline(handshake, deadline).await {
        Ok(streams) => {
            *established = true;
            let link = |peer, queue| Link::new(context.router.next_id(), peer, queue).dialled(addr);
            run(&guard.0, streams, link, &context).await
        }
        Err(err) => err,
    }
}

/// The result of `work`, or [`NetError::HandshakeTimeout`] at the deadline.
pub(super) async fn with_deadline<T>(
    work: impl Future<Output = Result<T, NetError>>,
    deadline: Instant,
) -> Result<T, NetError> {
    timeout_at(deadline, work)
        .await
        .unwrap_or(Err(NetError::HandshakeTimeout))
}

/// Logs the end of a connection, as a warning if the peer violated the protocol.
pub(super) fn log_end(log: &Logger, addr: SocketAddr, err: &NetError) {
    if err.is_protocol_violation() {
        warn!(log, "peer violated the protocol; connection closed"; "addr" => %addr, "why" => %err);
    } else {
        debug!(log, "connection ended"; "addr" => %addr, "why" => %err);
    }
}

async fn send_hello(send: &mut SendStream, own: &Hello) -> Result<(), NetError> {
    let mut frame = Vec::new();
    encode(&Message::Hello(own.clone()), &mut frame)?;
    send.write_all_chunks(&mut [Bytes::from(frame)]).await?;
    Ok(())
}

async fn receive_hello(
    recv: &mut RecvStream,
    decoder: &mut Decoder,
    own: &Hello,
) -> Result<Hello, NetError> {
    loop {
        match decoder.take()? {
            Some(Message::Hello(peer)) if peer.node == own.node => {
                return Err(NetError::Hello("the peer uses the name of this process"));
            }
            Some(Message::Hello(peer)) => return Ok(peer),
            Some(_) => return Err(NetError::Hello("the first message is not a hello")),
            None => read_more(recv, decoder).await?,
        }
    }
}

async fn read_more(recv: &mut RecvStream, decoder: &mut Decoder) -> Result<(), NetError> {
    let chunk = recv.read_chunk(READ_CHUNK_BYTES, true).await?;
    decoder.feed(&chunk.ok_or(NetError::StreamClosed)?.bytes);
    Ok(())
}

async fn run(
    connection: &Connection,
    (send, recv, decoder, peer): (SendStream, RecvStream, Decoder, Hello),
    make_link: impl FnOnce(Hello, UnboundedSender<Message>) -> Link,
    context: &Rc<MeshContext>,
) -> NetError {
    let (queue, queued) = mpsc::unbounded();
    let link = make_link(peer, queue);
    context.traffic.add(link.id(), connection.clone());
    context.timelines.add(link.clone());
    let _guard = LinkGuard::open(link.clone(), Rc::clone(context));
    let reader = pin!(read(recv, decoder, &link, context));
    let writer = pin!(write(send, queued, context));
    match select(reader, writer).await {
        Either::Left((err, _)) | Either::Right((err, _)) => err,
    }
}

async fn read(
    mut recv: RecvStream,
    mut decoder: Decoder,
    link: &Link,
    context: &MeshContext,
) -> NetError {
    loop {
        match decoder.take() {
            Ok(Some(Message::Hello(_))) => return NetError::Hello("a second hello"),
            Ok(Some(message)) => {
                context
                    .counters
                    .message_received(&message, decoder.frame_len());
                context.receive(link, message);
            }
            Ok(None) => {
                if let Err(err) = read_more(&mut recv, &mut decoder).await {
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
    context: &MeshContext,
) -> NetError {
    let mut sent_clock = HlcTimestamp::default();
    while let Some(first) = queued.next().await {
        let mut batch = Vec::new();
        let clock = context.recorder.last();
        // The clock is sent only after it has advanced, so an idle timeline adds no messages.
        if clock > sent_clock {
            append(&Message::Clock(clock), &mut batch, context);
            sent_clock = clock;
        }
        append(&first, &mut batch, context);
        while batch.len() < WRITE_BATCH_BYTES
            && let Ok(message) = queued.try_recv()
        {
            append(&message, &mut batch, context);
        }
        if let Err(err) = send.write_all_chunks(&mut [Bytes::from(batch)]).await {
            return err.into();
        }
    }
    NetError::StreamClosed
}

fn append(message: &Message, batch: &mut Vec<u8>, context: &MeshContext) {
    let before = batch.len();
    match encode(message, batch) {
        Ok(()) => context.counters.message_sent(message, batch.len() - before),
        Err(err) => warn!(context.log, "message dropped: encoding failed"; "why" => %err),
    }
}
