//! Stand-in of the platform's store: a log of topics with partitions, producers and one group.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Handler, Request, Response};
use crate::json::{base64, parse, quote};

const PARTS: u64 = 12;

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    last: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
}

struct Member {
    name: String,
    parts: BTreeSet<u64>,
    until: Instant,
}

#[derive(Default)]
struct State {
    parts: HashMap<(String, u64), Part>,
    members: Vec<Member>,
    generation: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Writes the value of a key, as the operator and executors do; an empty one drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        state
            .parts
            .entry((topic.to_owned(), 0))
            .or_default()
            .records
            .push(record);
        self.changed.notify_all();
    }

    pub fn handler(self: &Arc<Self>) -> Handler {
        let store = self.clone();
        Arc::new(move |request| Some(store.answer(request)))
    }

    fn answer(&self, request: &Request) -> Response {
        match request.path.as_str() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest(request),
            "/api/log-join" => self.join(request),
            "/api/log-leave" => {
                let body = parse(&request.body);
                let mut state = self.state.lock().unwrap();
                let now = Instant::now();
                for member in &mut state.members {
                    if member.name == body.get("member").str() {
                        member.until = now;
                    }
                }
                state.expire();
                Response::json(200, "{}")
            }
            "/api/log-owners" => {
                let mut state = self.state.lock().unwrap();
                state.expire();
                let mut rows = Vec::new();
                for member in &state.members {
                    for part in &member.parts {
                        rows.push(format!("[\"jobs\",{part},{},0]", quote(&member.name)));
                    }
                }
                Response::json(200, format!("{{\"parts\":[{}]}}", rows.join(",")))
            }
            _ => Response::json(404, "{}"),
        }
    }

    fn append(&self, request: &Request) -> Response {
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while let Some((len, tail)) = rest.split_first_chunk::<4>() {
            let len = u32::from_be_bytes(*len) as usize;
            let Some((record, tail)) = tail.split_at_checked(len) else {
                return Response::json(400, "{}");
            };
            records.push(record.to_vec());
            rest = tail;
        }
        std::thread::sleep(Duration::from_millis(2));
        let mut state = self.state.lock().unwrap();
        let key = (request.text("topic"), request.number("part").unwrap_or(0));
        let part = state.parts.entry(key).or_default();
        let end = part.records.len() as u64;
        if request.number("at").is_some_and(|at| at != end) {
            return Response::json(412, format!("{{\"end\":{end}}}"));
        }
        let producer = request.query.get("producer").cloned();
        let (epoch, sequence) = (
            request.number("epoch").unwrap_or(0),
            request.number("sequence").unwrap_or(0),
        );
        let answer = format!(
            "{{\"offset\":{end},\"end\":{}}}",
            end + records.len() as u64
        );
        if let Some(name) = producer {
            let producer = part.producers.entry(name).or_default();
            if epoch < producer.epoch {
                return Response::json(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let Some((_, first)) = producer.last.iter().find(|(number, _)| *number == sequence) {
                return Response::json(200, first.clone());
            }
            if let Some(next) = producer.next.filter(|next| *next != sequence) {
                return Response::json(409, format!("{{\"reason\":\"seq\",\"sequence\":{next}}}"));
            }
            producer.next = Some(sequence + 1);
            producer.last.push_back((sequence, answer.clone()));
            if producer.last.len() > 5 {
                producer.last.pop_front();
            }
        }
        part.records.extend(records);
        self.changed.notify_all();
        Response::json(200, answer)
    }

    fn read(&self, request: &Request) -> Response {
        let key = (request.text("topic"), request.number("part").unwrap_or(0));
        let from = request.number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let most = request.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let mut state = self.state.lock().unwrap();
        loop {
            let part = state.parts.entry(key.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if part.records.len() > from || left.is_zero() {
                let mut body = (part.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in part.records.iter().skip(from) {
                    if body.len() + record.len() > most {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Response { status: 200, body };
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Response {
        let mut state = self.state.lock().unwrap();
        let part = state.parts.entry((request.text("topic"), 0)).or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in part.records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value));
        }
        let after = request.query.get("depends_on");
        let items = newest
            .into_iter()
            .filter(|(key, (_, value))| !value.is_empty() && after.is_none_or(|after| key > after));
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}",
                    quote(&key),
                    base64(value)
                )
            })
            .collect();
        let end = part.records.len();
        Response::json(
            200,
            format!(
                "{{\"items\":[{}],\"more\":false,\"end\":{end}}}",
                items.join(",")
            ),
        )
    }

    fn join(&self, request: &Request) -> Response {
        let body = parse(&request.body);
        let ttl = Duration::from_millis(body.get("ttl_ms").num().unwrap_or(1_000));
        let name = body.get("member").str();
        let mut state = self.state.lock().unwrap();
        state.expire();
        let until = Instant::now() + ttl;
        if !state.members.iter().any(|member| member.name == name) {
            state.members.push(Member {
                name: name.to_owned(),
                parts: BTreeSet::new(),
                until,
            });
            state.deal();
        }
        let generation = state.generation;
        let member = state.members.iter_mut().find(|member| member.name == name);
        let Some(member) = member else {
            return Response::json(503, "{}");
        };
        member.until = until;
        let rows: Vec<String> = member
            .parts
            .iter()
            .map(|part| format!("[\"jobs\",{part},0]"))
            .collect();
        let rows = rows.join(",");
        Response::json(
            200,
            format!(
                "{{\"generation\":{generation},\"ttl_ms\":{},\"parts\":[{rows}]}}",
                ttl.as_millis()
            ),
        )
    }
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|member| member.until > now);
        if self.members.len() < before {
            self.deal();
        }
    }

    /// Deals the partitions evenly; a member that has too many gives its lowest ones.
    fn deal(&mut self) {
        self.generation += 1;
        if self.members.is_empty() {
            return;
        }
        let most = PARTS.div_ceil(self.members.len() as u64) as usize;
        for member in &mut self.members {
            while member.parts.len() > most {
                member.parts.pop_first();
            }
        }
        for part in 0..PARTS {
            if self
                .members
                .iter()
                .any(|member| member.parts.contains(&part))
            {
                continue;
            }
            if let Some(member) = self
                .members
                .iter_mut()
                .min_by_key(|member| member.parts.len())
            {
                member.parts.insert(part);
            }
        }
    }
}
