//! Fleet process: HTTP API for operators, and upkeep of the fleet.

mod accepted;
mod api;
mod api_backend;
mod server;
mod state_view;
mod submission;
mod submit_error;

pub use accepted::Accepted;
pub use api::OperatorsApi;
pub use api_backend::ApiBackend;
pub use server::FleetServer;
pub use state_view::DcView;
pub use state_view::StateView;
pub use state_view::TeamView;
pub use submission::Submission;
pub use submission::SubmissionError;
pub use submit_error::SubmitError;
