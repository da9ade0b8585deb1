//! Links between processes: QUIC connections with mutual TLS.

mod decoder;
mod dialer;
mod error;
mod event;
mod event_router;
mod frame;
mod handshakes;
mod identity;
mod link;
mod link_id;
mod mesh;
mod session;
mod timeline_requests;
mod traffic;
mod transport;

pub use decoder::Decoder;
pub use error::NetError;
pub use event::NetEvent;
pub use event_router::Events;
pub use frame::FRAME_LIMIT;
pub use frame::FrameError;
pub use frame::encode;
pub use identity::Identity;
pub use identity::NODE_DOMAIN;
pub use link::Link;
pub use link_id::LinkId;
pub use mesh::Mesh;
pub use mesh::TimelineSource;
