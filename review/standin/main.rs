//! Cases of the review: stand-ins of the platform around the project's own program.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With `TROUBLE=0`
//! in the environment the disruption is left out.

mod advice;
mod cloud;
mod executor;
mod http;
mod json;
mod node;
mod record;
mod site;
mod store;

mod few_allowed;
mod gap;
mod idle_clock;
mod lost_answers;
mod many_ends;

use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::site::Unable;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(116);

/// What a case has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: CASE RECORD");
        exit(2);
    };
    let record = match Record::create(&path) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("{path}: {err}");
            exit(2);
        }
    };
    // The nodes are killed by the case's own thread when it returns or panics, before this one ends.
    let case = match name.as_str() {
        "idle-clock" => idle_clock::run,
        "many-ends" => many_ends::run,
        "gap" => gap::run,
        "few-allowed" => few_allowed::run,
        "lost-answers" => lost_answers::run,
        _ => {
            eprintln!("no such case: {name}");
            exit(2);
        }
    };
    let (done, result) = std::sync::mpsc::channel::<Result<Outcome, Unable>>();
    let noting = record.clone();
    thread::spawn(move || {
        let _ = done.send(case(noting));
    });
    let result = result.recv_timeout(LIMIT);
    let (code, text) = match result {
        Ok(Ok(Outcome::Held)) => (0, "the rule held".to_owned()),
        Ok(Ok(Outcome::Broken)) => (1, "the rule was broken".to_owned()),
        Ok(Err(why)) => (2, format!("the case couldn't run: {why}")),
        Err(err) => (2, format!("the case couldn't run: {err}")),
    };
    record.note("result", &text);
    println!("{text}");
    exit(code);
}
