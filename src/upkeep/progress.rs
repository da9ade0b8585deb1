//! What follows for hosts that are drained by plan.

use crate::name::HostName;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::record::Change;
use crate::record::End;
use crate::record::Goal;
use crate::record::Host;
use crate::record::Phase;
use crate::record::Upkeep;
use crate::upkeep::Action;
use crate::upkeep::Pause;
use crate::upkeep::Planner;
use crate::upkeep::PlannerInput;
use crate::upkeep::pause::is_overdue;

impl Planner {
    /// Reboots and moves hosts that have become empty, and ends drains that are over.
    pub(super) fn follow_up(
        &mut self,
        now: u64,
        input: &PlannerInput<'_>,
        pause: Option<&Pause>,
        out: &mut Vec<Action>,
    ) {
        for (name, host) in &input.state.hosts {
            let Some(upkeep) = &host.upkeep else {
                self.quiet.remove(name);
                self.asked.remove(name);
                self.alarms.remove(name);
                continue;
            };
            match upkeep.phase {
                Phase::Emptying => self.empty(now, input, pause, (name, host, upkeep), out),
                Phase::Rebooting => self.reboot(now, input, (name, host, upkeep), out),
            }
        }
    }

    fn empty(
        &mut self,
        now: u64,
        input: &PlannerInput<'_>,
        pause: Option<&Pause>,
        (name, host, upkeep): (&HostName, &Host, &Upkeep),
        out: &mut Vec<Action>,
    ) {
        let maintenance = upkeep.goal == Goal::Maintain;
        let pause = pause.filter(|_| maintenance);
        if host.leaving {
            return out.extend(finish(name, upkeep, End::Abandoned, "the host is leaving"));
        }
        if let Some(pause) = pause {
            let cause = pause.to_string();
            return out.extend(finish(name, upkeep, End::Abandoned, &cause));
        }
        if !input.reports.is_empty(input.state, name, upkeep.plan) {
            self.quiet.remove(name);
            return self.wait(now, (name, host, upkeep), out);
        }
        if !maintenance {
            let cause = format!("empty, from pool {}", host.pool);
            return out.extend(finish(name, upkeep, End::Moved, &cause));
        }
        let quiet = now + self.policy.quiet_ms;
        if *self.quiet.entry(name.clone()).or_insert(quiet) <= now {
            out.push(Action::Append(Change::Reboot {
                host: name.clone(),
                plan: upkeep.plan,
            }));
        }
    }

    // Running work is never cut: a host that does not become empty takes new work again.
    fn wait(
        &mut self,
        now: u64,
        (name, host, upkeep): (&HostName, &Host, &Upkeep),
        out: &mut Vec<Action>,
    ) {
        if now <= upkeep.since + self.policy.drain_ms {
            return;
        }
        let late = self.policy.late(host.maintained) <= now;
        if upkeep.goal == Goal::Maintain && late {
            return self.alarm(name, "late for maintenance, and still not empty", out);
        }
        self.retries
            .insert(name.clone(), now + self.policy.retry_ms);
        out.extend(finish(
            name,
            upkeep,
            End::Abandoned,
            "not empty within its bound",
        ));
    }

    fn reboot(
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
            let end = End::Maintained(now);
            return out.extend(finish(name, upkeep, end, "back from its reboot"));
        }
        if is_overdue(upkeep, &self.policy, now) {
            self.alarm(name, "not back from its reboot within its bound", out);
        }
        let due = self.asked.get(name).is_none_or(|again| *again <= now);
        if due && listing.is_live(name) {
            self.asked.insert(name.clone(), now + self.policy.ask_ms);
            out.push(Action::Reboot {
                host: name.clone(),
                plan: upkeep.plan,
            });
        }
    }

    fn alarm(&mut self, name: &HostName, cause: &str, out: &mut Vec<Action>) {
        if self.alarms.insert(name.clone()) {
            let note = Note::new(NoteKind::WaveChanged, format!("alarm: {cause}"));
            out.push(Action::note(note.host(name)));
        }
    }
}

fn finish(name: &HostName, upkeep: &Upkeep, end: End, cause: &str) -> [Action; 2] {
    let kind = match end {
        End::Moved => NoteKind::HostMoved,
        End::Maintained(_) | End::Abandoned => NoteKind::HostReturned,
    };
    let change = Change::Finish {
        host: name.clone(),
        plan: upkeep.plan,
        end,
    };
    let note = Note::new(kind, format!("{cause}; plan {}", upkeep.plan)).host(name);
    [Action::note(note), Action::Append(change)]
}
