//! A fleet in virtual time: the real state machine and planners, with simulated hosts, operators,
//! delays and failures.

#![allow(dead_code, unused_imports)]

mod delayed_planner;
mod fleet_size;
mod machine;
mod simulation;

pub use delayed_planner::DelayedPlanner;
pub use fleet_size::FleetSize;
pub use machine::Machine;
pub use simulation::Simulation;

/// Parses a name that is known to be valid.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}
