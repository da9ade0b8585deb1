//! The gate: terminates callers' HTTP, holds their requests and sends them to backend servers.

mod action;
mod attempt;
mod attempt_outcome;
mod callers;
mod cancel_result;
mod closing;
mod controls;
mod core;
mod event;
mod failure;
mod handler;
mod headers;
mod links;
mod pending;
mod retry_budget;
mod retry_budgets;
mod server;
mod step;
mod submission;
mod task;

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
