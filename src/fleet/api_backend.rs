//! Backend of the operators' API.

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::fleet::Accepted;
use crate::fleet::StateView;
use crate::fleet::Submission;
use crate::fleet::SubmitError;
use crate::observe::HlcTimestamp;
use crate::observe::Timeline;

/// Access to the log, the state and the time line for [`OperatorsApi`](crate::fleet::OperatorsApi).
pub trait ApiBackend {
    /// Appends a change. A submission with the id of an earlier one returns that one's outcome.
    ///
    /// The future is dropped if the operator's connection breaks; an append in progress must
    /// continue nevertheless.
    fn submit(
        &self,
        submission: Submission,
    ) -> LocalBoxFuture<'static, Result<Accepted, SubmitError>>;

    /// State as of the last record that this process has applied.
    fn view(&self) -> StateView;

    /// Time line of all processes from `since` on; empty unless implemented.
    fn timeline(&self, since: HlcTimestamp) -> LocalBoxFuture<'static, Timeline> {
        let _ = since;
        async { Timeline::default() }.boxed_local()
    }

    /// Whether this process can serve operators.
    fn is_ready(&self) -> bool;
}
