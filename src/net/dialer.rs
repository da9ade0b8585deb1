//! Keeps a connection to one address.

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

const FIRST_WAIT: Duration = Duration::from_millis(50);
const LAST_WAIT: Duration = Duration::from_secs(1);

/// Connects to `addr` again and again; runs until cancelled.
pub(super) async fn keep(endpoint: Endpoint, addr: SocketAddr, context: Rc<MeshContext>) {
    let mut wait = FIRST_WAIT;
    loop {
        let mut stood = false;
        let err = visit(&endpoint, addr, &context, &mut stood).await;
        if stood {
            wait = FIRST_WAIT;
        }
        session::log_end(&context.log, addr, &err);
        sleep(wait.mul_f64(rand::rng().random_range(0.75..1.25))).await;
        wait = (wait * 2).min(LAST_WAIT);
    }
}

async fn visit(
    endpoint: &Endpoint,
    addr: SocketAddr,
    context: &Rc<MeshContext>,
    stood: &mut bool,
) -> NetError {
    let deadline = session::greeting_deadline();
    let connecting = async {
        let connecting = endpoint.connect(addr, NODE_DOMAIN, None)?;
        Ok(connecting.await?)
    };
    match session::in_time(connecting, deadline).await {
        Ok(connection) => {
            session::dialled(connection, addr, Rc::clone(context), deadline, stood).await
        }
        Err(err) => err,
    }
}
