//! Fleet capacity and maintenance manager for sites where a technician comes only on scheduled
//! visits.

pub mod log;
pub mod member;
pub mod name;
pub mod net;
pub mod record;
pub mod wire;
