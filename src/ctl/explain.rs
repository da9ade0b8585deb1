//! Answers why something is as it is.

use crate::ctl::CtlError;
use crate::ctl::args::Subject;
use crate::ctl::event_filter::EventFilter;
use crate::ctl::lines::lines;
use crate::fleet::StateView;
use crate::name::DcName;
use crate::name::HostName;
use crate::name::TeamName;
use crate::observe::Timeline;

/// What the state says of a subject, and the events about it.
///
/// # Errors
/// `CtlError::Usage` if `name` is no name.
pub fn explain(
    view: &StateView,
    timeline: &Timeline,
    subject: Subject,
    name: &str,
) -> Result<String, CtlError> {
    let mut wanted = EventFilter::default();
    let now = match subject {
        Subject::Host => {
            let host = HostName::new(name).map_err(CtlError::usage)?;
            wanted.host = Some(host.clone());
            host_now(view, &host)
        }
        Subject::Team => {
            let team = TeamName::new(name).map_err(CtlError::usage)?;
            wanted.team = Some(team.clone());
            team_now(view, &team)
        }
        Subject::Dc => {
            let dc = DcName::new(name).map_err(CtlError::usage)?;
            wanted.dc = Some(dc.clone());
            dc_now(view, &dc)
        }
        Subject::Request => {
            wanted.request = Some(name.to_owned());
            String::new()
        }
    };
    let told = wanted.of(timeline);
    let events = match told.is_empty() {
        true => "no event about it is on the time line\n".to_owned(),
        false => lines(timeline, &told),
    };
    Ok(now + &events)
}

fn host_now(view: &StateView, name: &HostName) -> String {
    let Some(host) = view.hosts.get(name) else {
        return format!("host {name} is not in the state\n");
    };
    let centre = view.centres.get(&host.dc).is_some_and(|dc| dc.active);
    let why = match (host.active, centre, host.draining) {
        (false, _, _) => "takes no work: operators have taken it out",
        (_, false, _) => "takes no work: operators have taken its data centre out",
        (_, _, true) => "takes no new work: it is being drained",
        _ => "takes work",
    };
    format!(
        "host {name}: {why}; pool {}, data centre {}, {} slots\n",
        host.pool, host.dc, host.slots
    )
}

fn team_now(view: &StateView, name: &TeamName) -> String {
    let Some(team) = view.teams.get(name) else {
        return format!("team {name} is not in the table: its requests are refused\n");
    };
    let row = &team.row;
    format!(
        "team {name}: weight {}, at most {} slots, urgent {}, {} keys\n",
        row.weight, row.limit, row.urgent, team.keys
    )
}

fn dc_now(view: &StateView, name: &DcName) -> String {
    let Some(dc) = view.centres.get(name) else {
        return format!("data centre {name} is not in the state\n");
    };
    let hosts = view.hosts.values().filter(|host| host.dc == *name).count();
    let way = if dc.active { "in" } else { "out of" };
    format!("data centre {name}: {way} service, {hosts} hosts\n")
}
