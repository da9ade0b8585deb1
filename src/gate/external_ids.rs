//! External ids of requests in progress.

use std::collections::HashSet;
use std::sync::Arc;

use crate::gate::Submission;
use crate::name::TeamName;

/// Prevents a team from having two requests with the same external id in progress at this gate.
#[derive(Debug, Default)]
pub struct ExternalIds {
    in_progress: HashSet<(TeamName, Arc<str>)>,
}

impl ExternalIds {
    /// Adds a request. Returns false if the team has a request with the same external id in
    /// progress. Requests without an external id are always accepted.
    pub fn add(&mut self, team: &TeamName, submission: &Submission) -> bool {
        let Some(id) = &submission.external_id else {
            return true;
        };
        self.in_progress.insert((team.clone(), id.clone()))
    }

    /// Removes a request that is no longer in progress.
    pub fn remove(&mut self, team: &TeamName, submission: &Submission) {
        if let Some(id) = &submission.external_id {
            self.in_progress.remove(&(team.clone(), id.clone()));
        }
    }
}
