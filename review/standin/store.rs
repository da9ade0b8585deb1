//! The platform's store: a log of topics, and a group whose members share out partitions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Handler;
use crate::http::Request;
use crate::http::Response;
use crate::json;
use crate::json::Json;
use crate::json::table;

/// Partitions of a topic.
pub const PARTS: u64 = 12;
/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(2);
/// Time between two looks for a new record.
const LOOK_TIME: Duration = Duration::from_millis(2);
/// Number of a producer's last appends whose repetition gets the first response again.
const REPEATS: usize = 5;
/// Time of silence after which a server's entry is removed.
const ENTRY_TIME: Duration = Duration::from_millis(4_500);

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    recent: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    producers: BTreeMap<String, Producer>,
}

struct Member {
    ttl: Duration,
    heard: Instant,
}

#[derive(Default)]
struct Group {
    generation: u64,
    topic: String,
    members: BTreeMap<String, Member>,
    /// Member that holds each partition.
    holders: BTreeMap<u64, String>,
    /// Member that is to hold each partition.
    targets: BTreeMap<u64, String>,
}

struct State {
    /// Topic and partition whose calls get 503.
    busy_part: Option<(String, u64)>,
    parts: BTreeMap<(String, u64), Part>,
    group: Group,
    heard: BTreeMap<String, Instant>,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    pub fn new() -> Self {
        let store = Self(Arc::new(Mutex::new(State {
            busy_part: None,
            parts: BTreeMap::new(),
            group: Group::default(),
            heard: BTreeMap::new(),
        })));
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.tick();
            }
        });
        store
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sets the partition whose calls get 503, if any; the others are served.
    pub fn set_busy_part(&self, part: Option<(&str, u64)>) {
        self.lock().busy_part = part.map(|(topic, part)| (topic.to_owned(), part));
    }

    fn tick(&self) {
        let mut state = self.lock();
        state.expire();
    }

    /// Writes the value of a key, as operators do.
    pub fn put(&self, topic: &str, key: &str, value: &Json) {
        self.lock().put(topic, key, value.to_string().as_bytes());
    }

    /// Writes an executor's entry.
    pub fn register(&self, id: &str, entry: &Json) {
        let mut state = self.lock();
        state.heard.insert(id.to_owned(), Instant::now());
        state.put("keyed.servers", id, entry.to_string().as_bytes());
    }

    /// Removes the entry of an executor that has left.
    pub fn unregister(&self, id: &str) {
        let mut state = self.lock();
        state.heard.remove(id);
        state.put("keyed.servers", id, b"");
    }

    /// The newest value of a key of a topic.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let part = state.parts.get(&(topic.to_owned(), 0))?;
        let records = part.records.iter().rev();
        let mut found = records.filter_map(|record| {
            let (name, value) = record[1..].split_at(usize::from(record[0]));
            (name == key.as_bytes()).then(|| String::from_utf8_lossy(value).into_owned())
        });
        found.next()
    }

    /// Name of the member that holds the last partition.
    pub fn last_holder(&self) -> Option<String> {
        self.lock().group.holders.get(&(PARTS - 1)).cloned()
    }

    /// The handler of its calls.
    pub fn handler(&self) -> Handler {
        let store = self.clone();
        Arc::new(move |request| Some(store.answer(&request)))
    }

    fn answer(&self, request: &Request) -> Response {
        let is_part = request.path == "/api/log-append" || request.path == "/api/log-read";
        if is_part && self.lock().busy_part == Some(part_of(request)) {
            return Response::raw(503, Vec::new());
        }
        match request.path.as_str() {
            "/api/log-append" => {
                thread::sleep(APPEND_TIME);
                self.lock().append(request)
            }
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.lock().newest(request),
            "/api/log-join" => self.lock().join(&request.body),
            "/api/log-leave" => self.lock().leave(&request.body),
            "/api/log-owners" => self.lock().owners(),
            _ => Response::raw(404, Vec::new()),
        }
    }

    fn read(&self, request: &Request) -> Response {
        let from = request.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let size = request.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        loop {
            let state = self.lock();
            let none = Vec::new();
            let part = state.parts.get(&part_of(request));
            let records = part.map_or(&none, |part| &part.records);
            if from < records.len() || Instant::now() >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() + record.len() > size {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Response::raw(200, body);
            }
            drop(state);
            thread::sleep(LOOK_TIME);
        }
    }
}

fn part_of(request: &Request) -> (String, u64) {
    let topic = request.query("topic").unwrap_or_default().to_owned();
    (topic, request.number("part").unwrap_or(0))
}

