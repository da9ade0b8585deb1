//! The cases. Each returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

use crate::exec::{Step, World};
use crate::run::{
    Folder, KEY, Node, OTHER_KEY, OTHER_PREFIX, PREFIX, config, platform, send_at, two_queues, wait,
};

pub fn play(case: &str, dir: &str, trouble: bool) -> i32 {
    let _ = std::fs::remove_file(format!("{dir}/record.txt"));
    let Some((world, store)) = platform() else {
        return 2;
    };
    world.note(format!("case {case}, trouble {trouble}"));
    let folder = Folder::new();
    let result = match case {
        "gang" => gang(&world, &store, &folder, trouble),
        "kind" => kind(&world, &store, &folder, trouble),
        "ids" => ids(&world, &store, &folder, trouble),
        "memory" => memory(&world, &store, &folder, trouble),
        "waiting" => waiting(&world, &store, &folder, trouble),
        _ => None,
    };
    let code = result.unwrap_or(2);
    world.note(format!("exit {code}"));
    let _ = std::fs::write(format!("{dir}/record.txt"), world.text());
    code
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sleep(time: u64) {
    std::thread::sleep(ms(time));
}

/// A gang with saved progress loses one executor right after a checkpoint.
fn gang(
    world: &std::sync::Arc<World>,
    store: &crate::http::Server,
    folder: &Folder,
    trouble: bool,
) -> Option<i32> {
    for number in 1..=8 {
        world.begin(&format!("i-{number}"), "a", 4_000, 0, ms(0));
    }
    let node = Node::open(world, folder, "front-caerdydd-a-1", store)?;
    sleep(1_500);
    let id = "5c0e7a21d94b36f8";
    let step_id = format!("{id}.0.0");
    let step = Step {
        count: 2,
        cpu: 3_000,
        work_ms: 9_000,
        gang: true,
        checkpoint: true,
        ..Step::default()
    };
    world
        .sim
        .lock()
        .unwrap()
        .steps
        .insert(step_id.clone(), step);
    let body = "{\"spec\":\"pair\",\"steps\":[{\"count\":2,\"cpu\":3000,\"mem_mb\":256,\"estimate_ms\":9000,\"gang\":true,\"checkpoint\":true}]}";
    if node.send(world, "POST", id, body)?.0 != 200 {
        return None;
    }
    let task = |index: u32| format!("{step_id}.{index}");
    if !wait(ms(5_000), || world.sim.lock().unwrap().starts.len() == 2) {
        return None;
    }
    // Short tasks beside them, as on any day: their ends set the times of the reports that follow.
    let beside = "5c0e7a21d94b36f9";
    let step = Step {
        count: 2,
        cpu: 1_000,
        work_ms: 2_500,
        ..Step::default()
    };
    let name = format!("{beside}.0.0");
    world.sim.lock().unwrap().steps.insert(name, step);
    let text = "{\"spec\":\"beside\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":2500}]}";
    if node.send(world, "POST", beside, text)?.0 != 200 {
        return None;
    }
    let mut crashed = None;
    if trouble {
        let began = world
            .sim
            .lock()
            .unwrap()
            .starts
            .iter()
            .filter(|start| start.task.starts_with(&step_id))
            .map(|start| start.at)
            .max()?;
        // Milliseconds after a checkpoint.
        let offset = std::env::var("OFFSET")
            .ok()
            .and_then(|offset| offset.parse().ok());
        let until = began + ms(4_000 + offset.unwrap_or(250));
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        let sim = world.sim.lock().unwrap();
        let victim = sim
            .starts
            .iter()
            .find(|start| start.task == task(1))?
            .executor
            .clone();
        drop(sim);
        world.crash(&victim);
        crashed = Some(Instant::now());
    }
    let state = |node: &Node| {
        node.send(world, "GET", id, "")
            .map(|(_, body)| body.get("state").str().to_owned())
    };
    let mut last = String::new();
    for _ in 0..30 {
        sleep(2_000);
        last = state(&node).unwrap_or_default();
        if last == "completed" || last == "failed" {
            break;
        }
    }
    let sim = world.sim.lock().unwrap();
    for start in &sim.starts {
        let kind = &start.kind;
        world.note(format!(
            "start {} run {} on {} ({kind}) saved '{}'",
            start.task, start.run, start.executor, start.saved
        ));
    }
    let mut broken = 0;
    for end in &sim.ends {
        world.note(format!(
            "end {} run {} on {}: {}",
            end.task, end.run, end.executor, end.how
        ));
        // Nothing has been disrupted for contact_ms before the run began, or at all since.
        let calm = crashed.is_none_or(|at| end.began >= at + ms(3_000));
        if end.how == "alone" && calm {
            broken += 1;
        }
    }
    world.note(format!(
        "state at the end: {last}; runs that ended alone in calm: {broken}"
    ));
    if broken == 0 && last != "completed" {
        // Nothing is shown either way.
        return None;
    }
    Some(i32::from(broken > 0))
}

