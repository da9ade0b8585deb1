//! The gate: accepts HTTP requests of callers, holds them until a scheduler grants a slot, and
//! forwards them to backend servers.

mod action;
mod attempt;
mod attempt_outcome;
mod cancel_result;
mod cancelled_attempts;
mod core;
mod event;
mod external_ids;
mod failure;
mod handler;
mod headers;
mod pending_request;
mod retry_budget;
mod retry_budgets;
mod scheduler_links;
mod server;
mod step;
mod submission;
mod task;
mod task_controls;

pub use self::core::Gate;
pub use action::Action;
pub use attempt_outcome::AttemptOutcome;
pub use cancel_result::CancelResult;
pub use event::Event;
pub use failure::Failure;
pub use failure::FailureCode;
pub use retry_budget::RetryBudget;
pub use server::GateServer;
pub use submission::Submission;
