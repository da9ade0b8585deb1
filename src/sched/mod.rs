//! Scheduler process: queues the requests of the services placed on it and grants slots.

mod action;
mod dispatcher;
mod event;
mod gate_registry;
mod occupant;
mod quota;
mod refusals;
mod reserve;
mod scheduler;
mod server;
mod slots;
mod task;
mod team_permits;
mod throughput;
mod transfer_notes;

pub use action::Action;
pub use dispatcher::Dispatcher;
pub use event::Event;
pub use scheduler::Scheduler;
pub use server::SchedServer;
pub use team_permits::TeamPermits;
