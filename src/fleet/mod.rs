//! Fleet processes: the operators' interface.

mod accepted;
mod api;
mod backend;
mod server;
mod submission;
mod submit_error;
mod view;

pub use accepted::Accepted;
pub use api::OperatorsApi;
pub use backend::Backend;
pub use server::FleetServer;
pub use submission::Submission;
pub use submission::SubmissionError;
pub use submit_error::SubmitError;
pub use view::CentreView;
pub use view::TeamView;
pub use view::View;
