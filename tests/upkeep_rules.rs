//! The planner's rules one by one.

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

/// A day, in milliseconds.
const DAY_MS: u64 = 24 * 3_600_000;

fn world() -> Simulation {
    let planning = DelayedPlanner::new(Policy::default(), 0, 0);
    Simulation::new(&FleetSize::CURRENT, 1, vec![planning])
}

fn run(world: &mut Simulation, seconds: u64) {
    for _ in 0..seconds {
        world.step(1_000);
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

fn mark(dc: &str, active: bool) -> Change {
    let dc = name(dc);
    Change::MarkDc { dc, active }
}

/// Hosts that are drained for maintenance.
fn maintained(world: &Simulation) -> Vec<&Host> {
    let hosts = world.state.hosts.values();
    let goal = |host: &Host| host.upkeep.clone().map(|upkeep| upkeep.goal);
    hosts
        .filter(|host| goal(host) == Some(UpkeepGoal::Maintain))
        .collect()
}

#[test]
fn a_pool_has_one_rack_under_maintenance_and_keeps_a_reserve() {
    let mut world = world();
    for _ in 0..600 {
        run(&mut world, 1);
        let hosts = maintained(&world);
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
    assert!(world.maintained > 0);
}

#[test]
fn a_data_centre_out_of_service_stops_waves_until_it_is_filled() {
    let mut world = world();
    run(&mut world, 3);
    assert!(!maintained(&world).is_empty());
    world.append(mark("dc2", false)).unwrap();
    run(&mut world, 3);
    assert_eq!(maintained(&world), Vec::<&Host>::new());
    world.append(mark("dc2", true)).unwrap();
    run(&mut world, FILLING_MS / 1_000 - 3);
    assert!(maintained(&world).is_empty());
    run(&mut world, 6);
    assert!(!maintained(&world).is_empty());
    assert_eq!(world.notes[&NoteKind::DcFilling], 1);
}

/// What became of a host that was drained for maintenance.
#[derive(Debug, PartialEq)]
enum Fate {
    Maintained,
    GivenBack,
    Drained,
}

#[test_case(22, false, Fate::Maintained; "an idle host is rebooted")]
#[test_case(22, true, Fate::GivenBack; "a host that stays busy is given back")]
#[test_case(33, true, Fate::Drained; "a host late for maintenance stays drained until it is empty")]
fn a_reboot_waits_for_the_last_task(days: u64, busy: bool, fate: Fate) {
    let mut world = world();
    let before = Some(world.now - days * DAY_MS);
    let hosts: Vec<_> = world.state.hosts.keys().cloned().collect();
    for (host, maintained) in hosts.into_iter().zip(std::iter::repeat(before)) {
        world.append(Change::Drain(host.clone())).unwrap();
        world.append(Change::Undrain { host, maintained }).unwrap();
    }
    run(&mut world, 3);
    let drained = world.state.hosts.iter().find(|(_, host)| host.draining);
    let host = drained.unwrap().0.clone();
    if busy {
        let machine = world.machines.get_mut(&host).unwrap();
        (machine.busy, machine.used) = (u64::MAX, 1);
    }
    run(&mut world, 31 * 60);
    let after = &world.state.hosts[&host];
    let was = match (after.draining, Some(after.maintained) == before) {
        (true, _) => Fate::Drained,
        (false, true) => Fate::GivenBack,
        (false, false) => Fate::Maintained,
    };
    assert_eq!(was, fate);
}

#[test_case(true, true; "while the peak lasts spare hosts help")]
#[test_case(false, false; "after the peak they are back")]
fn spare_hosts_follow_peaks(peak: bool, lent: bool) {
    let mut world = world();
    world.demand.insert(name("p0"), 120);
    run(&mut world, 10);
    if !peak {
        world.demand.insert(name("p0"), 2);
    }
    run(&mut world, 90);
    let hosts = world.state.hosts.values();
    let away = hosts.filter(|host| host.pool != host.home).count();
    assert_eq!(away > 0, lent, "{away} hosts are lent");
    assert!(
        away * 8 >= if peak { 40 } else { 0 },
        "{away} hosts are lent"
    );
}

#[test_case(1, true; "one host")]
#[test_case(40, false; "a list without most hosts is broken")]
fn hosts_that_the_platform_no_longer_lists_leave_within_seconds(count: usize, leave: bool) {
    let mut world = world();
    run(&mut world, 1);
    let gone: Vec<_> = world.state.hosts.keys().take(count).cloned().collect();
    gone.iter().for_each(|host| world.fail(host, 20_000));
    run(&mut world, 3);
    let leaving = |world: &Simulation| {
        gone.iter()
            .map(|name| &world.state.hosts[name])
            .filter(|host| host.leaving && host.upkeep.is_none())
            .count()
    };
    assert_eq!(leaving(&world), if leave { count } else { 0 });
    run(&mut world, 30);
    assert_eq!(leaving(&world), 0);
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
    let mut world = world();
    let host = || name("h0");
    let plan = |world: &mut Simulation| {
        let goal = UpkeepGoal::Maintain;
        let host = host();
        world.append(Change::Plan { host, goal }).unwrap();
        world.state.hosts["h0"].upkeep.clone().unwrap().plan
    };
    let finish = |plan, end| Change::Finish {
        host: host(),
        plan,
        end,
    };
    let first = plan(&mut world);
    world.append(finish(first, UpkeepEnd::Abandoned)).unwrap();
    let second = plan(&mut world);
    let reboot = |plan| Change::Reboot { host: host(), plan };
    assert_eq!(world.append(reboot(first)), Err(Rejection::OldPlan(host())));
    let maintained = finish(second, UpkeepEnd::Maintained(1));
    assert_eq!(
        world.append(maintained.clone()),
        Err(Rejection::WrongPhase(host()))
    );
    world.append(reboot(second)).unwrap();
    for end in [UpkeepEnd::Abandoned, UpkeepEnd::Moved] {
        let late = finish(second, end);
        assert_eq!(world.append(late), Err(Rejection::WrongPhase(host())));
    }
    let undrain = Change::Undrain {
        host: host(),
        maintained: None,
    };
    assert_eq!(world.append(undrain), Err(Rejection::Rebooting(host())));
    world.append(maintained).unwrap();
    assert!(!world.state.hosts["h0"].draining);
}

#[test]
fn an_older_list_of_the_platform_loses() {
    let mut world = world();
    let listed = |leaving, seen| Change::Listed {
        host: name("h0"),
        leaving,
        seen,
    };
    let usable = |world: &Simulation| world.state.is_usable(&world.state.hosts["h0"]);
    world.append(listed(true, 10)).unwrap();
    assert!(!usable(&world));
    let old = Err(Rejection::OldList(name("h0"), 10));
    assert_eq!(world.append(listed(false, 9)), old);
    world.append(listed(false, 11)).unwrap();
    assert!(usable(&world));
}

#[test]
fn a_plan_made_again_before_its_record_is_seen_is_one_move() {
    let shape = FleetSize {
        pools: 1,
        ..FleetSize::CURRENT
    };
    // Two moves of all 8 spare hosts are within an hour's bound of 18, but not three.
    let policy = Policy {
        hourly_moves: 1,
        at_once: Some(0),
        ..Policy::default()
    };
    let planning = DelayedPlanner::new(policy, 3_000, 0);
    let mut world = Simulation::new(&shape, 1, vec![planning]);
    let lent = [30, 120, 30, 120, 30]
        .into_iter()
        .enumerate()
        .map(|(turn, seconds)| {
            world
                .demand
                .insert(name("p0"), if turn % 2 == 0 { 200 } else { 2 });
            run(&mut world, seconds);
            let hosts = world.state.hosts.values();
            hosts.filter(|host| host.pool != host.home).count()
        });
    assert_eq!(lent.collect::<Vec<_>>(), [8, 0, 8, 0, 2]);
}
