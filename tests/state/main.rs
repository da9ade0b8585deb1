//! Replication of the state from the log and between processes.

#[path = "../common/certs.rs"]
#[expect(dead_code, reason = "nodes read the certificate files themselves")]
mod certs;
mod fake_log;
mod follower;
mod members;
mod node;
mod notes;
mod race;
mod snapshots;
mod test_fleet;
