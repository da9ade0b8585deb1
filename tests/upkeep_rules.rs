//! Tests of each rule of the planner.

mod upkeep_world;

use mimosastep::observe::NoteKind;
use mimosastep::record::Change;
use mimosastep::record::Host;
use mimosastep::record::Rejection;
use mimosastep::record::UpkeepEnd;
use mimosastep::record::UpkeepGoal;
use mimosastep::upkeep::FILLING_MS;
use mimosastep::upkeep::Policy;
use mimosastep::upkeep::RACK_HOSTS;
use mimosastep::upkeep::filled_slots;
use test_case::test_case;

use upkeep_world::DelayedPlanner;
use upkeep_world::FleetSize;
use upkeep_world::Simulation;
use upkeep_world::name;

const DAY_MS: u64 = 24 * 3_600_000;

fn simulation() -> Simulation {
    let planner = DelayedPlanner::new(Policy::default(), 0, 0);
    Simulation::new(&FleetSize::CURRENT, 1, vec![planner])
}

fn run(sim: &mut Simulation, seconds: u64) {
    for _ in 0..seconds {
        sim.step(1_000);
    }
    assert_eq!(sim.violations, Vec::<String>::new());
}

fn mark(dc: &str, active: bool) -> Change {
    let dc = name(dc);
    Change::MarkDc { dc, active }
}

/// Returns the hosts that are drained for maintenance.
fn maintained_hosts(sim: &Simulation) -> Vec<&Host> {
    let hosts = sim.state.hosts.values();
    let goal = |host: &Host| host.upkeep.clone().map(|upkeep| upkeep.goal);
    hosts
        .filter(|host| goal(host) == Some(UpkeepGoal::Maintain))
        .collect()
}

#[test]
fn a_pool_has_one_rack_under_maintenance_and_keeps_a_reserve() {
    let mut sim = simulation();
    for _ in 0..600 {
        run(&mut sim, 1);
        let hosts = maintained_hosts(&sim);
        assert!(hosts.len() <= RACK_HOSTS, "{} at once", hosts.len());
        for host in &hosts {
            let same = hosts.iter().filter(|other| other.pool == host.pool);
            let racks: std::collections::BTreeSet<_> = same.clone().map(|h| &h.rack).collect();
            assert_eq!(racks.len(), 1, "pool {}", host.pool);
            assert!(
                same.count() < FleetSize::CURRENT.budget as usize || host.pool == name("spare")
            );
        }
    }
    assert!(sim.maintained > 0);
}

#[test]
fn a_data_centre_out_of_service_stops_waves_until_it_is_filled() {
    let mut sim = simulation();
    run(&mut sim, 3);
    assert!(!maintained_hosts(&sim).is_empty());
    sim.append(mark("dc2", false)).unwrap();
    run(&mut sim, 3);
    assert_eq!(maintained_hosts(&sim), Vec::<&Host>::new());
    sim.append(mark("dc2", true)).unwrap();
    run(&mut sim, FILLING_MS / 1_000 - 3);
    assert!(maintained_hosts(&sim).is_empty());
    run(&mut sim, 6);
    assert!(!maintained_hosts(&sim).is_empty());
    assert_eq!(sim.notes[&NoteKind::DcFilling], 1);
}

/// Result of draining a host for maintenance.
#[derive(Debug, PartialEq)]
enum DrainResult {
    Maintained,
    Returned,
    Drained,
}

#[test_case(22, false, DrainResult::Maintained; "an idle host is rebooted")]
#[test_case(22, true, DrainResult::Returned; "a host that stays busy is given back")]
#[test_case(33, true, DrainResult::Drained; "a host late for maintenance stays drained until it is empty")]
fn a_reboot_waits_for_the_last_task(days: u64, busy: bool, expected: DrainResult) {
    let mut sim = simulation();
    let before = Some(sim.now - days * DAY_MS);
    let hosts: Vec<_> = sim.state.hosts.keys().cloned().collect();
    for (host, maintained) in hosts.into_iter().zip(std::iter::repeat(before)) {
        sim.append(Change::Drain(host.clone())).unwrap();
        sim.append(Change::Undrain { host, maintained }).unwrap();
    }
    run(&mut sim, 3);
    let drained = sim.state.hosts.iter().find(|(_, host)| host.draining);
    let host = drained.unwrap().0.clone();
    if busy {
        let machine = sim.machines.get_mut(&host).unwrap();
        (machine.busy_until, machine.used_slots) = (u64::MAX, 1);
    }
    run(&mut sim, 31 * 60);
    let after = &sim.state.hosts[&host];
    let result = match (after.draining, Some(after.maintained) == before) {
        (true, _) => DrainResult::Drained,
        (false, true) => DrainResult::Returned,
        (false, false) => DrainResult::Maintained,
    };
    assert_eq!(result, expected);
}

