//! How processes follow the log and each other; without a network between them.

#[path = "../common/certs.rs"]
#[expect(dead_code, reason = "the nodes read the files themselves")]
mod certs;
mod fake_log;
mod follower;
mod members;
mod node;
mod notes;
mod race;
mod snapshots;
mod test_fleet;
