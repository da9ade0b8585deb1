//! The consumer group: its members, and which partitions each of them has.

use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::serve::HttpResponse;
use crate::serve::json;
use crate::serve::plain;
use crate::store::Store;
use crate::store::member::Member;
use crate::store::member::PARTITIONS;
use crate::store::member::rebalance;

/// Name of the member that does nothing with its partitions.
const OTHER_MEMBER: &str = "other";

impl Store {
    /// Adds a member to the group and returns its partitions.
    ///
    /// Partitions are assigned evenly; a new member gets the lowest ones of members that have more.
    pub(super) fn join(&self, body: &[u8]) -> HttpResponse {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return plain(StatusCode::BAD_REQUEST, "no JSON");
        };
        let name = body["member"].as_str().unwrap_or_default();
        let topic = body["topics"][0].clone();
        let mut members = self.members.borrow_mut();
        if !members.iter().any(|member| member.name == name) {
            self.generation.set(self.generation.get() + 1);
            members.push(Member::new(name));
            rebalance(&mut members);
        }
        let member = members.iter().find(|member| member.name == name);
        let partitions = member.into_iter().flat_map(|member| &member.partitions);
        let partitions: Vec<Value> = partitions
            .map(|partition| json!([topic, partition, 0]))
            .collect();
        let generation = self.generation.get();
        json(
            StatusCode::OK,
            &json!({ "generation": generation, "parts": partitions }),
        )
    }

    /// Name of the member that owns a partition.
    pub fn partition_owner(&self, partition: u64) -> Option<String> {
        let members = self.members.borrow();
        let owner = members
            .iter()
            .find(|member| member.partitions.contains(&partition));
        owner.map(|member| member.name.clone())
    }

    /// Assigns all partitions to a member that does nothing with them. Returns the number of that
    /// change.
    pub fn reassign_partitions(&self) -> u64 {
        let mut members = self.members.borrow_mut();
        for member in members.iter_mut() {
            member.partitions.clear();
        }
        members.push(Member {
            name: OTHER_MEMBER.to_owned(),
            partitions: (0..PARTITIONS).collect(),
        });
        self.generation.set(self.generation.get() + 1);
        self.generation.get()
    }

    /// Removes the member that [`Self::reassign_partitions`] added; the others get its partitions.
    pub fn return_partitions(&self) {
        self.remove_member(OTHER_MEMBER);
    }

    fn remove_member(&self, name: &str) {
        let mut members = self.members.borrow_mut();
        let before = members.len();
        members.retain(|member| name != member.name);
        if members.len() < before {
            self.generation.set(self.generation.get() + 1);
            rebalance(&mut members);
        }
    }

    pub(super) fn owners(&self) -> HttpResponse {
        let rows = (0..PARTITIONS).filter_map(|partition| {
            Some(json!([
                "jobs",
                partition,
                self.partition_owner(partition)?,
                0
            ]))
        });
        let rows: Vec<Value> = rows.collect();
        json(StatusCode::OK, &json!({ "parts": rows }))
    }

    pub(super) fn leave(&self, body: &[u8]) -> HttpResponse {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        self.remove_member(body["member"].as_str().unwrap_or_default());
        plain(StatusCode::OK, "")
    }
}
