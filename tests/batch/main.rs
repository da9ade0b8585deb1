//! Tests of the job dispatcher, in virtual time against in-memory executors, hosts and log.

mod backlog;
mod candidacy;
mod entries;
mod fake_executor;
mod faults;
mod handover;
mod large;
mod largest;
mod line;
mod load;
mod needs;
mod objective;
mod operators;
mod pacing;
mod pause;
mod peaks;
mod restarts;
mod rules;
mod simulation;
mod sizes;
mod standstill;
mod standstill_trial;
mod starvation;
mod takeover;
mod teams;
mod upkeep;
