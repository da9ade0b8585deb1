//! Front end for clients' calls: submits and cancels jobs, and returns their state.

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
use crate::batch::job_snapshot::JobSnapshot;
use crate::batch::owner_client::AppendOutcome;
use crate::batch::owner_client::OwnerClient;
use crate::log::AppendError;
use crate::name::TeamName;
use crate::observe::unix_millis;

/// Time after which a client should retry a call that is unavailable, in seconds.
const RETRY_S: u64 = 1;
/// Maximum time that a call waits for an append to the log, in milliseconds.
const STORE_MS: u64 = 2_000;
/// Time reserved before a client's deadline to send the response, in milliseconds.
const REPLY_MS: u64 = 50;
/// Reason of a refusal while the log accepts no appends.
const NOT_ACCEPTING: &str = "the store takes nothing now";
/// Reason of a refusal where the outcome of an append is unknown.
const OUTCOME_UNKNOWN: &str = "the store did not answer";

/// Routing and authentication data of a call.
#[derive(Debug, Clone, Copy)]
pub struct Incoming<'a> {
    /// Host name in the request.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// API key sent with the request, if any.
    pub key: Option<&'a str>,
    /// Time until which the client waits.
    pub deadline: Instant,
}

/// A call whose queue is known and whose key is accepted.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Queue that the call is for.
    pub queue: Queue,
    /// Team that the key belongs to; `None` if no valid key was sent to a public queue.
    pub team: Option<TeamName>,
    /// Remainder of the path after the queue's prefix.
    pub rest: String,
    /// Version of the configuration that the call was checked against.
    pub version: u64,
}

/// Accepts jobs, cancels them and returns their state.
pub struct Gate<P> {
    platform: Rc<P>,
    appender: Appender,
    directives: Rc<DirectivesCache>,
    owner_client: Rc<OwnerClient<P>>,
    log: Logger,
    metrics: BatchMetrics,
}

impl<P: Platform> Gate<P> {
    /// A gate that reaches the owner through `owner_client`.
    #[must_use]
    pub fn new(
        platform: Rc<P>,
        directives: Rc<DirectivesCache>,
        owner_client: Rc<OwnerClient<P>>,
        log: Logger,
        metrics: BatchMetrics,
    ) -> Self {
        Self {
            appender: Appender::spawn(
                platform.clone(),
                Stream::Gates,
                1,
                0,
                log.clone(),
                metrics.clone(),
            ),
            platform,
            directives,
            owner_client,
            log,
            metrics,
        }
    }

    /// Records the latency and outcome of a call that began at `start`.
    pub fn note(&self, start: Instant, result: &Result<CallOutcome, Refusal>) {
        self.metrics.record_call(start, result);
    }

