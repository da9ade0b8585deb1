//! Why a record doesn't count.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::PoolName;
use crate::name::TeamName;

quick_error! {
    /// Why the fold rejected a record; every process comes to the same one.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum Rejection {
        /// The bytes are not a record.
        Malformed {
            display("not a record")
        }
        /// The offset is not the next one; the state did not change.
        OutOfOrder(expected: u64) {
            display("offset {} comes next", expected)
        }
        /// The writer saw another revision.
        StaleBase(current: u64) {
            display("the state has changed: its revision is {}", current)
        }
        /// No such team.
        UnknownTeam(team: TeamName) {
            display("unknown team {}", team)
        }
        /// No such pool.
        UnknownPool(pool: PoolName) {
            display("unknown pool {}", pool)
        }
        /// No such host.
        UnknownHost(host: HostName) {
            display("unknown host {}", host)
        }
        /// No such data centre.
        UnknownDc(dc: DcName) {
            display("unknown data centre {}", dc)
        }
        /// No such key.
        UnknownKey {
            display("unknown key")
        }
        /// The key acts for another team.
        KeyTaken(team: TeamName) {
            display("the key acts for team {}", team)
        }
        /// A name stands twice in one record.
        Duplicate(name: String) {
            display("{} stands there twice", name)
        }
        /// A weight is below 1.
        ZeroWeight(team: TeamName) {
            display("the weight of team {} is below 1", team)
        }
        /// The host belongs to another pool.
        WrongPool(host: HostName, pool: PoolName) {
            display("host {} is in pool {}", host, pool)
        }
        /// The host stands in another data centre or rack.
        WrongPlace(host: HostName) {
            display("host {} stands elsewhere", host)
        }
        /// Two hosts would share an address.
        AddressTaken(host: HostName) {
            display("another host has the address of {}", host)
        }
        /// The host is in service.
        InService(host: HostName) {
            display("host {} is in service", host)
        }
        /// The host is draining already.
        Draining(host: HostName) {
            display("host {} is draining already", host)
        }
        /// The host is not draining.
        NotDraining(host: HostName) {
            display("host {} is not draining", host)
        }
        /// More hosts of the pool would be out than its budget allows.
        BudgetExceeded(pool: PoolName, budget: u32) {
            display("pool {} may have at most {} hosts out", pool, budget)
        }
        /// The incarnation is not newer than the last one known.
        OldIncarnation(node: NodeName, last: u64) {
            display("incarnation {} of {} is known already", last, node)
        }
        /// That incarnation is no longer a member.
        Ended(node: NodeName) {
            display("that incarnation of {} has ended", node)
        }
        /// The reporter is not a fleet member, or is the suspect.
        NotVoter(node: NodeName) {
            display("{} has no say in this", node)
        }
        /// A later list of the platform has been taken in.
        OldList(host: HostName, seen: u64) {
            display("a list of {} has told of host {} already", seen, host)
        }
        /// The host's present drain is not the one of that plan.
        OldPlan(host: HostName) {
            display("host {} is not drained by that plan", host)
        }
        /// The host's drain is not at the point where that may follow.
        WrongPhase(host: HostName) {
            display("the drain of host {} has not come to that", host)
        }
        /// The platform may reboot the host at any moment.
        Rebooting(host: HostName) {
            display("host {} is about to reboot", host)
        }
        /// The snapshot is not of the state before it.
        WrongSnapshot {
            display("not a snapshot of the state before it")
        }
        /// The state would no longer fit into a snapshot.
        StateTooLarge {
            display("the state would be too large")
        }
    }
}
