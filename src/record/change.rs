//! What a record of the log asks for.

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

/// One row of the operators' table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRow {
    /// Name of the team.
    pub team: TeamName,
    /// Weight of the team's share, at least 1.
    pub weight: u32,
    /// Most slots that the team may occupy across the fleet.
    pub limit: u32,
    /// Whether the team may mark requests as urgent.
    pub urgent: bool,
}

/// A pool as operators describe it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// Name of the pool.
    pub pool: PoolName,
    /// Service that its hosts run; none for a spare pool.
    pub service: Option<ServiceName>,
    /// Whether the service takes requests without a key.
    pub open: bool,
    /// Teams that may use the service; every team if empty.
    pub teams: Vec<TeamName>,
    /// Most hosts that may be out of service at once.
    pub budget: u32,
}

/// A host as operators describe it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRow {
    /// Name of the host.
    pub host: HostName,
    /// Data centre that it stands in.
    pub dc: DcName,
    /// Rack that it stands in.
    pub rack: RackName,
    /// HTTP address of its backend server.
    pub addr: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Pool that it joins.
    pub pool: PoolName,
}

/// A change of the state; the fold accepts or rejects each as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Replaces the table of teams.
    Table(Vec<TeamRow>),
    /// Adds or alters pools.
    Pools(Vec<PoolRow>),
    /// Adds hosts, or alters the address and slots of known ones; never their pool.
    Hosts(Vec<HostRow>),
    /// Removes a host that is out of service.
    RemoveHost(HostName),
    /// Lets a key act for a team.
    GrantKey {
        /// Team that the key acts for.
        team: TeamName,
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Takes a key back.
    WithdrawKey {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Marks a host in or out of service.
    MarkHost {
        /// The host.
        host: HostName,
        /// True for in service.
        active: bool,
    },
    /// Marks a data centre in or out of service.
    MarkDc {
        /// The data centre.
        dc: DcName,
        /// True for in service.
        active: bool,
    },
    /// Starts emptying a host, for maintenance or a move; refused beyond the pool's budget.
    Drain(HostName),
    /// Ends a drain: the host takes work again. `maintained` is the end of its maintenance in
    /// Unix milliseconds, or none if it was not maintained.
    Undrain {
        /// The host.
        host: HostName,
        /// End of the maintenance, Unix time in milliseconds.
        maintained: Option<u64>,
    },
    /// Moves a draining, empty host from one pool to another.
    Move {
        /// The host.
        host: HostName,
        /// Pool that it must be in.
        from: PoolName,
        /// Pool that it joins.
        to: PoolName,
    },
    /// A process joins; it replaces an earlier incarnation of its name.
    Join {
        /// Name of the process.
        node: NodeName,
        /// Its role and addresses.
        member: Member,
    },
    /// A process announces that it is leaving.
    Leave {
        /// Name of the process.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A fleet process has not heard from a process. The member ends when more than half of the
    /// fleet members say so.
    Suspect {
        /// Name of the silent process.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
        /// The fleet process that reports.
        by: NodeName,
    },
    /// A process ends its own membership.
    End {
        /// Name of the process.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
    },
    /// The whole state before this record, in the snapshot's encoding.
    Snapshot(Vec<u8>),
    /// A fleet process hears again from a process that it has reported.
    Trust {
        /// Name of the process.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
        /// The fleet process that had reported.
        by: NodeName,
    },
    /// The platform lists the host as leaving, no longer lists it, or lists it as live again.
    Listed {
        /// The host.
        host: HostName,
        /// Whether it is leaving or gone.
        leaving: bool,
        /// Age of the list, as Unix time in milliseconds; an older list loses.
        seen: u64,
    },
    /// The planner starts emptying a host; refused beyond the pool's budget.
    Plan {
        /// The host.
        host: HostName,
        /// What for.
        goal: UpkeepGoal,
    },
    /// The host is empty: from here on the platform may be asked to reboot it.
    Reboot {
        /// The host.
        host: HostName,
        /// Offset of its plan.
        plan: u64,
    },
    /// Ends a planned drain: the host takes work again.
    Finish {
        /// The host.
        host: HostName,
        /// Offset of its plan.
        plan: u64,
        /// How it ended.
        end: UpkeepEnd,
    },
}

impl Change {
    /// Whether operators write it, so that it counts in the revision they compare.
    #[must_use]
    pub const fn is_operator_change(&self) -> bool {
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