    /// Whether calls can be answered, which takes a recently confirmed configuration.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.directives.policy(Instant::now()).is_some()
    }

    /// Maximum size of a request body in bytes, if the configuration is recent and sets one.
    #[must_use]
    pub fn body_limit(&self) -> Option<usize> {
        let policy = self.directives.policy(Instant::now())?;
        (policy.body > 0).then_some(policy.body)
    }

    /// Finds the queue of a call and checks its key.
    ///
    /// # Errors
    /// A [`Refusal`].
    pub fn admit(&self, call: &Incoming) -> Result<Admitted, Refusal> {
        let Some(policy) = self.directives.policy(Instant::now()) else {
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
        info!(self.log, "call refused";
            "path" => call.path, "why" => %refusal, "version" => version);
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
            Call::Submit(request) => {
                let job = Job {
                    id,
                    queue: admitted.queue.name.clone(),
                    service: admitted.queue.service.clone(),
                    team: admitted.team.clone(),
                    spec: request.spec,
                    steps: request.steps,
                    attempts: admitted.queue.attempts,
                    schedule: request.schedule,
                    accepted: unix_millis(),
                };
                self.submit(job, deadline).await
            }
            Call::State => return self.state(&admitted, id, deadline).await,
            Call::Cancel => {
                let request = |wait| OwnerRequest::Cancel(id, wait);
                let stored = self.store(Record::Cancelled(id), request, deadline).await;
                stored.map(|()| CallOutcome::Cancelled)
            }
        };
        match &result {
            Ok(outcome) => info!(self.log, "call answered"; "job" => %id, "done" => ?outcome,
                "queue" => %admitted.queue.name, "version" => admitted.version),
            Err(err) => warn!(self.log, "call refused"; "job" => %id, "why" => %err,
                "queue" => %admitted.queue.name, "version" => admitted.version),
        }
        result
    }

    async fn submit(&self, job: Job, deadline: Instant) -> Result<CallOutcome, Refusal> {
        job.check()
            .map_err(|err| Refusal::Invalid(err.to_string()))?;
        let request = |wait| OwnerRequest::Accept(job.clone(), wait);
        let stored = self.store(Record::Accepted(job.clone()), request, deadline);
        stored.await.map(|()| CallOutcome::Accepted)
    }

    /// Refuses a job that exceeds the log's limit, or that may when it is written again with its state.
    fn check_size(&self, record: &Record) -> Result<(), Refusal> {
        let bytes = record.encode();
        let size = bytes
            .map_err(|err| Refusal::Invalid(err.to_string()))?
            .len();
        let reserve = match record {
            Record::Accepted(job) => JobSnapshot::outline_size(job),
            _ => 0,
        };
        let size = size + reserve;
        let limit = self.platform.record_limit();
        if size > limit {
            let why = format!("the job takes {size} bytes, at most {limit} are allowed");
            return Err(Refusal::Invalid(why));
        }
        Ok(())
    }

    /// Has the owner append a record, or appends it to the gates' stream without an owner.
    async fn store(
        &self,
        record: Record,
        request: impl Fn(u64) -> OwnerRequest,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        self.check_size(&record)?;
        let latest = Instant::now() + Duration::from_millis(STORE_MS);
        let deadline = (deadline - Duration::from_millis(REPLY_MS)).min(latest);
        let wait = deadline.saturating_duration_since(Instant::now());
        let wait = u64::try_from(wait.as_millis()).unwrap_or(STORE_MS);
        match self.owner_client.store(&request(wait), deadline).await {
            AppendOutcome::Appended => Ok(()),
            AppendOutcome::NotAppended => Err(Refusal::Unavailable(NOT_ACCEPTING, RETRY_S)),
            AppendOutcome::NoOwner => self.append(record, deadline).await,
            AppendOutcome::Unknown => {
                self.append(record, deadline)
                    .await
                    .map_err(|err| match err {
                        // The owner may have appended it, so "not appended" can't be claimed.
                        Refusal::Unavailable(..) => Refusal::Unknown(OUTCOME_UNKNOWN),
                        err => err,
                    })
            }
        }
    }

    async fn append(&self, record: Record, deadline: Instant) -> Result<(), Refusal> {
        let (sender, answer) = oneshot::channel();
        let on_result = move |result| {
            // The receiver is gone if the deadline has passed and the call has been answered.
            let _ = sender.send(result);
        };
        self.appender
            .append(&[record], Some(deadline), Box::new(on_result));
        match compio::time::timeout_at(deadline, answer).await {
            Ok(Ok(Ok(()))) => Ok(()),
            Ok(Ok(Err(AppendError::NotAppended(why)))) => {
                warn!(self.log, "append not carried out"; "why" => why);
                Err(Refusal::Unavailable(NOT_ACCEPTING, RETRY_S))
            }
            _ => {
                warn!(self.log, "log append has no known outcome");
                Err(Refusal::Unknown(OUTCOME_UNKNOWN))
            }
        }
    }

    async fn state(
        &self,
        admitted: &Admitted,
        id: JobId,
        deadline: Instant,
    ) -> Result<CallOutcome, Refusal> {
        let request = OwnerRequest::State(admitted.queue.name.clone(), id);
        match self.owner_client.ask(&request, deadline).await {
            Some(OwnerResponse::State(Some(state))) => Ok(CallOutcome::State(state)),
            Some(OwnerResponse::State(None)) => {
                info!(self.log, "job not found"; "job" => %id);
                Err(Refusal::NoJob)
            }
            _ => Err(self.owner_unreachable(&format!("job {id}"))),
        }
    }

    async fn waiting(
        &self,
        admitted: &Admitted,
        deadline: Instant,
    ) -> Result<CallOutcome, Refusal> {
        let request = OwnerRequest::Waiting(admitted.queue.name.clone());
        match self.owner_client.ask(&request, deadline).await {
            Some(OwnerResponse::Waiting(count)) => Ok(CallOutcome::Waiting(count)),
            _ => Err(self.owner_unreachable(&format!("queue {}", admitted.queue.name))),
        }
    }

    fn owner_unreachable(&self, what: &str) -> Refusal {
        warn!(self.log, "no usable answer of the owner; refusing the call"; "what" => what);
        Refusal::Unavailable("the state can't be told now", RETRY_S)
    }
}

fn team(policy: &Policy, key: &str) -> Option<TeamName> {
    policy.keys.get(key).cloned()
}
