//! What stands behind the operators' interface.

use futures_util::future::LocalBoxFuture;

use crate::fleet::Accepted;
use crate::fleet::Submission;
use crate::fleet::SubmitError;
use crate::fleet::View;

/// The log and the state folded from it.
pub trait Backend {
    /// Appends a change; a repeated id gets the outcome of the first time.
    ///
    /// The future is dropped when the operator's connection breaks: an append under way must go
    /// on without it.
    fn submit(
        &self,
        submission: Submission,
    ) -> LocalBoxFuture<'static, Result<Accepted, SubmitError>>;

    /// The state as this process knows it.
    fn view(&self) -> View;

    /// Whether this process can serve operators.
    fn ready(&self) -> bool;
}
