//! Stand-ins of the users' platform for the cases of the third review, and the cases themselves: the
//! store, executors, a client, and `mimosa-node` as separate processes on loopback addresses.
//! Standard library only.

mod exec;
mod http;
mod json;
mod run;
mod store;

mod cases;

/// Time after which a case is given up, in seconds; a script may take 120.
const LIMIT_S: u64 = 110;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(dir)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-standin-3 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(LIMIT_S));
        eprintln!("given up after {LIMIT_S} s");
        run::end_all();
        std::process::exit(2);
    });
    // A stand-in that fails says nothing of the rule.
    let code = std::panic::catch_unwind(|| cases::play(case, dir, trouble));
    run::end_all();
    std::process::exit(code.unwrap_or(2));
}
