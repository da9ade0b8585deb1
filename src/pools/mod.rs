//! Which hosts a service's pool needs, and the moves of hosts between pools.
//!
//! [`DemandMeter`] forecasts the demand, [`HostCapacity`] sums up what there is, and
//! [`PoolBalancer`] plans the moves.

mod demand_meter;
mod host_capacity;
mod host_move;
mod pool_balancer;
mod pool_host;
mod pool_view;

pub use demand_meter::DemandMeter;
pub use host_capacity::HostCapacity;
pub use host_move::HostMove;
pub use pool_balancer::PoolBalancer;
pub use pool_balancer::without_margin;
pub use pool_host::PoolHost;
pub use pool_view::PoolView;
