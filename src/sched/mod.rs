//! The scheduler: queues requests of the services placed on it and grants slots.

mod action;
mod dispatcher;
mod drain;
mod event;
mod held;
mod moves;
mod quota;
mod refusals;
mod reserve;
mod roster;
mod scheduler;
mod server;
mod slots;
mod task;
mod team_permits;

pub use action::Action;
pub use dispatcher::Dispatcher;
pub use event::Event;
pub use scheduler::Scheduler;
pub use server::SchedServer;
pub use team_permits::TeamPermits;
