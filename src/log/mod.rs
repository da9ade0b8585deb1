//! The platform's log, over HTTP.

mod client;
mod error;
mod page;

pub use client::LogClient;
pub use error::AppendError;
pub use error::ReadError;
pub use page::Entry;
pub use page::Page;
