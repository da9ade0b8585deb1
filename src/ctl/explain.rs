//! Explains the status of a host, team, data centre or request.

use crate::ctl::CtlError;
use crate::ctl::args::Subject;
use crate::ctl::event_filter::EventFilter;
use crate::ctl::lines::format_events;
use crate::fleet::StateView;
use crate::name::DcName;
use crate::name::HostName;
use crate::name::TeamName;
use crate::observe::Timeline;

/// Describes a subject by its current state and the events about it.
///
/// # Errors
/// `CtlError::Usage` if `name` is not a valid name of such a subject.
pub fn explain(
    view: &StateView,
    timeline: &Timeline,
    subject: Subject,
    name: &str,
) -> Result<String, CtlError> {
    let mut filter = EventFilter::default();
    let summary = match subject {
        Subject::Host => {
            let host = HostName::new(name).map_err(CtlError::usage)?;
            filter.host = Some(host.clone());
            describe_host(view, &host)
        }
        Subject::Team => {
            let team = TeamName::new(name).map_err(CtlError::usage)?;
            filter.team = Some(team.clone());
            describe_team(view, &team)
        }
        Subject::Dc => {
            let dc = DcName::new(name).map_err(CtlError::usage)?;
            filter.dc = Some(dc.clone());
            describe_dc(view, &dc)
        }
        Subject::Request => {
            filter.request = Some(name.to_owned());
            String::new()
        }
    };
    let selected = filter.select(timeline);
    let events = match selected.is_empty() {
        true => "no event about it is on the time line\n".to_owned(),
        false => format_events(timeline, &selected),
    };
    Ok(summary + &events)
}

fn describe_host(view: &StateView, name: &HostName) -> String {
    let Some(host) = view.hosts.get(name) else {
        return format!("host {name} is not in the state\n");
    };
    let dc_active = view.centres.get(&host.dc).is_some_and(|dc| dc.active);
    let status = match (host.active, dc_active, host.draining) {
        (false, _, _) => "takes no work: operators have taken it out",
        (_, false, _) => "takes no work: operators have taken its data centre out",
        (_, _, true) => "takes no new work: it is being drained",
        _ => "takes work",
    };
    format!(
        "host {name}: {status}; pool {}, data centre {}, {} slots\n",
        host.pool, host.dc, host.slots
    )
}

fn describe_team(view: &StateView, name: &TeamName) -> String {
    let Some(team) = view.teams.get(name) else {
        return format!("team {name} is not in the table: its requests are refused\n");
    };
    let row = &team.row;
    format!(
        "team {name}: weight {}, at most {} slots, urgent {}, {} keys\n",
        row.weight, row.limit, row.urgent, team.keys
    )
}

fn describe_dc(view: &StateView, name: &DcName) -> String {
    let Some(dc) = view.centres.get(name) else {
        return format!("data centre {name} is not in the state\n");
    };
    let hosts = view.hosts.values().filter(|host| host.dc == *name).count();
    let preposition = if dc.active { "in" } else { "out of" };
    format!("data centre {name}: {preposition} service, {hosts} hosts\n")
}
