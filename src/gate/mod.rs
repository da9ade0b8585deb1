//! The gate: terminates callers' HTTP, holds their requests and sends them to backend servers.

mod action;
mod attempt;
mod budget;
mod budgets;
mod callers;
mod closing;
mod controls;
mod core;
mod ended;
mod event;
mod failure;
mod handler;
mod headers;
mod links;
mod pending;
mod server;
mod settled;
mod step;
mod submission;
mod task;

pub use self::core::Gate;
pub use action::Action;
pub use budget::RetryBudget;
pub use ended::Ended;
pub use event::Event;
pub use failure::Failure;
pub use failure::FailureCode;
pub use server::GateServer;
pub use settled::Settled;
pub use submission::Submission;
