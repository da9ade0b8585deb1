//! Stand-ins for the platform's services and for backend servers, used by tests, benchmarks and the
//! demo.

pub mod change_signal;
pub mod clock;
pub mod connections;
pub mod executor;
pub mod forward;
pub mod hosts;
pub mod link;
pub mod load;
pub mod load_stats;
pub mod log;
pub mod machines;
pub mod measure;
pub mod query;
pub mod runs;
pub mod serve;
pub mod store;
pub mod tcp;
pub mod udp;
pub mod worker;
