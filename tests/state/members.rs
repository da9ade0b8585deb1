//! The fleet ends a member that it does not hear from, and no other member.

use std::time::Duration;

use compio::time::sleep;
use mimosastep::record::Role;

use crate::fake_log::FakeLog;
use crate::test_fleet::connect;
use crate::test_fleet::join;
use crate::test_fleet::record;
use crate::test_fleet::spawn_process;
use crate::test_fleet::start_fleet;
use crate::test_fleet::wait_until;

#[compio::test]
async fn the_fleet_ends_a_silent_member_and_no_other() {
    let log = FakeLog::start();
    let fleet = start_fleet(&log).await;
    let gate = spawn_process(&log.url(), "g1", Role::Gate);
    let state = |of: usize| fleet[of].follower.state();
    (0..3).for_each(|of| connect(&gate, &fleet[of], 11 + of as u64));
    for (id, node) in [(10, "g1"), (11, "g2")] {
        log.put(record(id, join(node, Role::Gate)).encode());
    }
    wait_until("joined", || state(0).members.len() == 5).await;
    wait_until("the silent member is ended", || {
        (0..3).all(|of| !state(of).members.contains_key("g2"))
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(state(0).members.len(), 4, "the other members remain");
    assert!(
        gate.follower
            .state()
            .is_ended(&"g2".parse().expect("a name"), 1)
    );
    assert!(state(1).suspicions.is_empty());
}
