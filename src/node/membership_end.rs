//! Why a membership ended although the process did not leave.

/// Why a process is no longer a member although it did not leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipEnd {
    /// The fleet processes suspected it of having failed; it may join again.
    Suspected,
    /// Another process with a later incarnation joined under its name.
    Replaced,
}
