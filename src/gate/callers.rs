//! Callers' own identities of the requests in progress.

use std::collections::HashSet;
use std::sync::Arc;

use crate::gate::Submission;
use crate::name::TeamName;

/// Keeps a team from having one identity in progress twice at this gate.
#[derive(Debug, Default)]
pub struct Callers {
    present: HashSet<(TeamName, Arc<str>)>,
}

impl Callers {
    /// Adds a request, unless its caller named it and a request of that name is in progress.
    pub fn add(&mut self, team: &TeamName, submission: &Submission) -> bool {
        let Some(caller) = &submission.external_id else {
            return true;
        };
        self.present.insert((team.clone(), caller.clone()))
    }

    /// Takes a request out.
    pub fn remove(&mut self, team: &TeamName, submission: &Submission) {
        if let Some(caller) = &submission.external_id {
            self.present.remove(&(team.clone(), caller.clone()));
        }
    }
}
