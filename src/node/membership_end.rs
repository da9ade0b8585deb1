//! How a membership ends without this process's doing.

/// Why a process is no longer a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipEnd {
    /// The fleet processes took it for dead: it may join anew.
    Suspected,
    /// A later process joined under its name.
    Replaced,
}
