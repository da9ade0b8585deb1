//! HTTP/1.1 server and client.

mod backend_connection;
mod body;
mod body_error;
mod buffered_stream;
mod client;
mod concurrency_limiter;
mod connection_timer;
mod error_body;
mod error_outcome;
mod http_error;
mod idle_connections;
mod limits;
mod monitored_stream;
mod recipient;
mod reply;
mod server;

pub use backend_connection::BackendConnection;
pub use backend_connection::BackendError;
pub use body::read_body;
pub use body_error::BodyError;
pub use client::Client;
pub use client::ClientError;
pub use concurrency_limiter::ConcurrencyGuard;
pub use concurrency_limiter::ConcurrencyLimiter;
pub use error_body::ErrorBody;
pub use error_outcome::ErrorOutcome;
pub use http_error::HttpError;
pub use idle_connections::IdleConnections;
pub use limits::Limits;
pub use recipient::Recipient;
pub use reply::Reply;
pub use reply::json_reply;
pub use reply::text_reply;
pub use server::Handler;
pub use server::HttpServer;
