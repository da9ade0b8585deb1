//! State changes, the payload of log records.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::PoolName;
use crate::name::RackName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::record::KeyHash;
use crate::record::Member;
use crate::record::UpkeepEnd;
use crate::record::UpkeepGoal;

/// One row of the team table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRow {
    /// Unique within the table.
    pub team: TeamName,
    /// Fair-share weight, at least 1.
    pub weight: u32,
    /// Maximum number of slots that the team may occupy across the fleet.
    pub limit: u32,
    /// Whether the team may mark requests as urgent.
    pub urgent: bool,
}

/// A pool as configured by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// Unique within the change.
    pub pool: PoolName,
    /// Service that its hosts run; `None` for a spare pool.
    pub service: Option<ServiceName>,
    /// Whether the service accepts requests without a key.
    pub open: bool,
    /// Teams that may use the service; empty means every team.
    pub teams: Vec<TeamName>,
    /// Maximum number of hosts that may be out of service at once.
    pub budget: u32,
}

/// A host as configured by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRow {
    /// Unique within the change.
    pub host: HostName,
    /// Data centre of the host; cannot be altered later.
    pub dc: DcName,
    /// Rack of the host; cannot be altered later.
    pub rack: RackName,
    /// HTTP address of its backend server.
    pub addr: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Pool that a new host is added to; for an existing host, its current home pool.
    pub pool: PoolName,
}

/// A change of the state. Each is applied or rejected as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Replaces the team table.
    Table(Vec<TeamRow>),
    /// Adds pools, or replaces existing ones of the same name.
    Pools(Vec<PoolRow>),
    /// Adds hosts, or updates the address and slots of existing ones; never their pool.
    Hosts(Vec<HostRow>),
    /// Removes a host that is out of service.
    RemoveHost(HostName),
    /// Grants a key to a team.
    GrantKey {
        /// Team that requests with this key are attributed to.
        team: TeamName,
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Revokes a key.
    WithdrawKey {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Marks a host in or out of service.
    MarkHost {
        /// The host.
        host: HostName,
        /// True to put it in service, false to take it out.
        active: bool,
    },
    /// Marks a data centre in or out of service.
    MarkDc {
        /// The data centre.
        dc: DcName,
        /// True to put it in service, false to take it out.
        active: bool,
    },
    /// Starts draining a host, for maintenance or a move; rejected beyond the pool's budget.
    Drain(HostName),
    /// Ends a drain: the host accepts work again.
    Undrain {
        /// The host.
        host: HostName,
        /// End of its maintenance, Unix time in milliseconds; `None` if it had none.
        maintained: Option<u64>,
    },
    /// Moves a drained host from one pool to another.
    Move {
        /// The host.
        host: HostName,
        /// Pool that the host must currently belong to.
        from: PoolName,
        /// Pool that the host is moved to.
        to: PoolName,
    },
    /// A process joins, replacing any earlier incarnation of the same name.
    Join {
        /// Name of the process.
        node: NodeName,
        /// Its role and addresses.
        member: Member,
    },
    /// A process announces that it is about to leave.
    Leave {
        /// Name of the process.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A fleet process suspects that another process has failed. The member is removed once more
    /// than half of the fleet members suspect it.
    Suspect {
        /// Name of the suspected process.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
        /// The reporting fleet process.
        by: NodeName,
    },
    /// A process removes itself from the membership.
    End {
        /// Name of the process.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A snapshot of the state before this record or at the last checkpoint, as encoded by
    /// [`State::snapshot`](crate::record::State::snapshot).
    Snapshot(Vec<u8>),
    /// A fleet process withdraws its suspicion after hearing from the process again.
    Trust {
        /// Name of the suspected process.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
        /// The fleet process that reported the suspicion.
        by: NodeName,
    },
    /// The platform's host list shows the host as leaving, omits it, or shows it as live again.
    Listed {
        /// The host.
        host: HostName,
        /// Whether the host is shown as leaving, or is missing.
        leaving: bool,
        /// Time of the list, Unix time in milliseconds. Rejected unless later than the last.
        seen: u64,
    },
    /// The planner starts draining a host; rejected beyond the pool's budget.
    Plan {
        /// The host.
        host: HostName,
        /// Purpose of the drain.
        goal: UpkeepGoal,
    },
    /// The host is drained: the platform may be asked to reboot it from now on.
    Reboot {
        /// The host.
        host: HostName,
        /// Offset of its [`Change::Plan`] record.
        plan: u64,
    },
    /// Ends a planned drain: the host accepts work again.
    Finish {
        /// The host.
        host: HostName,
        /// Offset of its [`Change::Plan`] record.
        plan: u64,
        /// Result of the drain.
        end: UpkeepEnd,
    },
}

impl Change {
    /// Whether this changes what operators configure, which increments [`State::revision`]. Drains
    /// and moves do not, although operators may submit them.
    ///
    /// [`State::revision`]: crate::record::State::revision
    #[must_use]
    pub const fn is_configuration_change(&self) -> bool {
        matches!(
            self,
            Self::Table(_)
                | Self::Pools(_)
                | Self::Hosts(_)
                | Self::RemoveHost(_)
                | Self::GrantKey { .. }
                | Self::WithdrawKey { .. }
                | Self::MarkHost { .. }
                | Self::MarkDc { .. }
        )
    }
}
