//! Answers clients' calls.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::batch::BatchMetrics;
use crate::batch::Call;
use crate::batch::CallOutcome;
use crate::batch::Job;
use crate::batch::JobId;
use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;
use crate::batch::Platform;
use crate::batch::Policy;
use crate::batch::Queue;
use crate::batch::Record;
use crate::batch::Refusal;
use crate::batch::Stream;
use crate::batch::appender::Appender;
use crate::batch::directives_cache::DirectivesCache;
use crate::batch::owner_client::OwnerClient;
use crate::batch::owner_client::Stored;
use crate::log::AppendError;
use crate::name::TeamName;
use crate::observe::unix_millis;

/// When to come back after a passing trouble, in seconds.
const RETRY_S: u64 = 1;
/// Longest that a call waits for the store, in milliseconds.
const STORE_MS: u64 = 2_000;
/// Time kept back from a client's deadline to answer it, in milliseconds.
const REPLY_MS: u64 = 50;
/// Why a call is refused while the store takes nothing.
const BUSY: &str = "the store takes nothing now";
/// Why the outcome of a call isn't known.
const SILENT: &str = "the store did not answer";

/// A call as it came in.
#[derive(Debug, Clone, Copy)]
pub struct Incoming<'a> {
    /// Host name that the client called.
    pub host: &'a str,
    /// Path of its request.
    pub path: &'a str,
    /// Key that came with it.
    pub key: Option<&'a str>,
    /// Until when the client waits.
    pub deadline: Instant,
}

/// Queue and team of a call that is let in.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The queue.
    pub queue: Queue,
    /// The team, if a key came.
    pub team: Option<TeamName>,
    /// What follows the queue's prefix.
    pub rest: String,
    /// Version of the configuration by which it was let in.
    pub version: u64,
}

/// Takes jobs in, and tells what became of them.
pub struct Gate<P> {
    platform: Rc<P>,
    appender: Appender,
    view: Rc<DirectivesCache>,
    owner_client: Rc<OwnerClient<P>>,
    log: Logger,
    metrics: BatchMetrics,
}

impl<P: Platform> Gate<P> {
    /// A gate that asks at `owner_client`.
    #[must_use]
    pub fn new(
        platform: Rc<P>,
        view: Rc<DirectivesCache>,
        owner_client: Rc<OwnerClient<P>>,
        log: Logger,
        metrics: BatchMetrics,
    ) -> Self {
        Self {
            appender: Appender::spawn(platform.clone(), Stream::Gates, 1, 0, log.clone()),
            platform,
            view,
            owner_client,
            log,
            metrics,
        }
    }

    /// Counts a call that began at `start`.
    pub fn note(&self, start: Instant, result: &Result<CallOutcome, Refusal>) {
        self.metrics.record_call(start, result);
    }