#[test_case(true, true; "while the peak lasts spare hosts help")]
#[test_case(false, false; "after the peak they are back")]
fn spare_hosts_follow_peaks(peak: bool, lent: bool) {
    let mut sim = simulation();
    sim.demand.insert(name("p0"), 120);
    run(&mut sim, 10);
    if !peak {
        sim.demand.insert(name("p0"), 2);
    }
    run(&mut sim, 90);
    let hosts = sim.state.hosts.values();
    let lent_hosts = hosts.filter(|host| host.pool != host.home).count();
    assert_eq!(lent_hosts > 0, lent, "{lent_hosts} hosts are lent");
    assert!(
        lent_hosts * 8 >= if peak { 40 } else { 0 },
        "{lent_hosts} hosts are lent"
    );
}

#[test_case(1, true; "one host")]
#[test_case(40, false; "a list without most hosts is broken")]
fn hosts_that_the_platform_no_longer_lists_leave_within_seconds(count: usize, leave: bool) {
    let mut sim = simulation();
    run(&mut sim, 1);
    let unlisted: Vec<_> = sim.state.hosts.keys().take(count).cloned().collect();
    unlisted.iter().for_each(|host| sim.fail(host, 20_000));
    run(&mut sim, 3);
    let leaving = |sim: &Simulation| {
        unlisted
            .iter()
            .map(|name| &sim.state.hosts[name])
            .filter(|host| host.leaving && host.upkeep.is_none())
            .count()
    };
    assert_eq!(leaving(&sim), if leave { count } else { 0 });
    run(&mut sim, 30);
    assert_eq!(leaving(&sim), 0);
}

#[test_case(None, 0, 8; "never taken out")]
#[test_case(Some(1_000), 1_000, 1; "at once")]
#[test_case(Some(1_000), 16_000, 4; "halfway")]
#[test_case(Some(1_000), 31_000, 8; "at the end")]
#[test_case(Some(1_000), 500, 8; "a mark of a clock ahead")]
fn a_data_centre_that_returns_fills_gradually(returned: Option<u64>, now: u64, slots: u32) {
    assert_eq!(filled_slots(8, returned, now), slots);
}

#[test]
fn a_later_plan_is_not_ended_by_records_of_an_earlier_one() {
    let mut sim = simulation();
    let host = || name("h0");
    let plan = |sim: &mut Simulation| {
        let goal = UpkeepGoal::Maintain;
        let host = host();
        sim.append(Change::Plan { host, goal }).unwrap();
        sim.state.hosts["h0"].upkeep.clone().unwrap().plan
    };
    let finish = |plan, end| Change::Finish {
        host: host(),
        plan,
        end,
    };
    let first = plan(&mut sim);
    sim.append(finish(first, UpkeepEnd::Abandoned)).unwrap();
    let second = plan(&mut sim);
    let reboot = |plan| Change::Reboot { host: host(), plan };
    assert_eq!(sim.append(reboot(first)), Err(Rejection::OldPlan(host())));
    let maintained = finish(second, UpkeepEnd::Maintained(1));
    assert_eq!(
        sim.append(maintained.clone()),
        Err(Rejection::WrongPhase(host()))
    );
    sim.append(reboot(second)).unwrap();
    for end in [UpkeepEnd::Abandoned, UpkeepEnd::Moved] {
        let late = finish(second, end);
        assert_eq!(sim.append(late), Err(Rejection::WrongPhase(host())));
    }
    let undrain = Change::Undrain {
        host: host(),
        maintained: None,
    };
    assert_eq!(sim.append(undrain), Err(Rejection::Rebooting(host())));
    sim.append(maintained).unwrap();
    assert!(!sim.state.hosts["h0"].draining);
}

#[test]
fn an_older_list_of_the_platform_loses() {
    let mut sim = simulation();
    let listed = |leaving, seen| Change::Listed {
        host: name("h0"),
        leaving,
        seen,
    };
    let usable = |sim: &Simulation| sim.state.is_usable(&sim.state.hosts["h0"]);
    sim.append(listed(true, 10)).unwrap();
    assert!(!usable(&sim));
    let old = Err(Rejection::OldList(name("h0"), 10));
    assert_eq!(sim.append(listed(false, 9)), old);
    sim.append(listed(false, 11)).unwrap();
    assert!(usable(&sim));
}

#[test]
fn a_plan_made_again_before_its_record_is_seen_is_one_move() {
    let size = FleetSize {
        pools: 1,
        ..FleetSize::CURRENT
    };
    // The limit of 18 moves an hour allows two moves of all 8 spare hosts, but not three.
    let policy = Policy {
        hourly_moves: 1,
        at_once: Some(0),
        ..Policy::default()
    };
    let planner = DelayedPlanner::new(policy, 3_000, 0);
    let mut sim = Simulation::new(&size, 1, vec![planner]);
    let lent = [30, 120, 30, 120, 30]
        .into_iter()
        .enumerate()
        .map(|(turn, seconds)| {
            sim.demand
                .insert(name("p0"), if turn % 2 == 0 { 200 } else { 2 });
            run(&mut sim, seconds);
            let hosts = sim.state.hosts.values();
            hosts.filter(|host| host.pool != host.home).count()
        });
    assert_eq!(lent.collect::<Vec<_>>(), [8, 0, 8, 0, 2]);
}
