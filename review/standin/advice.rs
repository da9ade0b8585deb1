//! The advice service: tells which executors may run a step.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Response;
use crate::json;
use crate::json::Json;
use crate::json::table;
use crate::record::Record;

/// Time that an answer takes, `decide_ms`.
pub const DECIDE_MS: u64 = 20;
/// Time that it takes longer for each executor, `each_ms`.
pub const EACH_MS: u64 = 2;
/// Time for which a ticket is valid, `valid_ms`.
pub const VALID_MS: u64 = 3_000;
/// Most executors that a call may name.
const MOST: usize = 100;

/// Opens the service, whose policy allows every step on the executors `good` and on no others.
pub fn open(good: Vec<String>, record: &Arc<Record>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let record = record.clone();
    let turn = Mutex::new(());
    http::serve(
        listener,
        Arc::new(move |request| {
            let body = json::parse(&request.body).unwrap_or(Json::Null);
            let step = body.get("step").text().unwrap_or_default();
            let named = body.get("workers").list();
            let named: Vec<&str> = named.iter().filter_map(Json::text).collect();
            if named.len() > MOST {
                return Some(Response::raw(400, Vec::new()));
            }
            let turn = turn.lock();
            thread::sleep(Duration::from_millis(
                DECIDE_MS + EACH_MS * named.len() as u64,
            ));
            drop(turn);
            let found = named
                .iter()
                .filter(|id| good.iter().any(|good| good == **id));
            let found: Vec<&str> = found.copied().collect();
            record.note(
                "advice",
                &format!(
                    "{step}: {} executors named, allowed of them: {found:?}",
                    named.len()
                ),
            );
            let rows = found
                .iter()
                .map(|id| Json::List(vec![(*id).into(), format!("t-{step}-{id}").into()]));
            let body = [
                ("good", Json::List(rows.collect())),
                ("valid_ms", VALID_MS.into()),
            ];
            Some(Response::json(200, &table(body)))
        }),
    );
    Ok(addr)
}
