//! Fleet capacity and maintenance manager for sites where a technician comes only on scheduled
//! visits.

pub mod ctl;
pub mod fleet;
pub mod http;
pub mod name;
pub mod record;
pub mod table;
pub mod wire;
