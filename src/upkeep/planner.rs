//! Planner of maintenance waves and moves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::name::HostName;
use crate::name::PoolName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::upkeep::Action;
use crate::upkeep::PauseReason;
use crate::upkeep::PlannerInput;
use crate::upkeep::Policy;
use crate::upkeep::host_counts::HostCounts;
use crate::upkeep::moves::LoadTrend;

/// Plans maintenance waves and moves of hosts. Does no I/O and reads no clock.
///
/// Everything that must be durable is in the fleet state. The planner itself only remembers recent
/// loads and recent requests, so another planner can take over at any time, or run at the same
/// time.
#[derive(Debug, Default)]
pub struct Planner {
    pub(super) policy: Policy,
    /// When hosts that are empty may be rebooted. These times, like those below, are Unix
    /// milliseconds.
    pub(super) reboot_at: BTreeMap<HostName, u64>,
    /// When a host's reboot may be requested again.
    pub(super) next_request: BTreeMap<HostName, u64>,
    /// When hosts that did not become empty in time may be drained again.
    pub(super) retry_at: BTreeMap<HostName, u64>,
    /// Hosts for which an alarm was recorded.
    pub(super) alarmed: BTreeSet<HostName>,
    /// Load trends of the pools.
    pub(super) trends: BTreeMap<PoolName, LoadTrend>,
    /// Moves of the last hour to pools that were short, oldest first.
    pub(super) recent_moves: VecDeque<(u64, HostName)>,
    /// When hosts that were moved to a pool that was short may be moved to another such pool.
    pub(super) stay_until: BTreeMap<HostName, u64>,
    pause: Option<PauseReason>,
}

impl Planner {
    /// Creates a planner with a policy.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Plans the next actions for the fleet at `now`, in Unix milliseconds. It is safe to execute
    /// only some of them, or to execute them twice.
    #[must_use]
    pub fn step(&mut self, now: u64, input: &PlannerInput<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        let policy = self.policy.clone();
        let pause = PauseReason::of(input.state, &policy, now);
        self.note_pause(pause.as_ref(), &mut out);
        self.retry_at.retain(|_, retry| now < *retry);
        self.advance_plans(now, input, pause.as_ref(), &mut out);
        let mut counts = HostCounts::of(input.state, &policy, now);
        if policy.moves {
            self.plan_moves(now, input, &mut counts, &mut out);
        }
        if pause.is_none() {
            self.plan_waves(now, input, &mut counts, &mut out);
        }
        out
    }

    fn note_pause(&mut self, pause: Option<&PauseReason>, out: &mut Vec<Action>) {
        if self.pause.as_ref() == pause {
            return;
        }
        let note = match pause {
            Some(PauseReason::DcFilling(dc)) => {
                Note::new(NoteKind::DcFilling, "back in service; waves wait").dc(dc)
            }
            Some(pause) => Note::new(NoteKind::WaveChanged, format!("waves wait: {pause}")),
            None => Note::new(NoteKind::WaveChanged, "waves go on"),
        };
        out.push(Action::note(note));
        self.pause = pause.cloned();
    }
}
