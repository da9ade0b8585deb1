//! Decisions on jobs, driven in virtual time against executors, hosts and a log in memory.

mod candidacy;
mod entries;
mod fake;
mod faults;
mod handover;
mod large;
mod line;
mod needs;
mod operators;
mod pacing;
mod pause;
mod peaks;
mod rules;
mod sizes;
mod takeover;
mod teams;
mod upkeep;
mod world;
