//! The planner of upkeep.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::name::HostName;
use crate::name::PoolName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::upkeep::Action;
use crate::upkeep::Pause;
use crate::upkeep::PlannerInput;
use crate::upkeep::Policy;
use crate::upkeep::census::Census;
use crate::upkeep::moves::Trend;

/// Decides on waves and moves; reads no clock.
///
/// What must survive it is in the state: it remembers only loads lately seen and what it has
/// lately asked for, so that another planner can go on in its place, or beside it.
#[derive(Debug, Default)]
pub struct Planner {
    pub(super) policy: Policy,
    /// When hosts seen empty may reboot.
    pub(super) quiet: BTreeMap<HostName, u64>,
    /// When hosts may be asked to reboot again.
    pub(super) asked: BTreeMap<HostName, u64>,
    /// When hosts that could not be emptied are tried again.
    pub(super) retries: BTreeMap<HostName, u64>,
    /// Hosts that an alarm was noted for.
    pub(super) alarms: BTreeSet<HostName>,
    /// Loads of the pools.
    pub(super) trends: BTreeMap<PoolName, Trend>,
    /// The last hour's moves to pools that were short, oldest first.
    pub(super) moves: VecDeque<(u64, HostName)>,
    /// When hosts lately moved to pools that were short may be moved to others.
    pub(super) stays: BTreeMap<HostName, u64>,
    pause: Option<Pause>,
}

impl Planner {
    /// A planner with these bounds.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// What follows from the fleet as it is at `now`, in Unix milliseconds. It is safe to carry
    /// out only a part, or to do so twice.
    #[must_use]
    pub fn step(&mut self, now: u64, input: &PlannerInput<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        let policy = self.policy.clone();
        let pause = Pause::of(input.state, &policy, now);
        self.note_pause(pause.as_ref(), &mut out);
        self.retries.retain(|_, retry| now < *retry);
        self.follow_up(now, input, pause.as_ref(), &mut out);
        let mut census = Census::of(input.state, &policy, now);
        if policy.moves {
            self.plan_moves(now, input, &mut census, &mut out);
        }
        if pause.is_none() {
            self.plan_waves(now, input, &mut census, &mut out);
        }
        out
    }

    fn note_pause(&mut self, pause: Option<&Pause>, out: &mut Vec<Action>) {
        if self.pause.as_ref() == pause {
            return;
        }
        let note = match pause {
            Some(Pause::DcFilling(dc)) => {
                Note::new(NoteKind::DcFilling, "back in service; waves wait").dc(dc)
            }
            Some(pause) => Note::new(NoteKind::WaveChanged, format!("waves wait: {pause}")),
            None => Note::new(NoteKind::WaveChanged, "waves go on"),
        };
        out.push(Action::note(note));
        self.pause = pause.cloned();
    }
}
