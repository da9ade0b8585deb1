//! The body of an error reply.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::wire::Verdict;

/// Value of `error` in the body of an error reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Stable code for programs.
    pub code: Cow<'static, str>,
    /// Description for people.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Milliseconds after which a retry is worthwhile; left out if there is no estimate.
    #[serde(
        rename = "retry_after_ms",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub retry_after: Option<u64>,
}
