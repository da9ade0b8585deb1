//! Encoding of the state. Equal states have equal encodings.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::name::DcName;
use crate::name::HostName;
use crate::name::NodeName;
use crate::name::PoolName;
use crate::name::TeamName;
use crate::record::Checkpoint;
use crate::record::DecodeError;
use crate::record::Host;
use crate::record::KeyHash;
use crate::record::Member;
use crate::record::Pool;
use crate::record::RecentRecords;
use crate::record::State;
use crate::record::Team;
use crate::record::codec;
use crate::record::recent_records::MAX_RECENT_IDS;

/// Version byte of the encoding.
const VERSION: u8 = 2;

#[derive(Serialize, Deserialize)]
struct StateWire {
    teams: BTreeMap<TeamName, Team>,
    keys: BTreeMap<KeyHash, TeamName>,
    pools: BTreeMap<PoolName, Pool>,
    hosts: BTreeMap<HostName, Host>,
    dcs: BTreeMap<DcName, bool>,
    returned: BTreeMap<DcName, u64>,
    members: BTreeMap<NodeName, Member>,
    incarnations: BTreeMap<NodeName, u64>,
    suspicions: BTreeMap<NodeName, BTreeSet<NodeName>>,
    recent: RecentRecords,
    offset: u64,
    revision: u64,
    epoch: u64,
    snapped: u64,
    resumes: u64,
    checkpoint: Checkpoint,
}

impl From<State> for StateWire {
    fn from(state: State) -> Self {
        Self {
            teams: state.teams,
            keys: state.keys,
            pools: state.pools,
            hosts: state.hosts,
            dcs: state.dcs,
            returned: state.reactivated,
            members: state.members,
            incarnations: state.incarnations,
            suspicions: state.suspicions,
            recent: state.recent,
            offset: state.offset,
            revision: state.revision,
            epoch: state.epoch,
            snapped: state.snapshot_offset,
            resumes: state.resume_offset,
            checkpoint: state.checkpoint,
        }
    }
}

impl TryFrom<StateWire> for State {
    type Error = DecodeError;

    fn try_from(wire: StateWire) -> Result<Self, DecodeError> {
        let state = Self {
            teams: wire.teams,
            keys: wire.keys,
            pools: wire.pools,
            hosts: wire.hosts,
            dcs: wire.dcs,
            reactivated: wire.returned,
            members: wire.members,
            incarnations: wire.incarnations,
            suspicions: wire.suspicions,
            recent: wire.recent,
            offset: wire.offset,
            revision: wire.revision,
            epoch: wire.epoch,
            snapshot_offset: wire.snapped,
            resume_offset: wire.resumes,
            checkpoint: wire.checkpoint,
        };
        match state.inconsistency() {
            Some(what) => Err(DecodeError::Inconsistent(what)),
            None => Ok(state),
        }
    }
}

impl State {
    /// Encodes the state.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        codec::encode(VERSION, &StateWire::from(self.clone()))
    }

    /// Decodes a snapshot whose next record must be the one at `offset`.
    ///
    /// # Errors
    /// A [`DecodeError`] if `data` is not a snapshot, is inconsistent or has another offset.
    pub fn from_snapshot(offset: u64, data: &[u8]) -> Result<Self, DecodeError> {
        let state = Self::open_snapshot(data)?;
        if state.offset != offset {
            return Err(DecodeError::Inconsistent("snapshot has another offset"));
        }
        Ok(state)
    }

    /// Decodes a snapshot of any offset.
    ///
    /// # Errors
    /// A [`DecodeError`] if `data` is not a snapshot or is inconsistent.
    pub fn open_snapshot(data: &[u8]) -> Result<Self, DecodeError> {
        Self::try_from(codec::decode::<StateWire>(VERSION, data)?)
    }

    fn inconsistency(&self) -> Option<&'static str> {
        let checks = [
            (
                self.keys.values().all(|team| self.teams.contains_key(team)),
                "key of an unknown team",
            ),
            (
                self.hosts
                    .values()
                    .all(|h| self.pools.contains_key(&h.pool) && self.pools.contains_key(&h.home)),
                "host in an unknown pool",
            ),
            (
                self.hosts.values().all(|h| self.dcs.contains_key(&h.dc)),
                "host in an unknown data centre",
            ),
            (
                self.members
                    .iter()
                    .all(|(name, m)| self.incarnations.get(name) == Some(&m.incarnation)),
                "member with an unknown incarnation",
            ),
            (
                self.recent.len() <= MAX_RECENT_IDS,
                "too many recent record ids",
            ),
        ];
        let failed = checks.into_iter().find(|(holds, _)| !holds);
        failed.map(|(_, what)| what)
    }
}
