//! Messages between the system's processes.

mod ask;
mod attempt_id;
mod evidence;
mod grant;
mod hello;
mod message;
mod refusal;
mod request_id;
mod verdict;

pub use ask::Ask;
pub use attempt_id::AttemptId;
pub use evidence::Evidence;
pub use grant::Grant;
pub use grant::Running;
pub use hello::Hello;
pub use message::Message;
pub use refusal::Refusal;
pub use refusal::RefusalCode;
pub use request_id::RequestId;
pub use verdict::Verdict;
