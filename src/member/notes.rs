//! Time line notes about applied records.

use crate::observe::Note;
use crate::observe::NoteKind;
use crate::record::Change;
use crate::record::Outcome;
use crate::record::Record;

/// Returns the note about a record; `None` for repeated records and accepted snapshots.
pub fn note_for(record: &Record, outcome: &Outcome) -> Option<Note> {
    let (kind, result) = match outcome {
        Outcome::Repeated { .. } => return None,
        Outcome::Rejected(reject) => (NoteKind::ChangeRejected, reject.to_string()),
        Outcome::Accepted { revision } => (
            accepted_kind(&record.change)?,
            format!("revision {revision}"),
        ),
    };
    let cause = format!(
        "{} by {}: {result}",
        describe(&record.change),
        record.author
    );
    Some(with_subject(Note::new(kind, cause), &record.change))
}

const fn accepted_kind(change: &Change) -> Option<NoteKind> {
    match change {
        Change::Snapshot(_) => None,
        Change::Join { .. }
        | Change::Leave { .. }
        | Change::Suspect { .. }
        | Change::Trust { .. }
        | Change::End { .. } => Some(NoteKind::MemberChanged),
        _ => Some(NoteKind::ChangeAccepted),
    }
}

const fn describe(change: &Change) -> &'static str {
    match change {
        Change::Table(_) => "table",
        Change::Pools(_) => "pools",
        Change::Hosts(_) => "hosts",
        Change::RemoveHost(_) => "host removed",
        Change::GrantKey { .. } => "key granted",
        Change::WithdrawKey { .. } => "key withdrawn",
        Change::MarkHost { active: true, .. } => "host marked in",
        Change::MarkHost { .. } => "host marked out",
        Change::MarkDc { active: true, .. } => "data centre marked in",
        Change::MarkDc { .. } => "data centre marked out",
        Change::Drain(_) => "drain started",
        Change::Undrain { .. } => "drain ended",
        Change::Move { .. } => "host moved",
        Change::Join { .. } => "joined",
        Change::Leave { .. } => "leaving",
        Change::Suspect { .. } => "reported as silent",
        Change::Trust { .. } => "heard again",
        Change::End { .. } => "ended",
        Change::Snapshot(_) => "snapshot",
        Change::Listed { leaving: true, .. } => "host listed as leaving",
        Change::Listed { .. } => "host listed as live",
        Change::Plan { .. } => "drain planned",
        Change::Reboot { .. } => "host empty, to be rebooted",
        Change::Finish { .. } => "planned drain ended",
    }
}

fn with_subject(note: Note, change: &Change) -> Note {
    match change {
        Change::GrantKey { team, .. } => note.team(team),
        Change::RemoveHost(host)
        | Change::Drain(host)
        | Change::MarkHost { host, .. }
        | Change::Undrain { host, .. }
        | Change::Move { host, .. }
        | Change::Listed { host, .. }
        | Change::Plan { host, .. }
        | Change::Reboot { host, .. }
        | Change::Finish { host, .. } => note.host(host),
        Change::MarkDc { dc, .. } => note.dc(dc),
        Change::Join { node, .. }
        | Change::Leave { node, .. }
        | Change::Suspect { node, .. }
        | Change::Trust { node, .. }
        | Change::End { node, .. } => note.node(node),
        Change::Table(_)
        | Change::Pools(_)
        | Change::Hosts(_)
        | Change::WithdrawKey { .. }
        | Change::Snapshot(_) => note,
    }
}
