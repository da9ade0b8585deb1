//! HTTP/1.1 for callers, operators and metrics.

mod activity;
mod body;
mod body_error;
mod error_body;
mod fault;
mod limits;
mod outcome;
mod reply;
mod server;
mod watched;

pub use body::read_body;
pub use body_error::BodyError;
pub use error_body::ErrorBody;
pub use fault::Fault;
pub use limits::Limits;
pub use outcome::Outcome;
pub use reply::Reply;
pub use reply::json_reply;
pub use reply::text_reply;
pub use server::Handler;
pub use server::HttpServer;
