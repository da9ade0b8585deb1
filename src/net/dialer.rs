//! Maintains a connection to one address.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use compio_quic::Endpoint;
use rand::RngExt;

use crate::net::NODE_DOMAIN;
use crate::net::NetError;
use crate::net::session;
use crate::net::session::MeshContext;

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Connects to `addr` and reconnects with exponential backoff; runs until cancelled.
///
/// An established link resets the backoff.
pub(super) async fn maintain(endpoint: Endpoint, addr: SocketAddr, context: Rc<MeshContext>) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let mut established = false;
        let err = connect_once(&endpoint, addr, &context, &mut established).await;
        if established {
            backoff = INITIAL_BACKOFF;
        }
        session::log_end(&context.log, addr, &err);
        sleep(backoff.mul_f64(rand::rng().random_range(0.75..1.25))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn connect_once(
    endpoint: &Endpoint,
    addr: SocketAddr,
    context: &Rc<MeshContext>,
    established: &mut bool,
) -> NetError {
    let deadline = session::handshake_deadline();
    let connecting = async {
        let connecting = endpoint.connect(addr, NODE_DOMAIN, None)?;
        Ok(connecting.await?)
    };
    match session::with_deadline(connecting, deadline).await {
        Ok(connection) => {
            session::run_dialled(connection, addr, Rc::clone(context), deadline, established).await
        }
        Err(err) => err,
    }
}
