//! All links of a process.

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
use crate::net::outlet::Outlet;
use crate::net::recalls::Recalls;
use crate::net::session;
use crate::net::session::Station;
use crate::net::traffic::Traffic;
use crate::net::transport;
use crate::observe::Counters;
use crate::observe::HlcTimestamp;
use crate::observe::Recorder;
use crate::observe::RefreshCallback;
use crate::observe::Timeline;
use crate::wire::Hello;

/// Most connections that are accepted at a time.
const SEATS: usize = 1024;

/// How long `close` waits for peers to be told.
const FAREWELL: Duration = Duration::from_secs(1);

/// How long a time line waits for the answers of other processes.
const RECALL: Duration = Duration::from_secs(1);

/// Gives the time line over all connected processes, from a stamp on.
pub type TimelineSource = Rc<dyn Fn(HlcTimestamp) -> LocalBoxFuture<'static, Timeline>>;

/// A UDP endpoint that accepts links and keeps up those that are wanted.
///
/// Dropping it ends its dialled links; [`Mesh::close`] ends all and tells the peers.
pub struct Mesh {
    endpoint: Endpoint,
    addr: SocketAddr,
    station: Rc<Station>,
    events: RefCell<Option<Events>>,
    wanted: RefCell<HashMap<&'static str, BTreeSet<SocketAddr>>>,
    dialers: RefCell<HashMap<SocketAddr, JoinHandle<()>>>,
    acceptor: JoinHandle<()>,
}

impl Mesh {
    /// Binds `addr` and accepts links from now on; `hello` introduces the process.
    ///
    /// # Errors
    /// [`NetError::Io`] if `addr` cannot be bound, [`NetError::Tls`] if `identity` is unfit.
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
        let (outlet, events) = Outlet::open();
        let counters = Arc::<Counters>::default();
        let station = Rc::new(Station {
            hello,
            outlet,
            log,
            recorder: Recorder::open(Arc::clone(&counters)),
            counters,
            traffic: Traffic::default(),
            recalls: Recalls::default(),
        });
        let acceptor = spawn(accept(endpoint.clone(), Rc::clone(&station)));
        Ok(Self {
            endpoint,
            addr,
            station,
            events: RefCell::new(Some(events)),
            wanted: RefCell::default(),
            dialers: RefCell::default(),
            acceptor,
        })
    }

    /// The address that is bound.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// What the links have counted.
    #[must_use]
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.station.counters)
    }

    /// Where decisions are put on the time line.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.station.recorder.clone()
    }

    /// A function that gives the time line over all connected processes.
    #[must_use]
    pub fn timeline(&self) -> TimelineSource {
        let station = Rc::downgrade(&self.station);
        Rc::new(move |since| {
            let station = station.upgrade();
            async move {
                match station {
                    Some(station) => collect(&station, since).await,
                    None => Timeline::default(),
                }
            }
            .boxed_local()
        })
    }

    /// A function that brings the counters of links and datagrams up to date.
    #[must_use]
    pub fn refresh(&self) -> RefreshCallback {
        let station = Rc::downgrade(&self.station);
        Rc::new(move || {
            if let Some(station) = station.upgrade() {
                station.refresh();
            }
        })
    }

    /// Hands out the receivers of events, once.
    #[must_use]
    pub fn take_events(&self) -> Option<Events> {
        self.events.borrow_mut().take()
    }

    /// Replaces the addresses that `group` wants links to.
    ///
    /// The union over the groups is kept connected; a dialled link that no group wants is closed.
    pub fn dial(&self, group: &'static str, addrs: Vec<SocketAddr>) {
        let mut wanted = self.wanted.borrow_mut();
        wanted.insert(group, addrs.into_iter().collect());
        let mut union: BTreeSet<SocketAddr> = wanted.values().flatten().copied().collect();
        union.remove(&self.addr);
        let mut dialers = self.dialers.borrow_mut();
        // A handle that is dropped cancels its task.
        dialers.retain(|addr, _| union.contains(addr));
        for addr in union {
            dialers.entry(addr).or_insert_with(|| self.keep(addr));
        }
    }

    /// Ends all links, tells the peers, and frees the address.
    pub async fn close(self) {
        for (_, dialer) in self.dialers.take() {
            let _ = dialer.cancel().await;
        }
        self.endpoint.close(VarInt::from_u32(0), b"leaving");
        let deadline = Instant::now() + FAREWELL;
        let farewell = async {
            let _ = self.acceptor.await;
            self.endpoint.shutdown().await
        };
        match timeout_at(deadline, farewell).await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => warn!(self.station.log, "socket not closed"; "why" => %err),
            Err(_) => warn!(self.station.log, "peers not told in time"),
        }
    }

    fn keep(&self, addr: SocketAddr) -> JoinHandle<()> {
        let endpoint = self.endpoint.clone();
        spawn(dialer::keep(endpoint, addr, Rc::clone(&self.station)))
    }
}

async fn collect(station: &Station, since: HlcTimestamp) -> Timeline {
    let deadline = Instant::now() + RECALL;
    let (mut shares, missing) = station.recalls.ask(since, deadline).await;
    shares.insert(station.hello.node.clone(), station.share(since));
    Timeline::merge(shares, missing)
}

async fn accept(endpoint: Endpoint, station: Rc<Station>) {
    // Each accepted connection holds a clone for its life.
    let seat = Rc::new(());
    while let Some(incoming) = endpoint.wait_incoming().await {
        if Rc::strong_count(&seat) > SEATS {
            warn!(station.log, "connection refused"; "limit" => SEATS);
            incoming.refuse();
            continue;
        }
        let station = Rc::clone(&station);
        let seat = Rc::clone(&seat);
        spawn(async move {
            serve(incoming, station).await;
            drop(seat);
        })
        .detach();
    }
}

async fn serve(incoming: Incoming, station: Rc<Station>) {
    let addr = incoming.remote_address();
    let deadline = session::greeting_deadline();
    let log = station.log.clone();
    let connecting = async { Ok(incoming.accept()?.await?) };
    let err = match session::in_time(connecting, deadline).await {
        Ok(connection) => session::accepted(connection, station, deadline).await,
        Err(err) => err,
    };
    session::log_end(&log, addr, &err);
}
