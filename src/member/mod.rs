//! Membership: how recent a process's state is, and which process has which role.

mod freshness;
mod placement;

pub use freshness::FRESH_FOR;
pub use freshness::Freshness;
pub use freshness::FreshnessEvent;
pub use placement::place;
