//! Progress of planned drains and reboots.

use crate::name::HostName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::record::Change;
use crate::record::Host;
use crate::record::Upkeep;
use crate::record::UpkeepEnd;
use crate::record::UpkeepGoal;
use crate::record::UpkeepPhase;
use crate::upkeep::Action;
use crate::upkeep::PauseReason;
use crate::upkeep::Planner;
use crate::upkeep::PlannerInput;
use crate::upkeep::pause_reason::is_overdue;

impl Planner {
    /// Reboots or moves hosts that have become empty, and ends plans that are completed or have to
    /// be abandoned.
    pub(super) fn advance_plans(
        &mut self,
        now: u64,
        input: &PlannerInput<'_>,
        pause: Option<&PauseReason>,
        out: &mut Vec<Action>,
    ) {
        for (name, host) in &input.state.hosts {
            let Some(upkeep) = &host.upkeep else {
                self.reboot_at.remove(name);
                self.next_request.remove(name);
                self.alarmed.remove(name);
                continue;
            };
            match upkeep.phase {
                UpkeepPhase::Emptying => {
                    self.advance_drain(now, input, pause, (name, host, upkeep), out)
                }
                UpkeepPhase::Rebooting => {
                    self.advance_reboot(now, input, (name, host, upkeep), out)
                }
            }
        }
    }

    fn advance_drain(
        &mut self,
        now: u64,
        input: &PlannerInput<'_>,
        pause: Option<&PauseReason>,
        (name, host, upkeep): (&HostName, &Host, &Upkeep),
        out: &mut Vec<Action>,
    ) {
        let maintenance = upkeep.goal == UpkeepGoal::Maintain;
        let pause = pause.filter(|_| maintenance);
        if host.leaving {
            return out.extend(finish_plan(
                name,
                upkeep,
                UpkeepEnd::Abandoned,
                "the host is leaving",
            ));
        }
        if let Some(pause) = pause {
            let cause = pause.to_string();
            return out.extend(finish_plan(name, upkeep, UpkeepEnd::Abandoned, &cause));
        }
        if !input.reports.is_empty(input.state, name, upkeep.plan) {
            self.reboot_at.remove(name);
            return self.check_drain_limit(now, (name, host, upkeep), out);
        }
        if !maintenance {
            let cause = format!("empty, from pool {}", host.pool);
            return out.extend(finish_plan(name, upkeep, UpkeepEnd::Moved, &cause));
        }
        let reboot_at = now + self.policy.empty_ms;
        if *self.reboot_at.entry(name.clone()).or_insert(reboot_at) <= now {
            out.push(Action::Append(Change::Reboot {
                host: name.clone(),
                plan: upkeep.plan,
            }));
        }
    }

    // Running requests are never cut off: a host that does not become empty gets requests again.
    fn check_drain_limit(
        &mut self,
        now: u64,
        (name, host, upkeep): (&HostName, &Host, &Upkeep),
        out: &mut Vec<Action>,
    ) {
        if now <= upkeep.since + self.policy.drain_ms {
            return;
        }
        let late = self.policy.late(host.maintained) <= now;
        if upkeep.goal == UpkeepGoal::Maintain && late {
            return self.alarm(name, "late for maintenance, and still not empty", out);
        }
        self.retry_at
            .insert(name.clone(), now + self.policy.retry_ms);
        out.extend(finish_plan(
            name,
            upkeep,
            UpkeepEnd::Abandoned,
            "not empty within its bound",
        ));
    }

    fn advance_reboot(
        &mut self,
        now: u64,
        input: &PlannerInput<'_>,
        (name, _, upkeep): (&HostName, &Host, &Upkeep),
        out: &mut Vec<Action>,
    ) {
        let Some(listing) = input.listing else {
            return;
        };
        if listing.is_rebooted(name, upkeep.plan) {
            let end = UpkeepEnd::Maintained(now);
            return out.extend(finish_plan(name, upkeep, end, "back from its reboot"));
        }
        if is_overdue(upkeep, &self.policy, now) {
            self.alarm(name, "not back from its reboot within its bound", out);
        }
        let due = self
            .next_request
            .get(name)
            .is_none_or(|again| *again <= now);
        if due && listing.is_live(name) {
            self.next_request
                .insert(name.clone(), now + self.policy.request_ms);
            out.push(Action::Reboot {
                host: name.clone(),
                plan: upkeep.plan,
            });
        }
    }

    fn alarm(&mut self, name: &HostName, cause: &str, out: &mut Vec<Action>) {
        if self.alarmed.insert(name.clone()) {
            let note = Note::new(NoteKind::WaveChanged, format!("alarm: {cause}"));
            out.push(Action::note(note.host(name)));
        }
    }
}

fn finish_plan(name: &HostName, upkeep: &Upkeep, end: UpkeepEnd, cause: &str) -> [Action; 2] {
    let kind = match end {
        UpkeepEnd::Moved => NoteKind::HostMoved,
        UpkeepEnd::Maintained(_) | UpkeepEnd::Abandoned => NoteKind::HostReturned,
    };
    let change = Change::Finish {
        host: name.clone(),
        plan: upkeep.plan,
        end,
    };
    let note = Note::new(kind, format!("{cause}; plan {}", upkeep.plan)).host(name);
    [Action::note(note), Action::Append(change)]
}
