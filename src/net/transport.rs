//! QUIC transport settings of the links.

use std::sync::Arc;
use std::time::Duration;

use compio_quic::AckFrequencyConfig;
use compio_quic::ClientConfig;
use compio_quic::IdleTimeout;
use compio_quic::ServerConfig;
use compio_quic::TransportConfig;
use compio_quic::VarInt;
use compio_quic::crypto::rustls::QuicClientConfig;
use compio_quic::crypto::rustls::QuicServerConfig;

use crate::net::Identity;
use crate::net::NetError;

const KEEP_ALIVE: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT_MS: u32 = 2_000;
const INITIAL_RTT: Duration = Duration::from_millis(2);
// The probe timeout adds this to the round-trip time; the QUIC default of 25 ms delays the
// retransmission of a lost last datagram.
const MAX_ACK_DELAY: Duration = Duration::from_millis(2);
const WINDOW_BYTES: u32 = 8 << 20;

/// Settings for accepted connections.
pub(super) fn server(identity: &Identity) -> Result<ServerConfig, NetError> {
    let crypto = QuicServerConfig::try_from(Arc::clone(&identity.server))
        .map_err(|err| NetError::Tls(err.to_string()))?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

/// Settings for dialled connections.
pub(super) fn client(identity: &Identity) -> Result<ClientConfig, NetError> {
    let crypto = QuicClientConfig::try_from(Arc::clone(&identity.client))
        .map_err(|err| NetError::Tls(err.to_string()))?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

fn transport() -> TransportConfig {
    let mut acks = AckFrequencyConfig::default();
    acks.max_ack_delay(Some(MAX_ACK_DELAY));
    let mut config = TransportConfig::default();
    config
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .initial_rtt(INITIAL_RTT)
        .ack_frequency_config(Some(acks))
        .max_concurrent_bidi_streams(VarInt::from_u32(1))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None)
        .stream_receive_window(VarInt::from_u32(WINDOW_BYTES))
        .receive_window(VarInt::from_u32(WINDOW_BYTES))
        .send_window(u64::from(WINDOW_BYTES));
    config
}
