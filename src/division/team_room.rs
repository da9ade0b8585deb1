//! How much of what teams ask for they may run.

use std::collections::BTreeMap;

use crate::batch::Resources;
use crate::name::TeamName;

/// All of a team's demand, in the unit in which parts of it are given.
const WHOLE: u64 = 1_000_000;

/// The part of its demand that each team may run, over all services. Teams that may run all of it
/// have no entry.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TeamRoom(BTreeMap<TeamName, u64>);

impl TeamRoom {
    /// Returns the room of teams with these demands, one item for each service and priority. `room`
    /// returns what a team may run in total.
    #[must_use]
    pub fn of<'a>(
        demands: impl Iterator<Item = (&'a TeamName, Resources)>,
        room: impl Fn(&TeamName) -> Resources,
    ) -> Self {
        let mut sums: BTreeMap<&TeamName, Resources> = BTreeMap::new();
        for (team, demand) in demands {
            sums.entry(team).or_default().add(&demand);
        }
        let parts = sums
            .into_iter()
            .map(|(team, sum)| (team.clone(), part(&sum, &room(team))));
        Self(parts.filter(|(_, part)| *part < WHOLE).collect())
    }

    /// Returns the part of a team's demand that it may run.
    #[must_use]
    pub fn usable(&self, team: &TeamName, demand: &Resources) -> Resources {
        let Some(&part) = self.0.get(team) else {
            return *demand;
        };
        Resources {
            cpu: scaled(demand.cpu, part),
            memory: scaled(demand.memory, part),
            gpu: scaled(demand.gpu, part),
        }
    }
}

/// Returns the part of `demand` that fits into `room` in each resource.
fn part(demand: &Resources, room: &Resources) -> u64 {
    let parts = [
        (demand.cpu, room.cpu),
        (demand.memory, room.memory),
        (demand.gpu, room.gpu),
    ];
    let parts = parts.into_iter().map(|(demand, room)| {
        let part = u128::from(room) * u128::from(WHOLE);
        let part = part.checked_div(u128::from(demand));
        part.map_or(WHOLE, |part| {
            u64::try_from(part).unwrap_or(WHOLE).min(WHOLE)
        })
    });
    parts.min().unwrap_or(WHOLE)
}

fn scaled(amount: u64, part: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(part) / u128::from(WHOLE);
    u64::try_from(scaled).unwrap_or(amount)
}
