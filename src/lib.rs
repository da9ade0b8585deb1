//! Fleet capacity and maintenance manager for sites where a technician comes only on scheduled
//! visits.

#![recursion_limit = "256"]

pub mod admit;
pub mod batch;
pub mod ctl;
pub mod division;
pub mod fleet;
pub mod gate;
pub mod health;
pub mod http;
pub mod intake;
pub mod limit;
pub mod log;
pub mod member;
pub mod name;
pub mod net;
pub mod node;
pub mod observe;
pub mod platform;
pub mod pools;
pub mod queue;
pub mod record;
pub mod sched;
pub mod settings;
pub mod signals;
pub mod table;
pub mod unseen;
pub mod upkeep;
pub mod wire;
