//! HTTP/1.1 for callers, operators and metrics.

mod activity;
mod backend;
mod body;
mod body_error;
mod client;
mod error_body;
mod fault;
mod idle;
mod limits;
mod outcome;
mod reply;
mod server;
mod turns;
mod watched;
mod wide_stream;

pub use backend::Backend;
pub use backend::BackendError;
pub use body::read_body;
pub use body_error::BodyError;
pub use client::Client;
pub use client::ClientError;
pub use error_body::ErrorBody;
pub use fault::Fault;
pub use idle::IdleConnections;
pub use limits::Limits;
pub use outcome::Outcome;
pub use reply::Reply;
pub use reply::json_reply;
pub use reply::text_reply;
pub use server::Handler;
pub use server::HttpServer;
pub use turns::Turn;
pub use turns::Turns;
