//! Tests of how hosts are divided between services that together need more than there are.

use mimosastep::batch::Host;
use mimosastep::batch::HostPhase;
use mimosastep::batch::Resources;
use mimosastep::batch::RunOutcome;
use mimosastep::batch::Step;
use mimosastep::name::DcName;
use mimosastep::name::HostName;
use test_case::test_case;

use crate::simulation::HOST_CPU;
use crate::simulation::Simulation;
use crate::simulation::job_id;
use crate::simulation::service;
use crate::simulation::step;
use crate::simulation::team;

/// Number of hosts of all pools; each runs 16 tasks at a time.
const HOSTS: usize = 20;

/// A site on which two queues of less urgent work burst, each with more work than all hosts take. The
/// third queue's work is urgent.
fn bursting_site(divides: bool) -> Simulation {
    let mut sim = Simulation::new(&[
        ("rota", 8),
        ("oficina", 8),
        ("unlock", 2),
        ("spare", HOSTS - 18),
    ]);
    sim.owner().dispatcher.set_division(divides);
    sim.configure(|policy| {
        for queue in &mut policy.queues {
            queue.priority = u32::from(queue.name.as_str() != "unlock");
        }
    });
    sim.script = Box::new(|_, _| (600, RunOutcome::Done));
    for number in 0..900 {
        let queue = if number % 2 == 0 { "rota" } else { "oficina" };
        sim.submit(number, queue, vec![step(16)]);
    }
    sim.run(5_000);
    sim
}

/// Returns how many tasks of the urgent queue are done 5 s after its work begins to rise, of 960.
fn count_urgent_done(sim: &mut Simulation) -> usize {
    for number in 10_000..10_060 {
        sim.submit(number, "unlock", vec![step(16)]);
        sim.run(60);
    }
    sim.run(1_400);
    let urgent = sim.done.iter().filter(|task| task.job >= job_id(10_000));
    urgent.count()
}

fn urgent_tasks_done(divides: bool) -> usize {
    count_urgent_done(&mut bursting_site(divides))
}

/// Two queues burst, then urgent work rises at a third one: needs of 16 hosts and more, where it has
/// two, and a host takes 2 s to be emptied and moved. Guards against a priority that ends at the pool's edge.
#[test]
fn urgent_work_gets_hosts_of_two_bursts() {
    let (before, after) = (urgent_tasks_done(false), urgent_tasks_done(true));
    assert!(
        after >= before * 3 / 2,
        "{after} of 960 done, {before} without division"
    );
}

/// A hot team asks for more than it may run. Guards against hosts that stand idle for what may not
/// start.
#[test_case(4; "a fifth of the hosts")]
#[test_case(8; "two fifths of the hosts")]
fn no_host_is_held_for_a_team_at_its_limit(hosts: u64) {
    let mut sim = Simulation::new(&[("rota", 4), ("unlock", 4), ("spare", HOSTS - 8)]);
    sim.owner().dispatcher.set_division(true);
    sim.set_team("hot", 0, HOST_CPU * hosts);
    for number in 0..900 {
        sim.submit_as(Some(team("hot")), number, "rota", vec![step(16)]);
    }
    // Hosts that were fetched for the forecast have gone back by then.
    sim.run(8_000);
    let idle = sim.executors_of("rota");
    let idle = idle.filter(|fake| fake.runs.is_empty()).count() as u64;
    assert!(idle <= hosts / 4 + 1, "{idle} idle hosts beside {hosts}");
    let held = sim.executors_of("rota").count() as u64;
    assert!(held >= hosts, "{held} hosts for {hosts}");
}

/// A change of owners in the middle of two bursts: the next owner divides by what it reads from the
/// log. Guards against priorities that end with the owner.
#[test]
fn the_next_owner_divides_alike() {
    let done = |divides: bool| {
        let mut sim = bursting_site(true);
        sim.replace_owner(2);
        sim.owner().dispatcher.set_division(divides);
        count_urgent_done(&mut sim)
    };
    let (without, with) = (done(false), done(true));
    assert!(
        with > without,
        "{with} of 960 done, {without} without division"
    );
}

/// Guards against a division that does nothing, as one entry of another writer states more than all
/// hosts have.
#[test]
fn an_impossible_capacity_of_one_host_changes_no_division() {
    let mut sim = bursting_site(true);
    sim.odd_hosts.push(Host {
        name: HostName::new("odd-0").expect("a name"),
        pool: service("rota"),
        phase: HostPhase::Up,
        dc: DcName::new("dc-a").expect("a name"),
        capacity: Resources {
            cpu: u64::MAX,
            memory: 1,
            gpu: 0,
        },
    });
    let done = count_urgent_done(&mut sim);
    let usual = urgent_tasks_done(true);
    assert!(
        done * 10 >= usual * 9,
        "{done} of 960 done, {usual} without the entry"
    );
}

/// Work that can't run on any host needs none of them.
#[test]
fn tasks_that_fit_on_no_host_take_no_part() {
    let mut sim = bursting_site(true);
    let mut demand = step(1).demand;
    demand.cpu = HOST_CPU * 2;
    for number in 2_000..2_100 {
        let too_large = Step { demand, ..step(16) };
        sim.submit(number, "unlock", vec![too_large]);
    }
    sim.run(3_000);
    let held = sim.executors_of("unlock").count();
    assert!(held <= 2, "{held} hosts");
}
