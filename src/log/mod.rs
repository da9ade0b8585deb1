//! Client of the platform's log, an append-only sequence of records with an HTTP interface.

mod client;
mod error;
mod page;

pub use client::LogClient;
pub use error::AppendError;
pub use error::ReadError;
pub use page::Entry;
pub use page::Page;
