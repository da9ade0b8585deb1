//! The set of links of a process.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use compio::net::UdpSocket;
use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use compio::time::timeout_at;
use compio_quic::Endpoint;
use compio_quic::EndpointConfig;
use compio_quic::Incoming;
use compio_quic::VarInt;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use slog::Logger;
use slog::warn;

use crate::net::Events;
use crate::net::Identity;
use crate::net::NetError;
use crate::net::dialer;
use crate::net::event_router::EventRouter;
use crate::net::handshakes::Handshakes;
use crate::net::session;
use crate::net::session::MeshContext;
use crate::net::timeline_requests::TimelineRequests;
use crate::net::traffic::Traffic;
use crate::net::transport;
use crate::observe::Counters;
use crate::observe::HlcTimestamp;
use crate::observe::Recorder;
use crate::observe::RefreshCallback;
use crate::observe::Timeline;
use crate::wire::Hello;

/// Maximum number of accepted connections that are open at a time.
const MAX_ACCEPTED: usize = 1024;

/// How long `close` waits until the peers are notified.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a timeline waits for the entries of other processes.
const TIMELINE_TIMEOUT: Duration = Duration::from_secs(1);

/// Collects the timeline of all connected processes, beginning at a stamp.
pub type TimelineSource = Rc<dyn Fn(HlcTimestamp) -> LocalBoxFuture<'static, Timeline>>;

/// A QUIC endpoint that accepts links and maintains links to the requested addresses.
///
/// Dropping it ends the dialled links; [`Mesh::close`] ends all links and notifies the peers.
pub struct Mesh {
    endpoint: Endpoint,
    addr: SocketAddr,
    context: Rc<MeshContext>,
    events: RefCell<Option<Events>>,
    targets: RefCell<HashMap<&'static str, BTreeSet<SocketAddr>>>,
    dialers: RefCell<HashMap<SocketAddr, JoinHandle<()>>>,
    acceptor: JoinHandle<()>,
}

impl Mesh {
    /// Binds `addr` and starts to accept links; `hello` is the first message to each peer.
    ///
    /// # Errors
    /// [`NetError::Io`] if `addr` cannot be bound, [`NetError::Tls`] if QUIC cannot use `identity`.
    pub async fn bind(
        addr: SocketAddr,
        identity: Identity,
        hello: Hello,
        log: Logger,
    ) -> Result<Self, NetError> {
        let server = transport::server(&identity)?;
        let client = transport::client(&identity)?;
        let socket = UdpSocket::bind(addr).await?;
        let config = EndpointConfig::default();
        let endpoint = Endpoint::new(socket, config, Some(server), Some(client))?;
        let addr = endpoint.local_addr()?;
        let (router, events) = EventRouter::open();
        let counters = Arc::<Counters>::default();
        let context = Rc::new(MeshContext {
            hello,
            router,
            log,
            recorder: Recorder::open(Arc::clone(&counters)),
            counters,
            traffic: Traffic::default(),
            timelines: TimelineRequests::default(),
        });
        let acceptor = spawn(accept(endpoint.clone(), Rc::clone(&context)));
        Ok(Self {
            endpoint,
            addr,
            context,
            events: RefCell::new(Some(events)),
            targets: RefCell::default(),
            dialers: RefCell::default(),
            acceptor,
        })
    }

