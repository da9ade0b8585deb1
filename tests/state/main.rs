//! How processes follow the log and each other; without a network between them.

#[path = "../common/certs.rs"]
#[expect(dead_code, reason = "the nodes read the files themselves")]
mod certs;
mod follower;
mod members;
mod node;
mod tiny_fleet;
mod tiny_log;
