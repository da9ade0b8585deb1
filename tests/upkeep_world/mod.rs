//! A fleet in virtual time: the real fold and planners, with lag, losses and operators around them.

#![allow(dead_code, unused_imports)]

mod machine;
mod planning;
mod shape;
mod world;

pub use machine::Machine;
pub use planning::Planning;
pub use shape::Shape;
pub use world::World;

/// Makes a name.
pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}
