//! Changes submitted by operators.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::record::Change;
use crate::record::RecordId;

quick_error! {
    /// Why a submission is refused before it is appended to the log.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SubmissionError {
        /// The id is not 32 hex digits.
        BadId(id: String) {
            display("an id has 32 hex digits, not {:?}", id)
        }
        /// The change is reserved for the system's own processes.
        NotOperators {
            display("operators may not ask for this change")
        }
    }
}

/// A change submitted by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Wire", into = "Wire")]
pub struct Submission {
    /// Id of the log record; the same on each retry.
    pub id: RecordId,
    /// Revision that the operator has seen. If set, the change is rejected unless it still is the
    /// state's revision.
    pub base: Option<u64>,
    /// The change.
    pub change: Change,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wire {
    id: String,
    base: Option<u64>,
    change: Change,
}

impl From<Submission> for Wire {
    fn from(from: Submission) -> Self {
        Self {
            id: from.id.to_string(),
            base: from.base,
            change: from.change,
        }
    }
}

impl TryFrom<Wire> for Submission {
    type Error = SubmissionError;

    fn try_from(wire: Wire) -> Result<Self, SubmissionError> {
        if !is_operator_change(&wire.change) {
            return Err(SubmissionError::NotOperators);
        }
        let id = parse_id(&wire.id).ok_or(SubmissionError::BadId(wire.id))?;
        Ok(Self {
            id,
            base: wire.base,
            change: wire.change,
        })
    }
}

fn parse_id(text: &str) -> Option<RecordId> {
    let hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != 32 || !hex {
        return None;
    }
    u128::from_str_radix(text, 16).ok().map(RecordId)
}

// Operators may submit more than configuration changes: also drains and moves.
const fn is_operator_change(change: &Change) -> bool {
    match change {
        Change::Table(_)
        | Change::Pools(_)
        | Change::Hosts(_)
        | Change::RemoveHost(_)
        | Change::GrantKey { .. }
        | Change::WithdrawKey { .. }
        | Change::MarkHost { .. }
        | Change::MarkDc { .. }
        | Change::Drain(_)
        | Change::Undrain { .. }
        | Change::Move { .. } => true,
        Change::Join { .. }
        | Change::Leave { .. }
        | Change::Suspect { .. }
        | Change::Trust { .. }
        | Change::End { .. }
        | Change::Snapshot(_)
        | Change::Listed { .. }
        | Change::Plan { .. }
        | Change::Reboot { .. }
        | Change::Finish { .. } => false,
    }
}
