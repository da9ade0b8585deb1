//! Tests that the owner doesn't visit jobs for which nothing has changed.

use crate::simulation::Simulation;
use crate::simulation::step;

/// Guards against records of operators that made the owner rank all jobs anew, whatever they said.
#[test]
fn directives_that_change_no_queue_rank_no_job() {
    let mut sim = Simulation::new(&[("captions", 2)]);
    for number in 0..4_000 {
        sim.submit(number, "captions", vec![step(8)]);
    }
    sim.run(1_000);
    let before = sim.owner().dispatcher.effort();
    for round in 0..10 {
        sim.write_directives(|_| {});
        sim.set_team("fitters", 1, 1_000 + round);
        sim.run(100);
    }
    let ranked = sim.owner().dispatcher.effort().since(&before).ranked;
    // In this second, each job becomes late and is ranked once for that.
    assert!(ranked < 5_000, "{ranked} jobs ranked in a second");
}
