//! Fleet capacity and maintenance manager for sites where a technician comes only on scheduled
//! visits.

pub mod name;
pub mod net;
pub mod observe;
pub mod record;
pub mod settings;
pub mod wire;