/// An idle executor starts again under its id, as another kind.
fn kind(
    world: &std::sync::Arc<World>,
    store: &crate::http::Server,
    folder: &Folder,
    trouble: bool,
) -> Option<i32> {
    let port = world.begin("i-1", "a", 4_000, 0, ms(0));
    for number in 2..=8 {
        world.begin(&format!("i-{number}"), "b", 4_000, 0, ms(0));
    }
    let node = Node::open(world, folder, "front-caerdydd-a-1", store)?;
    sleep(2_500);
    // All have run something before.
    let step = Step {
        count: 8,
        cpu: 3_000,
        work_ms: 300,
        ..Step::default()
    };
    let first = "5c0e7a21d94b36f7";
    world
        .sim
        .lock()
        .unwrap()
        .steps
        .insert(format!("{first}.0.0"), step);
    let body = "{\"spec\":\"first\",\"steps\":[{\"count\":8,\"cpu\":3000,\"mem_mb\":256,\"estimate_ms\":300}]}";
    if node.send(world, "POST", first, body)?.0 != 200 {
        return None;
    }
    sleep(14_000);
    let id = "5c0e7a21d94b36f8";
    let step = Step {
        count: 1,
        cpu: 1_000,
        work_ms: 500,
        ..Step::default()
    };
    world
        .sim
        .lock()
        .unwrap()
        .steps
        .insert(format!("{id}.0.0"), step);
    if trouble {
        world.crash("i-1");
        sleep(400);
        world.begin("i-1", "b", 4_000, port, ms(1_200));
        sleep(100);
    }
    let body = "{\"spec\":\"second\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":500,\"requires\":\"a\"}]}";
    if node.send(world, "POST", id, body)?.0 != 200 {
        return None;
    }
    sleep(4_000);
    // Another executor of the kind comes.
    world.begin("i-9", "a", 4_000, 0, ms(0));
    let done = wait(ms(10_000), || {
        let answer = node.send(world, "GET", id, "");
        std::thread::sleep(ms(500));
        answer.is_some_and(|(_, body)| body.get("state").str() == "completed")
    });
    let sim = world.sim.lock().unwrap();
    let wrong = sim
        .starts
        .iter()
        .filter(|start| start.task.starts_with(id) && start.kind != "a")
        .count();
    world.note(format!(
        "completed: {done}; starts on executors without the label: {wrong}"
    ));
    if wrong == 0 && !done {
        return None;
    }
    Some(i32::from(wrong > 0))
}

