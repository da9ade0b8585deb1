//! Fleet state as shown to operators.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::PoolName;
use crate::name::TeamName;
use crate::record::Host;
use crate::record::Member;
use crate::record::Pool;
use crate::record::State;
use crate::record::Team;

/// A team, without its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamView {
    /// The team's row in the operators' table.
    #[serde(flatten)]
    pub row: Team,
    /// Number of the team's API keys.
    pub keys: u32,
}

/// Status of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DcView {
    /// False while operators have taken the data centre out of service.
    pub active: bool,
}

/// Fleet state as shown to operators, without secrets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateView {
    /// Number of configuration changes accepted so far.
    pub revision: u64,
    /// Offset in the log after the last record applied.
    pub offset: u64,
    /// Epoch: number of membership changes so far.
    pub epoch: u64,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamView>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Hosts by name.
    pub hosts: BTreeMap<HostName, Host>,
    /// Data centres by name.
    pub centres: BTreeMap<DcName, DcView>,
    /// Processes by name.
    pub members: BTreeMap<NodeName, Member>,
}

impl From<&State> for StateView {
    fn from(state: &State) -> Self {
        let keys = |team: &TeamName| state.keys.values().filter(|of| *of == team).count();
        let teams = state.teams.iter().map(|(name, row)| {
            let view = TeamView {
                row: row.clone(),
                keys: keys(name) as u32,
            };
            (name.clone(), view)
        });
        let centres = state.dcs.iter();
        Self {
            revision: state.revision,
            offset: state.offset,
            epoch: state.epoch,
            teams: teams.collect(),
            pools: state.pools.clone(),
            hosts: state.hosts.clone(),
            centres: centres
                .map(|(dc, active)| (dc.clone(), DcView { active: *active }))
                .collect(),
            members: state.members.clone(),
        }
    }
}
