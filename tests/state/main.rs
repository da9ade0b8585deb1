//! How processes follow the log and each other; without a network between them.

mod follower;
mod members;
mod tiny_fleet;
mod tiny_log;
