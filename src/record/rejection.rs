//! Reasons for rejecting a record.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::PoolName;
use crate::name::TeamName;

quick_error! {
    /// Why a record was rejected; every process gets the same result. The texts are returned to
    /// operators and recorded on the time line.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum Rejection {
        /// The data is not a valid record.
        Malformed {
            display("not a record")
        }
        /// The offset is not the next one; not even the state's offset changed.
        OutOfOrder(expected: u64) {
            display("offset {} comes next", expected)
        }
        /// The change is based on another revision than the current one.
        StaleBase(current: u64) {
            display("the state has changed: its revision is {}", current)
        }
        /// The team is not in the team table.
        UnknownTeam(team: TeamName) {
            display("unknown team {}", team)
        }
        /// The pool does not exist.
        UnknownPool(pool: PoolName) {
            display("unknown pool {}", pool)
        }
        /// The host does not exist.
        UnknownHost(host: HostName) {
            display("unknown host {}", host)
        }
        /// No host of the data centre was ever added.
        UnknownDc(dc: DcName) {
            display("unknown data centre {}", dc)
        }
        /// The key was never granted, or has been withdrawn.
        UnknownKey {
            display("unknown key")
        }
        /// The key already belongs to another team.
        KeyTaken(team: TeamName) {
            display("the key acts for team {}", team)
        }
        /// A name occurs twice in one change.
        Duplicate(name: String) {
            display("{} stands there twice", name)
        }
        /// The weight of a team is 0.
        ZeroWeight(team: TeamName) {
            display("the weight of team {} is below 1", team)
        }
        /// The host belongs to this pool, which the change does not allow.
        WrongPool(host: HostName, pool: PoolName) {
            display("host {} is in pool {}", host, pool)
        }
        /// The host belongs to another data centre or rack, which can't be altered.
        WrongPlace(host: HostName) {
            display("host {} stands elsewhere", host)
        }
        /// Two hosts would have the same address.
        AddressTaken(host: HostName) {
            display("another host has the address of {}", host)
        }
        /// The host can't be removed while it is in service.
        InService(host: HostName) {
            display("host {} is in service", host)
        }
        /// The host is already draining.
        Draining(host: HostName) {
            display("host {} is draining already", host)
        }
        /// The host is not draining.
        NotDraining(host: HostName) {
            display("host {} is not draining", host)
        }
        /// More hosts of the pool would be out of service than its budget allows.
        BudgetExceeded(pool: PoolName, budget: u32) {
            display("pool {} may have at most {} hosts out", pool, budget)
        }
        /// The incarnation is not later than the last one that joined.
        OldIncarnation(node: NodeName, last: u64) {
            display("incarnation {} of {} is known already", last, node)
        }
        /// The incarnation is not a member: it never joined, was removed or was replaced.
        Ended(node: NodeName) {
            display("that incarnation of {} has ended", node)
        }
        /// The reporter is not a fleet member, or reports itself.
        NotVoter(node: NodeName) {
            display("{} has no say in this", node)
        }
        /// A host list of the same or a later time was applied before.
        OldList(host: HostName, seen: u64) {
            display("a list of {} has told of host {} already", seen, host)
        }
        /// The host is not draining under the given plan.
        OldPlan(host: HostName) {
            display("host {} is not drained by that plan", host)
        }
        /// The change is not allowed in the current phase of the drain, or not for its goal.
        WrongPhase(host: HostName) {
            display("the drain of host {} has not come to that", host)
        }
        /// The drain can't be cancelled: the platform may reboot the host at any moment.
        Rebooting(host: HostName) {
            display("host {} is about to reboot", host)
        }
        /// The snapshot differs from the state before the record and from the last checkpoint.
        WrongSnapshot {
            display("not a snapshot of the state before it")
        }
        /// The snapshot would exceed [`MAX_SNAPSHOT_BYTES`](crate::record::MAX_SNAPSHOT_BYTES).
        StateTooLarge {
            display("the state would be too large")
        }
    }
}
