//! A fleet in virtual time: the real fold and planners, with lag, losses and operators around them.

#![allow(dead_code, unused_imports)]

mod delayed_planner;
mod fleet_size;
mod machine;
mod simulation;

pub use delayed_planner::DelayedPlanner;
pub use fleet_size::FleetSize;
pub use machine::Machine;
pub use simulation::Simulation;

/// Makes a name.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}
