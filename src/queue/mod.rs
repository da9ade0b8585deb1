//! Queue of requests that wait for a slot: weighted fair sharing between teams, with priority for
//! urgent requests.

mod queued_request;
mod service_queue;
mod team_queue;

pub use queued_request::QueuedRequest;
pub use service_queue::ServiceQueue;
