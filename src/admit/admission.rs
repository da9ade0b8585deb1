//! Admission of a request by its API key.

use crate::gate::FailureCode;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::record::KeyHash;
use crate::record::State;

/// Team charged for requests without a key, on services that are open to all.
pub const PUBLIC_TEAM: &str = "public";

/// An admitted request's team and its rights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// Team whose limit and share the request counts against.
    pub team: TeamName,
    /// Whether the team may mark requests as urgent.
    pub urgent: bool,
}

/// Checks whether a request with this key, or without one, may use a service.
///
/// # Errors
/// - `UnknownService` if no pool serves the service,
/// - `UnknownKey` if the key is unknown or missing, or its team has no row,
/// - `TeamNotAllowed` if none of the service's pools is open or allows the key's team.
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
        let is_anonymous = key.is_none();
        let code = if is_anonymous {
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