impl State {
    fn put(&mut self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let part = self.parts.entry((topic.to_owned(), 0)).or_default();
        part.records.push(record);
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let gone = self
            .heard
            .iter()
            .filter(|(_, heard)| now > **heard + ENTRY_TIME);
        let gone: Vec<String> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.heard.remove(&id);
            self.put("keyed.servers", &id, b"");
        }
        let group = &mut self.group;
        let before = group.members.len();
        group
            .members
            .retain(|_, member| now <= member.heard + member.ttl);
        if group.members.len() < before {
            group.deal();
        }
    }

    fn append(&mut self, request: &Request) -> Response {
        let part = self.parts.entry(part_of(request)).or_default();
        let end = part.records.len() as u64;
        if request.number("at").is_some_and(|at| at != end) {
            return Response::json(412, &table([("end", end.into())]));
        }
        let sequence = request.number("sequence");
        let mut producer = None;
        if let (Some(name), Some(epoch)) = (request.query("producer"), request.number("epoch")) {
            let known = part.producers.entry(name.to_owned()).or_default();
            if epoch < known.epoch {
                return Response::json(409, &table([("reason", "fenced".into())]));
            }
            if epoch > known.epoch {
                *known = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let Some(sequence) = sequence {
                let repeat = known.recent.iter().find(|(number, ..)| *number == sequence);
                if let Some((_, offset, end)) = repeat {
                    let body = table([("offset", (*offset).into()), ("end", (*end).into())]);
                    return Response::json(200, &body);
                }
                if let Some(next) = known.next.filter(|next| *next != sequence) {
                    let body = table([("reason", "seq".into()), ("sequence", next.into())]);
                    return Response::json(409, &body);
                }
                producer = Some(known);
            }
        }
        let mut rest = request.body.as_slice();
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, tail)) = tail.split_at_checked(length) else {
                return Response::raw(400, Vec::new());
            };
            part.records.push(record.to_vec());
            rest = tail;
        }
        let after = part.records.len() as u64;
        if let (Some(known), Some(sequence)) = (producer, sequence) {
            known.next = Some(sequence + 1);
            known.recent.push_back((sequence, end, after));
            if known.recent.len() > REPEATS {
                known.recent.pop_front();
            }
        }
        Response::json(200, &table([("offset", end.into()), ("end", after.into())]))
    }

    fn newest(&self, request: &Request) -> Response {
        let part = self.parts.get(&part_of(request));
        let records = part.map_or(&[][..], |part| part.records.as_slice());
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(key, (offset, value));
        }
        let after = request.query("depends_on").unwrap_or_default().as_bytes();
        let items = newest.into_iter();
        let items = items.filter(|(key, (_, value))| *key > after && !value.is_empty());
        let mut items: Vec<Json> = items
            .map(|(key, (offset, value))| {
                table([
                    ("key", String::from_utf8_lossy(key).into_owned().into()),
                    ("value", base64(value).into()),
                    ("offset", (offset as u64).into()),
                ])
            })
            .collect();
        let more = items.len() > 500;
        items.truncate(500);
        let end = records.len() as u64;
        let body = [
            ("items", Json::List(items)),
            ("more", more.into()),
            ("end", end.into()),
        ];
        Response::json(200, &table(body))
    }

    fn join(&mut self, body: &[u8]) -> Response {
        let Some(body) = json::parse(body) else {
            return Response::raw(400, Vec::new());
        };
        let name = body.get("member").text().unwrap_or_default().to_owned();
        let ttl = Duration::from_millis(body.get("ttl_ms").whole().unwrap_or(1_000));
        let known = body.get("generation").whole().unwrap_or(0);
        self.expire();
        let group = &mut self.group;
        group.topic = body.get("topics").list()[0]
            .text()
            .unwrap_or_default()
            .to_owned();
        let heard = Instant::now();
        let is_new = group
            .members
            .insert(name.clone(), Member { ttl, heard })
            .is_none();
        if is_new {
            group.deal();
        } else if known >= group.generation {
            group.hand_over(&name);
        }
        let listed = group
            .holders
            .iter()
            .filter(|(part, holder)| **holder == name && group.targets.get(part) == Some(&name));
        let listed = listed.map(|(part, _)| {
            Json::List(vec![
                group.topic.as_str().into(),
                (*part).into(),
                0_u64.into(),
            ])
        });
        let listed = Json::List(listed.collect());
        let body = [("generation", group.generation.into()), ("parts", listed)];
        Response::json(200, &table(body))
    }

    fn leave(&mut self, body: &[u8]) -> Response {
        let body = json::parse(body).unwrap_or(Json::Null);
        let name = body.get("member").text().unwrap_or_default();
        if self.group.members.remove(name).is_some() {
            self.group.deal();
        }
        Response::json(200, &table([]))
    }

    fn owners(&self) -> Response {
        let rows = self.group.holders.iter().map(|(part, holder)| {
            let topic = self.group.topic.as_str().into();
            Json::List(vec![
                topic,
                (*part).into(),
                holder.as_str().into(),
                0_u64.into(),
            ])
        });
        Response::json(200, &table([("parts", Json::List(rows.collect()))]))
    }
}

impl Group {
    /// Deals the partitions evenly after a change of the members, with as few moves as possible. A
    /// member that has too many gives up its lowest ones.
    fn deal(&mut self) {
        self.generation += 1;
        let members: Vec<String> = self.members.keys().cloned().collect();
        self.holders.retain(|_, holder| members.contains(holder));
        self.targets.clear();
        if members.is_empty() {
            return;
        }
        let most = PARTS.div_ceil(members.len() as u64) as usize;
        let mut counts: BTreeMap<&String, usize> = members.iter().map(|name| (name, 0)).collect();
        for part in (0..PARTS).rev() {
            let Some(holder) = self.holders.get(&part) else {
                continue;
            };
            let count = counts.entry(
                members
                    .iter()
                    .find(|name| *name == holder)
                    .unwrap_or(holder),
            );
            let count = count.or_default();
            if *count < most {
                *count += 1;
                self.targets.insert(part, holder.clone());
            }
        }
        for part in 0..PARTS {
            if self.targets.contains_key(&part) {
                continue;
            }
            let least = members.iter().min_by_key(|name| counts[*name]);
            if let Some(name) = least {
                *counts.entry(name).or_default() += 1;
                self.targets.insert(part, name.clone());
            }
        }
        for (part, target) in &self.targets {
            self.holders.entry(*part).or_insert_with(|| target.clone());
        }
    }

    /// Hands over the partitions that a member has seen that it loses.
    fn hand_over(&mut self, member: &str) {
        for (part, holder) in &mut self.holders {
            if holder == member {
                holder.clone_from(&self.targets[part]);
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for at in 0..4 {
            if at <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * at)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
