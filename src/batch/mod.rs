//! Batch jobs: steps of tasks that run on executors under leases.
//!
//! Gates accept jobs from clients. One elected process, the owner, decides which task runs on
//! which executor. It builds its state by applying the records of the platform's log.
//!
//! - Step: a group of identical tasks of a job. If it is a gang, its tasks run only all at once.
//! - Occurrence: one execution of a job. A job with a schedule has several.
//! - Run: one execution of a task on an executor, under a lease that the owner's heartbeats renew.
//! - Term: the time from the election of an owner to its end. Its number is the fence, by which the
//!   log, the executors and the platform refuse earlier owners.
//! - Partition: a set of executors by the hash of their ids. The log records in which partitions
//!   each job may run, so that a later owner knows which executors may have runs of it.
//! - Pool: the hosts of a service. Idle hosts are in the spare pool.
//! - Wave: a request of operators for maintenance of a set of hosts.
//! - Ticket: permission of the advice service for a step to run on an executor.
//!
//! The log has two streams: one that only the owner writes, and one for gates that can't reach it.

mod adaptive_timeout;
mod advisor;
mod append_queue;
mod appender;
mod assignment;
mod backlog;
mod backlog_entry;
mod batch_metrics;
mod batch_state;
mod call;
mod candidacy;
mod candidate;
mod clock_reading;
mod contact;
mod directives_cache;
mod dispatcher;
mod drawn;
mod effort;
mod election;
mod end_numbers;
mod event;
mod executor;
mod executor_capacity;
mod executor_state;
mod front;
mod gate;
mod heartbeat_state;
mod in_flight;
mod inbox;
mod job;
mod job_id;
mod job_progress;
mod job_snapshot;
mod job_table;
mod leases;
mod least_resources;
mod load_metrics;
mod load_summary;
mod merge;
mod multiset;
mod objective;
mod obstacle;
mod open_teams;
mod orders;
mod owner;
mod owner_client;
mod owner_load;
mod owner_task;
mod pace;
mod partitions;
mod pause_detector;
mod platform;
mod policy;
mod poll_phase;
mod position;
mod process_watch;
mod rank;
mod record;
mod remaining_work;
mod resources;
mod round;
mod run_state;
mod service_backlog;
mod service_load;
mod service_order;
mod shares;
mod size_class;
mod step;
mod step_progress;
mod sweep;
mod takeover;
mod task_id;
mod task_progress;
mod team_backlog;
mod tenure;
mod term;
mod turns;
mod unanswered_starts;
mod unconfirmed_entry;
mod watchers;
mod waves;
mod widening;

pub use adaptive_timeout::AdaptiveTimeout;
pub use append_queue::AppendQueue;
pub use append_queue::QueuedRecords;
pub use batch_metrics::BatchMetrics;
pub use batch_state::BatchState;
pub use call::Call;
pub use call::CallOutcome;
pub use call::JobRequest;
pub use call::Refusal;
pub use candidacy::Candidacy;
pub use candidacy::Strength;
pub use directives_cache::DirectivesCache;
pub use dispatcher::Dispatcher;
pub use effort::Effort;
pub use election::Election;
pub use event::Action;
pub use event::Event;
pub use event::Now;
pub use event::OwnerRequest;
pub use event::OwnerResponse;
pub use executor::Executor;
pub use executor::Host;
pub use executor::HostPhase;
pub use gate::Admitted;
pub use gate::Gate;
pub use gate::Incoming;
pub use job::JOB_TASK_LIMIT;
pub use job::Job;
pub use job::JobError;
pub use job::SPEC_LIMIT;
pub use job::Schedule;
pub use job_id::JobId;
pub use job_id::JobIdError;
pub use job_progress::JobProgress;
pub use job_progress::JobState;
pub use job_snapshot::JobSnapshot;
pub use job_table::JobTable;
pub use load_summary::LoadSummary;
pub use objective::Lateness;
pub use objective::Objective;
pub use obstacle::Obstacle;
pub use orders::Advice;
pub use orders::Consult;
pub use orders::Heartbeat;
pub use orders::Maintain;
pub use orders::OrderError;
pub use orders::Pace;
pub use orders::Report;
pub use orders::Running;
pub use orders::Start;
pub use orders::StartAnswer;
pub use orders::Stop;
pub use orders::Target;
pub use orders::Transfer;
pub use orders::WaveState;
pub use owner_client::OwnerClient;
pub use owner_load::OwnerLoad;
pub use owner_task::OwnerTask;
pub use partitions::Partitions;
pub use pause_detector::PauseDetector;
pub use platform::LogBatch;
pub use platform::Membership;
pub use platform::Platform;
pub use platform::Stream;
pub use platform::Unreachable;
pub use platform::Watch;
pub use platform::Writer;
pub use policy::Directives;
pub use policy::Policy;
pub use policy::Pool;
pub use policy::Queue;
pub use policy::Team;
pub use policy::Wave;
pub use poll_phase::PollPhase;
pub use record::Fence;
pub use record::Record;
pub use record::RunEnd;
pub use record::RunOutcome;
pub use resources::Resources;
pub use shares::Shares;
pub use size_class::SizeClass;
pub use step::Step;
pub use task_id::StepId;
pub use task_id::TaskId;
pub use task_id::TaskIdError;
