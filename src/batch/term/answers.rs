//! Answers of an owner to gates.

use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;
use slog::info;

use crate::batch::Dispatcher;
use crate::batch::Event;
use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;
use crate::batch::Platform;
use crate::batch::Record;
use crate::batch::appender::Appender;
use crate::batch::inbox::Message;
use crate::batch::term::Term;
use crate::batch::term::millis;
use crate::log::AppendError;

/// Age of the last complete read of the gates' stream from which on a job that is not found may be
/// in it, in milliseconds.
const STALE_MS: u64 = 2_000;

impl<P: Platform> Term<P> {
    /// Answers a gate: at once, or when the append that it asks for has ended.
    pub(super) fn answer(
        &self,
        dispatcher: &mut Dispatcher,
        appender: &Appender,
        request: OwnerRequest,
        reply: oneshot::Sender<OwnerResponse>,
    ) {
        let answer = dispatcher.answer(&request);
        let answer = self.without_doubt(dispatcher, &request, answer);
        let (records, wait) = match (request, answer) {
            (OwnerRequest::Accept(job, wait), OwnerResponse::Unknown) => {
                let grant = (job.id, dispatcher.initial_partitions(&job));
                let grant = Record::Granted(vec![grant]);
                (vec![Record::Accepted(job), grant], wait)
            }
            (OwnerRequest::Cancel(id, wait), _) => (vec![Record::Cancelled(id)], wait),
            (_, answer) => {
                // The receiver is gone if the gate has timed out.
                let _ = reply.send(answer);
                return;
            }
        };
        let deadline = Instant::now() + Duration::from_millis(wait);
        let inbox = self.inbox.clone();
        let stored = records.clone();
        let on_result = move |result| {
            let answer = match result {
                Ok(()) => {
                    // The dispatcher has to know of the records before the client does.
                    inbox.send(Message::Event(Event::Stored(stored)));
                    OwnerResponse::Stored
                }
                Err(AppendError::NotAppended(_)) => OwnerResponse::NotAppended,
                Err(AppendError::Unknown(_)) => OwnerResponse::Unknown,
                Err(AppendError::Fenced) => OwnerResponse::Superseded,
            };
            let _ = reply.send(answer);
        };
        appender.append(&records, Some(deadline), Box::new(on_result));
    }

    /// Returns an answer, or `Unknown` in place of one that says that there is no such job, if there
    /// may be one: in a part of the gates' stream that was not read yet, or accepted by a later owner
    /// that this one has not heard of.
    fn without_doubt(
        &self,
        dispatcher: &Dispatcher,
        request: &OwnerRequest,
        answer: OwnerResponse,
    ) -> OwnerResponse {
        if answer != OwnerResponse::State(None) {
            return answer;
        }
        let read_age = self.last_read.get().elapsed();
        let current = dispatcher.is_exclusive(Instant::now());
        let doubtful = !current || read_age > Duration::from_millis(STALE_MS);
        if let OwnerRequest::State(queue, id) = request {
            info!(self.log, "job unknown to the owner"; "job" => %id, "queue" => %queue, "fence" => self.fence,
                "read_age_ms" => millis(read_age), "exclusive" => current,
                "confirmed_age_ms" => millis(self.tenure.borrow().confirmed().elapsed()));
        }
        if doubtful {
            return OwnerResponse::Unknown;
        }
        answer
    }
}
