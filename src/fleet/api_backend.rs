//! What stands behind the operators' interface.

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::fleet::Accepted;
use crate::fleet::StateView;
use crate::fleet::Submission;
use crate::fleet::SubmitError;
use crate::observe::HlcTimestamp;
use crate::observe::Timeline;

/// The log and the state folded from it.
pub trait ApiBackend {
    /// Appends a change; a repeated id gets the outcome of the first time.
    ///
    /// The future is dropped when the operator's connection breaks: an append under way must go
    /// on without it.
    fn submit(
        &self,
        submission: Submission,
    ) -> LocalBoxFuture<'static, Result<Accepted, SubmitError>>;

    /// The state as this process knows it.
    fn view(&self) -> StateView;

    /// The time line over all processes, from `since` on.
    fn timeline(&self, since: HlcTimestamp) -> LocalBoxFuture<'static, Timeline> {
        let _ = since;
        async { Timeline::default() }.boxed_local()
    }

    /// Whether this process can serve operators.
    fn ready(&self) -> bool;
}
