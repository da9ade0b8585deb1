//! Admission of a request by its key.

use crate::gate::FailureCode;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::record::KeyHash;
use crate::record::State;

/// Team that requests without a key count for, on services open to all.
pub const PUBLIC_TEAM: &str = "public";

/// What a key entitles to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// Team that pays for the request.
    pub team: TeamName,
    /// Whether the team may mark requests as urgent.
    pub urgent: bool,
}

/// Checks that a key, or its absence, gives access to a service.
///
/// # Errors
/// `UnknownService`, `UnknownKey` or `TeamNotAllowed`.
pub fn admit(
    state: &State,
    service: &ServiceName,
    key: Option<&KeyHash>,
) -> Result<Admission, FailureCode> {
    let mut pools = state
        .pools
        .values()
        .filter(|pool| pool.service.as_ref() == Some(service))
        .peekable();
    if pools.peek().is_none() {
        return Err(FailureCode::UnknownService);
    }
    let team = match key {
        Some(key) => state.team_of(key).cloned().ok_or(FailureCode::UnknownKey)?,
        None => TeamName::new(PUBLIC_TEAM).map_err(|_| FailureCode::UnknownKey)?,
    };
    let allowed = pools.any(|pool| {
        pool.open || (key.is_some() && (pool.teams.is_empty() || pool.teams.contains(&team)))
    });
    if !allowed {
        let keyless = key.is_none();
        let code = if keyless {
            FailureCode::UnknownKey
        } else {
            FailureCode::TeamNotAllowed
        };
        return Err(code);
    }
    let row = state.teams.get(&team).ok_or(FailureCode::UnknownKey)?;
    Ok(Admission {
        urgent: row.urgent,
        team,
    })
}
