//! The body of an error reply.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::wire::ExecutionStatus;

/// What stands under `error` in the body of an error reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Stable word for programs.
    pub code: Cow<'static, str>,
    /// Sentence for people.
    pub message: String,
    /// Whether the request may have run.
    #[serde(rename = "verdict")]
    pub execution: ExecutionStatus,
    /// When a repeat makes sense, in milliseconds from now.
    #[serde(
        rename = "retry_after_ms",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub retry_after: Option<u64>,
}