    /// The bound address, with the port that the system chose if 0 was requested.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Counters of the process; [`Self::refresh`] updates those of links and datagrams.
    #[must_use]
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.context.counters)
    }

    /// Records entries of this process on the timeline.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.context.recorder.clone()
    }

    /// Returns a function that collects the timeline; it is empty once the mesh is dropped.
    #[must_use]
    pub fn timeline(&self) -> TimelineSource {
        let context = Rc::downgrade(&self.context);
        Rc::new(move |since| {
            let context = context.upgrade();
            async move {
                match context {
                    Some(context) => collect_timeline(&context, since).await,
                    None => Timeline::default(),
                }
            }
            .boxed_local()
        })
    }

    /// Returns a function that updates the counters of links and datagrams.
    #[must_use]
    pub fn refresh(&self) -> RefreshCallback {
        let context = Rc::downgrade(&self.context);
        Rc::new(move || {
            if let Some(context) = context.upgrade() {
                context.refresh();
            }
        })
    }

    /// The receivers of events; `None` after the first call.
    #[must_use]
    pub fn take_events(&self) -> Option<Events> {
        self.events.borrow_mut().take()
    }

    /// Replaces the target addresses of `group`.
    ///
    /// Links to the targets of all groups are maintained; a dialled link whose address is no longer
    /// a target of any group is closed.
    pub fn dial(&self, group: &'static str, addrs: Vec<SocketAddr>) {
        let mut targets = self.targets.borrow_mut();
        targets.insert(group, addrs.into_iter().collect());
        let mut union: BTreeSet<SocketAddr> = targets.values().flatten().copied().collect();
        union.remove(&self.addr);
        let mut dialers = self.dialers.borrow_mut();
        // Dropping a handle cancels its task.
        dialers.retain(|addr, _| union.contains(addr));
        for addr in union {
            dialers
                .entry(addr)
                .or_insert_with(|| self.spawn_dialer(addr));
        }
    }

    /// Ends all links, notifies the peers and releases the address.
    pub async fn close(self) {
        for (_, dialer) in self.dialers.take() {
            let _ = dialer.cancel().await;
        }
        self.endpoint.close(VarInt::from_u32(0), b"leaving");
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let closing = async {
            let _ = self.acceptor.await;
            self.endpoint.shutdown().await
        };
        match timeout_at(deadline, closing).await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => warn!(self.context.log, "cannot close socket"; "why" => %err),
            Err(_) => warn!(
                self.context.log,
                "close timed out; peers may not be notified"
            ),
        }
    }

    fn spawn_dialer(&self, addr: SocketAddr) -> JoinHandle<()> {
        let endpoint = self.endpoint.clone();
        spawn(dialer::maintain(endpoint, addr, Rc::clone(&self.context)))
    }
}

async fn collect_timeline(context: &MeshContext, since: HlcTimestamp) -> Timeline {
    let deadline = Instant::now() + TIMELINE_TIMEOUT;
    let (mut shares, missing) = context.timelines.request(since, deadline).await;
    shares.insert(context.hello.node.clone(), context.share(since));
    Timeline::merge(shares, missing)
}

async fn accept(endpoint: Endpoint, context: Rc<MeshContext>) {
    // Every accepted connection holds a clone, so the count limits the open connections.
    let token = Rc::new(());
    let handshakes = Rc::<Handshakes>::default();
    while let Some(incoming) = endpoint.wait_incoming().await {
        if Rc::strong_count(&token) > MAX_ACCEPTED {
            warn!(context.log, "connection refused: too many connections"; "limit" => MAX_ACCEPTED);
            incoming.refuse();
            continue;
        }
        let context = Rc::clone(&context);
        let token = Rc::clone(&token);
        let handshakes = Rc::clone(&handshakes);
        spawn(async move {
            handle_incoming(incoming, context, handshakes).await;
            drop(token);
        })
        .detach();
    }
}

async fn handle_incoming(incoming: Incoming, context: Rc<MeshContext>, handshakes: Rc<Handshakes>) {
    let addr = incoming.remote_address();
    let deadline = session::handshake_deadline();
    let log = context.log.clone();
    let connecting = async { Ok(incoming.accept()?.await?) };
    let connecting = handshakes.run(session::with_deadline(connecting, deadline));
    let err = match connecting.await {
        Ok(connection) => session::run_accepted(connection, context, deadline).await,
        Err(err) => err,
    };
    session::log_end(&log, addr, &err);
}