    /// Whether calls can be answered now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.view.policy(Instant::now()).is_some()
    }

    /// Largest body of a request, in bytes, by the configuration.
    #[must_use]
    pub fn body_limit(&self) -> Option<usize> {
        let policy = self.view.policy(Instant::now())?;
        (policy.body > 0).then_some(policy.body)
    }

    /// Finds the queue of a call and checks its key.
    ///
    /// # Errors
    /// A [`Refusal`].
    pub fn admit(&self, call: &Incoming) -> Result<Admitted, Refusal> {
        let Some(policy) = self.view.policy(Instant::now()) else {
            let refusal = Refusal::Unavailable("the configuration is not up to date", RETRY_S);
            return Err(self.refuse(call, None, refusal));
        };
        let version = Some(policy.version);
        let Some(queue) = policy.queue(call.host, call.path) else {
            return Err(self.refuse(call, version, Refusal::NoQueue));
        };
        let team = call.key.and_then(|key| team(&policy, key));
        if team.is_none() && !queue.public {
            return Err(self.refuse(call, version, Refusal::NoKey));
        }
        Ok(Admitted {
            queue: queue.clone(),
            team,
            rest: call.path[queue.prefix.len()..].to_owned(),
            version: policy.version,
        })
    }

    fn refuse(&self, call: &Incoming, version: Option<u64>, refusal: Refusal) -> Refusal {
        info!(self.log, "refused"; "path" => call.path, "why" => %refusal, "version" => version);
        refusal
    }

    /// Answers a call.
    ///
    /// # Errors
    /// A [`Refusal`].
    pub async fn answer(
        &self,
        call: Call,
        admitted: Admitted,
        deadline: Instant,
    ) -> Result<CallOutcome, Refusal> {
        if admitted.rest.is_empty() && call == Call::State {
            return self.waiting(&admitted, deadline).await;
        }
        let id: Result<JobId, _> = admitted.rest.parse();
        let id = id.map_err(|err| Refusal::Invalid(err.to_string()))?;
        let result = match call {
            Call::Submit(draft) => {
                let job = Job {
                    id,
                    queue: admitted.queue.name.clone(),
                    service: admitted.queue.service.clone(),
                    team: admitted.team.clone(),
                    spec: draft.spec,
                    steps: draft.steps,
                    attempts: admitted.queue.attempts,
                    schedule: draft.schedule,
                    accepted: unix_millis(),
                };
                self.submit(job, deadline).await
            }
            Call::State => return self.state(&admitted, id, deadline).await,
            Call::Cancel => {
                let ask = |wait| OwnerRequest::Cancel(id, wait);
                let stored = self.store(Record::Cancelled(id), ask, deadline).await;
                stored.map(|()| CallOutcome::Cancelled)
            }
        };
        match &result {
            Ok(done) => info!(self.log, "answered"; "job" => %id, "done" => ?done,
                "queue" => %admitted.queue.name, "version" => admitted.version),
            Err(err) => warn!(self.log, "refused"; "job" => %id, "why" => %err,
                "queue" => %admitted.queue.name, "version" => admitted.version),
        }
        result
    }

    async fn submit(&self, job: Job, deadline: Instant) -> Result<CallOutcome, Refusal> {
        job.check()
            .map_err(|err| Refusal::Invalid(err.to_string()))?;
        let ask = |wait| OwnerRequest::Accept(job.clone(), wait);
        let stored = self.store(Record::Accepted(job.clone()), ask, deadline);
        stored.await.map(|()| CallOutcome::Accepted)
    }

    /// Refuses a record that the log could never take, and that would hold up others there.
    fn check_size(&self, record: &Record) -> Result<(), Refusal> {
        let bytes = record.encode();
        let size = bytes
            .map_err(|err| Refusal::Invalid(err.to_string()))?
            .len();
        let limit = self.platform.record_limit();
        if size > limit {
            let why = format!("the job takes {size} bytes, at most {limit} are allowed");
            return Err(Refusal::Invalid(why));
        }
        Ok(())
    }

    /// Has the owner append a record, or appends it if no owner can be told.
    async fn store(
        &self,
        record: Record,
        ask: impl Fn(u64) -> OwnerRequest,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        self.check_size(&record)?;
        let latest = Instant::now() + Duration::from_millis(STORE_MS);
        let deadline = (deadline - Duration::from_millis(REPLY_MS)).min(latest);
        let wait = deadline.saturating_duration_since(Instant::now());
        let wait = u64::try_from(wait.as_millis()).unwrap_or(STORE_MS);
        match self.owner_client.store(&ask(wait), deadline).await {
            Stored::Yes => Ok(()),
            Stored::No => Err(Refusal::Unavailable(BUSY, RETRY_S)),
            Stored::Untold => self.append(record, deadline).await,
            Stored::Unknown => self
                .append(record, deadline)
                .await
                .map_err(|err| match err {
                    // The owner may have appended it.
                    Refusal::Unavailable(..) => Refusal::Unknown(SILENT),
                    err => err,
                }),
        }
    }

    async fn append(&self, record: Record, deadline: Instant) -> Result<(), Refusal> {
        let (sender, answer) = oneshot::channel();
        let told = move |result| {
            // A call that has no more time has been answered.
            let _ = sender.send(result);
        };
        self.appender
            .append(&[record], Some(deadline), Box::new(told));
        match compio::time::timeout_at(deadline, answer).await {
            Ok(Ok(Ok(()))) => Ok(()),
            Ok(Ok(Err(AppendError::NotAppended(why)))) => {
                warn!(self.log, "store refused"; "why" => why);
                Err(Refusal::Unavailable(BUSY, RETRY_S))
            }
            _ => {
                warn!(self.log, "store did not answer");
                Err(Refusal::Unknown(SILENT))
            }
        }
    }

    async fn state(
        &self,
        admitted: &Admitted,
        id: JobId,
        deadline: Instant,
    ) -> Result<CallOutcome, Refusal> {
        let ask = OwnerRequest::State(admitted.queue.name.clone(), id);
        match self.owner_client.ask(&ask, deadline).await {
            Some(OwnerResponse::State(Some(state))) => Ok(CallOutcome::State(state)),
            Some(OwnerResponse::State(None)) => {
                info!(self.log, "job not known"; "job" => %id);
                Err(Refusal::NoJob)
            }
            _ => Err(self.no_owner(&format!("job {id}"))),
        }
    }

    async fn waiting(
        &self,
        admitted: &Admitted,
        deadline: Instant,
    ) -> Result<CallOutcome, Refusal> {
        let ask = OwnerRequest::Waiting(admitted.queue.name.clone());
        match self.owner_client.ask(&ask, deadline).await {
            Some(OwnerResponse::Waiting(count)) => Ok(CallOutcome::Waiting(count)),
            _ => Err(self.no_owner(&format!("queue {}", admitted.queue.name))),
        }
    }

    fn no_owner(&self, what: &str) -> Refusal {
        warn!(self.log, "owner out of reach"; "what" => what);
        Refusal::Unavailable("the state can't be told now", RETRY_S)
    }
}

fn team(policy: &Policy, key: &str) -> Option<TeamName> {
    policy.keys.get(key).cloned()
}
