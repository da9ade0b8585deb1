//! Measures how the time of a scheduler's decisions grows with the number of queued requests, teams
//! and hosts.
//!
//! Prints the times in a table, and the slope of a linear least-squares fit with its standard
//! error. Run it with `cargo run --release --example share_cost`.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mimosastep::net::LinkId;
use mimosastep::record::Member;
use mimosastep::record::Role;
use mimosastep::record::Team;
use mimosastep::sched::Action;
use mimosastep::sched::Event;
use mimosastep::sched::Scheduler;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Evidence;
use mimosastep::wire::Message;
use mimosastep::wire::Peer;
use mimosastep::wire::RequestId;
use mimosastep::wire::SlotRequest;

#[path = "../tests/share_fleet/mod.rs"]
mod share_fleet;

use share_fleet::fleet_state;
use share_fleet::name;

/// Link of the gate that sends all requests.
const LINK: LinkId = LinkId(1);
/// Slots per host.
const SLOTS: u32 = 8;
/// Number of times that each operation is measured.
const ROUNDS: usize = 2_000;

/// A scheduler whose slots are all in use while requests wait in its queue.
struct Bench {
    now: Instant,
    teams: usize,
    scheduler: Scheduler,
    running: Vec<AttemptId>,
    actions: Vec<Action>,
    last_request: u128,
}

impl Bench {
    fn open(waiting: usize, teams: usize, hosts: usize) -> Self {
        let names: Vec<String> = (0..teams).map(|team| format!("t{team}")).collect();
        let row = Team {
            weight: 1,
            limit: 100_000,
            urgent: false,
        };
        let rows: Vec<(&str, Team)> = names.iter().map(|team| (&**team, row.clone())).collect();
        let mut state = fleet_state(1, hosts, SLOTS, &rows);
        for (node, role) in [("s", Role::Sched), ("g", Role::Gate)] {
            let member = Member {
                role,
                incarnation: 1,
                addr: ([127, 0, 0, 1], 1).into(),
                dc: name("a"),
                leaving: false,
            };
            state.members.insert(name(node), member);
            state.incarnations.insert(name(node), 1);
        }
        state.epoch = 2;
        let mut bench = Self {
            now: Instant::now(),
            teams,
            scheduler: Scheduler::new(name("s"), 1),
            running: Vec::new(),
            actions: Vec::new(),
            last_request: 0,
        };
        let gate = Peer {
            node: name("g"),
            incarnation: 1,
        };
        bench.handle(Event::State(Rc::new(state)));
        bench.handle(Event::Fresh(bench.now + Duration::from_secs(3600)));
        bench.handle(Event::Up(LINK, gate));
        bench.handle(Event::Report {
            link: LINK,
            epoch: 2,
            running: Vec::new(),
        });
        for _ in 0..hosts * SLOTS as usize {
            bench.request_slot();
            bench.advance();
        }
        for _ in 0..waiting {
            bench.request_slot();
        }
        bench.collect_grants();
        bench
    }

    fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event, &mut self.actions);
        self.scheduler.grant(self.now, &mut self.actions);
    }

    fn advance(&mut self) {
        self.now += Duration::from_millis(20);
        self.handle(Event::Tick);
    }

    fn request_slot(&mut self) -> AttemptId {
        self.last_request += 1;
        let attempt = AttemptId {
            request: RequestId(self.last_request),
            number: 1,
        };
        let ask = SlotRequest {
            attempt,
            service: name("s0"),
            team: name(&format!("t{}", self.last_request as usize % self.teams)),
            urgent: false,
            remaining: u32::MAX,
            waited: 0,
            avoid: Vec::new(),
        };
        self.handle(Event::SlotRequest(LINK, ask));
        attempt
    }

    fn collect_grants(&mut self) {
        for action in self.actions.drain(..) {
            if let Action::Send(_, Message::Grant(grant)) = action {
                self.running.push(grant.attempt);
            }
        }
    }

    /// Measures the mean time in microseconds of a new request, of the end of a running one with
    /// the grant that follows, of a tick, and of a cancellation.
    fn measure(&mut self) -> [f64; 4] {
        let mut sums = [0.0; 4];
        for _ in 0..ROUNDS {
            let start = Instant::now();
            self.request_slot();
            sums[0] += start.elapsed().as_secs_f64();
            if let Some(attempt) = self.running.pop() {
                let start = Instant::now();
                self.handle(Event::Finished {
                    link: LINK,
                    attempt,
                    evidence: Evidence::Served,
                });
                sums[1] += start.elapsed().as_secs_f64();
            }
            self.collect_grants();
            let start = Instant::now();
            self.advance();
            sums[2] += start.elapsed().as_secs_f64();
            let attempt = self.request_slot();
            let start = Instant::now();
            self.handle(Event::Cancel(LINK, attempt));
            sums[3] += start.elapsed().as_secs_f64();
        }
        sums.map(|sum| sum * 1e6 / ROUNDS as f64)
    }
}

/// Returns the slope of a linear least-squares fit, and its standard error.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
    let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let slope = sxy / sxx;
    let residuals: f64 = points
        .iter()
        .map(|p| (p.1 - my - slope * (p.0 - mx)).powi(2))
        .sum();
    (slope, (residuals / (n - 2.0) / sxx).sqrt())
}

fn sweep(parameter: &str, sizes: &[usize], open: impl Fn(usize) -> Bench) {
    println!("{parameter:>8}   ask us   end us  tick us  cancel us");
    let mut points: [Vec<(f64, f64)>; 4] = Default::default();
    for size in sizes {
        let times = open(*size).measure();
        let [ask, end, tick, cancel] = times;
        println!("{size:>8} {ask:>8.2} {end:>8.2} {tick:>8.2} {cancel:>10.2}");
        for (points, time) in points.iter_mut().zip(times) {
            points.push((*size as f64, time));
        }
    }
    for (label, points) in ["ask", "end", "tick", "cancel"].iter().zip(&points) {
        let (slope, error) = fit_line(points);
        println!(
            "  {label}: {:.4} +- {:.4} us per 1000 {parameter}",
            slope * 1e3,
            error * 1e3
        );
    }
}

fn main() {
    sweep(
        "waiting",
        &[10, 100, 1_000, 10_000, 30_000, 90_000],
        |size| Bench::open(size, 6, 10),
    );
    sweep("teams", &[6, 12, 25, 50, 100, 130], |size| {
        Bench::open(2_000, size, 10)
    });
    sweep("hosts", &[10, 20, 50, 100, 160, 220], |size| {
        Bench::open(2_000, 6, size)
    });
}