/// A version of the config takes a route away and adds one for the same path.
fn waiting(
    world: &std::sync::Arc<World>,
    store: &crate::http::Server,
    folder: &Folder,
    trouble: bool,
) -> Option<i32> {
    world.begin("i-1", "a", 4_000, 0, ms(0));
    let node = Node::open(world, folder, "front-caerdydd-a-1", store)?;
    sleep(1_500);
    for number in 0..11 {
        let id = format!("5c0e7a21d94b36{number:02x}");
        let step = Step {
            count: 1,
            cpu: 3_000,
            work_ms: 60_000,
            ..Step::default()
        };
        world
            .sim
            .lock()
            .unwrap()
            .steps
            .insert(format!("{id}.0.0"), step);
        let body = "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":3000,\"mem_mb\":256,\"estimate_ms\":60000}]}";
        if node.send(world, "POST", &id, body)?.0 != 200 {
            return None;
        }
    }
    sleep(5_500);
    let before = node.send(world, "GET", "", "")?.1.get("waiting").num()?;
    if before < 10 {
        return None;
    }
    let next = if trouble {
        config(5, "r-new1234", 3_000)
    } else {
        config(5, "r-tyiikdr", 2_900)
    };
    world.store.put("keyed.op", "config", &next);
    world.note("config, version 5, is acknowledged");
    sleep(6_000);
    // Each of them is still known, and hasn't begun.
    let begun = world.sim.lock().unwrap().starts.len() as u64;
    for number in 0..11 {
        let _ = node.send(world, "GET", &format!("5c0e7a21d94b36{number:02x}"), "");
    }
    let (status, body) = node.send(world, "GET", "", "")?;
    let shown = body.get("waiting").num();
    world.note(format!(
        "{} have not begun; shown as waiting: {status} {shown:?}",
        11 - begun
    ));
    if status != 200 {
        return None;
    }
    Some(i32::from(shown.unwrap_or(0) * 2 < 11 - begun))
}

/// Two clients, each of a queue and a tenant of its own, choose the same ID.
fn ids(
    world: &std::sync::Arc<World>,
    store: &crate::http::Server,
    folder: &Folder,
    trouble: bool,
) -> Option<i32> {
    for number in 1..=4 {
        let service = if number < 3 { "captions" } else { "plaques" };
        world.begin_in(service, &format!("i-{number}"), "a", 4_000, 0, ms(0));
    }
    world.store.put("keyed.op", "config", &two_queues(4));
    let node = Node::open(world, folder, "front-caerdydd-a-1", store)?;
    sleep(2_500);
    let first = "0000000000000001";
    let second = if trouble { first } else { "0000000000000002" };
    for id in [first, second] {
        let step = Step {
            count: 2,
            cpu: 1_000,
            work_ms: 800,
            ..Step::default()
        };
        world
            .sim
            .lock()
            .unwrap()
            .steps
            .insert(format!("{id}.0.0"), step);
    }
    let body = |spec: &str| {
        format!(
            "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":800}}]}}"
        )
    };
    let answer = node.send_to(
        world,
        "POST",
        &format!("{PREFIX}{first}"),
        KEY,
        &body("captions"),
    )?;
    if answer.0 != 200 {
        return None;
    }
    sleep(4_000);
    let other = format!("{OTHER_PREFIX}{second}");
    let (status, _) = node.send_to(world, "POST", &other, OTHER_KEY, &body("plaques"))?;
    if !trouble && status != 200 {
        return None;
    }
    let mut shown = String::new();
    // finish_s
    for _ in 0..7 {
        sleep(2_000);
        let (_, body) = node.send_to(world, "GET", &other, OTHER_KEY, "")?;
        shown = body.get("state").str().to_owned();
    }
    let sim = world.sim.lock().unwrap();
    let begun = sim
        .starts
        .iter()
        .filter(|start| start.service == "plaques")
        .count();
    world.note(format!(
        "second submission: answer {status}, tasks begun {begun} of 2, shown as '{shown}'"
    ));
    let lost = (200..300).contains(&status) && begun < 2;
    drop(sim);
    // Another pair: the second client cancels its own.
    let first = "0000000000000003";
    let second = if trouble { first } else { "0000000000000004" };
    for id in [first, second] {
        let step = Step {
            count: 1,
            cpu: 1_000,
            work_ms: 60_000,
            ..Step::default()
        };
        let name = format!("{id}.0.0");
        world.sim.lock().unwrap().steps.insert(name, step);
    }
    let path = format!("{PREFIX}{first}");
    let other = format!("{OTHER_PREFIX}{second}");
    let text = body("long").replace("\"count\":2", "\"count\":1");
    if node.send_to(world, "POST", &path, KEY, &text)?.0 != 200 {
        return None;
    }
    sleep(1_000);
    let (status, _) = node.send_to(world, "POST", &other, OTHER_KEY, &text)?;
    sleep(1_000);
    // A client cancels what was accepted.
    if status == 200 {
        node.send_to(world, "DELETE", &other, OTHER_KEY, "")?;
    } else if !trouble {
        return None;
    }
    sleep(1_000);
    let (_, body) = node.send_to(world, "GET", &path, KEY, "")?;
    let state = body.get("state").str().to_owned();
    world.note(format!(
        "the first client, which has cancelled nothing, is shown '{state}'"
    ));
    Some(i32::from(lost || state == "cancelled"))
}

