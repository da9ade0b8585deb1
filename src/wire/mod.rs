//! Messages between the processes of the system.

mod attempt_id;
mod evidence;
mod grant;
mod hello;
mod message;
mod peer;
mod permit_messages;
mod refusal;
mod request_id;
mod service_load;
mod slot_request;
mod verdict;

pub use attempt_id::AttemptId;
pub use evidence::Evidence;
pub use grant::Grant;
pub use grant::Running;
pub use hello::Hello;
pub use message::Message;
pub use peer::Peer;
pub use permit_messages::PermitGrant;
pub use permit_messages::PermitReport;
pub use refusal::Refusal;
pub use refusal::RefusalCode;
pub use request_id::RequestId;
pub use service_load::BusyHost;
pub use service_load::ServiceLoad;
pub use slot_request::SlotRequest;
pub use verdict::Verdict;