/// Large submissions come at the usual rate; the platform ends a process that exceeds its memory.
fn memory(
    world: &std::sync::Arc<World>,
    store: &crate::http::Server,
    folder: &Folder,
    trouble: bool,
) -> Option<i32> {
    const MEMORY_MB: u64 = 260;
    const SUBMISSIONS: u64 = 700;
    const PER_S: u64 = 24;
    let width = if trouble { 4_000 } else { 24 };
    for number in 1..=8 {
        world.begin(&format!("i-{number}"), "a", 16_000, 0, ms(0));
    }
    let mut nodes = Vec::new();
    for name in ["front-a-1", "front-b-1", "front-c-1"] {
        nodes.push(Node::open(world, folder, name, store)?);
    }
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let stop = std::sync::Arc::new(AtomicBool::new(false));
    let (watched, over) = (world.clone(), stop.clone());
    // The platform: it watches the memory, and starts again what has ended.
    let platform = std::thread::spawn(move || {
        let mut ends = vec![0_u32; nodes.len()];
        let mut most = 0;
        let mut due: Vec<Option<Instant>> = vec![None; nodes.len()];
        while !over.load(SeqCst) {
            sleep(20);
            for (at, node) in nodes.iter_mut().enumerate() {
                if due[at].is_some_and(|due| due <= Instant::now()) {
                    due[at] = None;
                    node.again();
                    watched.note(format!("{} is started again", node.name));
                }
                let memory = node.memory();
                most = most.max(memory);
                if memory > MEMORY_MB && due[at].is_none() {
                    node.kill();
                    ends[at] += 1;
                    due[at] = Some(Instant::now() + ms(1_000));
                    watched.note(format!(
                        "{} has {memory} MB, over {MEMORY_MB}: it is killed",
                        node.name
                    ));
                }
            }
        }
        (ends, most)
    });
    sleep(1_500);
    let began = Instant::now();
    let mut accepted = Vec::new();
    for number in 0..SUBMISSIONS {
        if began.elapsed() > ms(60_000) {
            break;
        }
        let due = began + ms(number * 1_000 / PER_S);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let id = format!("5c0e7a21{number:08x}");
        let step = Step {
            count: width,
            cpu: 1_000,
            work_ms: 1_000,
            ..Step::default()
        };
        let name = format!("{id}.0.0");
        world.sim.lock().unwrap().steps.insert(name, step);
        let body = format!(
            "{{\"spec\":\"x\",\"steps\":[{{\"count\":{width},\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":1000}}]}}"
        );
        let path = format!("{PREFIX}{id}");
        // Clients try again, at another node.
        for attempt in 0..3 {
            let front = fronts[(number as usize + attempt) % 3];
            let answer = send_at(front, world, "POST", &path, KEY, &body);
            if answer.is_some_and(|(status, _)| status == 200) {
                accepted.push(path.clone());
                break;
            }
        }
    }
    sleep(14_000);
    let mut answered = 0;
    let mut asked = 0;
    let until = Instant::now() + ms(15_000);
    while asked < 30 && !accepted.is_empty() && Instant::now() < until {
        let number = asked;
        asked += 1;
        let path = &accepted[number * accepted.len() / 30];
        let answer = send_at(fronts[number % 3], world, "GET", path, KEY, "");
        answered += usize::from(answer.is_some_and(|(status, _)| status == 200));
    }
    stop.store(true, SeqCst);
    let (ends, most) = platform.join().ok()?;
    let machines = ends.iter().filter(|ends| **ends >= 3).count();
    world.note(format!(
        "{} of {SUBMISSIONS} accepted; processes ended for their memory: {ends:?}, most seen {most} MB; \
         {answered} of {asked} accepted submissions answered {} s after the last",
        accepted.len(),
        14
    ));
    let usual = accepted.len() as u64 == SUBMISSIONS && answered == asked;
    if accepted.is_empty() || (!trouble && !usual) {
        return None;
    }
    Some(i32::from(machines >= 2))
}
