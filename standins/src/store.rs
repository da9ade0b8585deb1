//! Stand-in for the log service of the users' platform: partitioned topics, a consumer group, and
//! fault injection.

mod group;
mod member;
mod producer;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use serde_json::Value;
use serde_json::json;

use crate::connections::Connections;
use crate::query::query_number;
use crate::query::query_text;
use crate::serve::Handler;
use crate::serve::HttpResponse;
use crate::serve::json;
use crate::serve::plain;
use crate::store::member::Member;
use crate::store::producer::Producer;

/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Limit on simultaneous connections.
const MAX_CONNECTIONS: usize = 256;
/// Limit on the keys in a page of newest values.
const PAGE_ITEMS: usize = 500;
/// Limit on the size of a read that names none, in KB.
const READ_KB: u64 = 1_024;

/// A partition of a topic, with its records and producers.
#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// Offset of the first retained record.
    first: u64,
    producers: BTreeMap<String, Producer>,
}

/// The log service, with its fault switches.
pub struct Store {
    connections: Connections,
    partitions: RefCell<BTreeMap<(String, u64), Partition>>,
    members: RefCell<Vec<Member>>,
    generation: Cell<u64>,
    /// Whether every call is answered with status 503.
    pub down: Cell<bool>,
    /// Limit on the records in the response to a read; 0 for no limit.
    pub read_limit: Cell<usize>,
    /// Limit of a record in bytes; an append with a larger one is refused. 0 for no limit.
    pub record_limit: Cell<usize>,
    /// Delay before each read.
    pub read_delay: Cell<Duration>,
    /// Number of append requests so far, unanswered ones included; those refused with status 503 or
    /// 507 are not counted.
    pub appends: Cell<u64>,
    /// Delay before each append.
    pub append_delay: Cell<Duration>,
    /// Whether appends are answered with status 507.
    pub full: Cell<bool>,
    /// Items that each page of newest values has in addition.
    pub odd_items: RefCell<Vec<Value>>,
    /// Number of coming appends that take effect but get no response.
    pub unanswered_appends: Cell<u64>,
    /// Whether calls that join or leave a group are answered with status 503.
    pub group_down: Cell<bool>,
}

impl Store {
    /// Creates a store without records, members or faults.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            connections: Connections::new(MAX_CONNECTIONS),
            partitions: RefCell::default(),
            members: RefCell::default(),
            generation: Cell::new(0),
            down: Cell::new(false),
            read_limit: Cell::new(0),
            record_limit: Cell::new(0),
            read_delay: Cell::new(Duration::ZERO),
            appends: Cell::new(0),
            append_delay: Cell::new(Duration::ZERO),
            full: Cell::new(false),
            odd_items: RefCell::default(),
            unanswered_appends: Cell::new(0),
            group_down: Cell::new(false),
        })
    }

    /// Writes the value of a key to the first partition of a topic, as operators and executors do.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let mut content = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.to_string().as_bytes());
        self.push(topic, 0, content);
    }

    /// Number of retained records in all partitions of a topic.
    pub fn count(&self, topic: &str) -> usize {
        let partitions = self.partitions.borrow();
        let partitions = partitions.iter().filter(|((name, _), _)| name == topic);
        partitions
            .map(|(_, partition)| partition.records.len())
            .sum()
    }

    /// The retained records of a partition; empty if there is no such partition.
    pub fn records(&self, topic: &str, partition: u64) -> Vec<Vec<u8>> {
        let partitions = self.partitions.borrow();
        let partition = partitions.get(&(topic.to_owned(), partition));
        partition.map_or_else(Vec::new, |partition| partition.records.clone())
    }

    /// Number of retained records of a partition.
    pub fn count_in(&self, topic: &str, partition: u64) -> usize {
        let partitions = self.partitions.borrow();
        let partition = partitions.get(&(topic.to_owned(), partition));
        partition.map_or(0, |partition| partition.records.len())
    }

    /// Deletes the records of a topic's first partition except the newest `keep`.
    pub fn trim(&self, topic: &str, keep: usize) {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry((topic.to_owned(), 0)).or_default();
        let removed = partition.records.len().saturating_sub(keep);
        partition.records.drain(..removed);
        partition.first += removed as u64;
    }

    /// Appends a record to a partition.
    pub fn push(&self, topic: &str, partition: u64, content: Vec<u8>) {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry((topic.to_owned(), partition)).or_default();
        partition.records.push(content);
    }

    /// Appends records to a partition as the producer of its last append, under a later epoch, which
    /// shuts out the earlier one.
    pub fn take_over(&self, topic: &str, partition: u64, epoch: u64, contents: Vec<Vec<u8>>) {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry((topic.to_owned(), partition)).or_default();
        for producer in partition.producers.values_mut() {
            producer.advance(epoch);
        }
        partition.records.extend(contents);
    }

    fn append(&self, uri: &Uri, body: &[u8]) -> HttpResponse {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry(partition_id(uri)).or_default();
        let sequence = query_number(uri, "sequence").unwrap_or(0);
        let producer = query_number(uri, "epoch")
            .map(|epoch| (query_text(uri, "producer").unwrap_or_default(), epoch));
        if let Some((name, epoch)) = &producer {
            let known = partition.producers.entry(name.clone()).or_default();
            match known.check(*epoch, sequence) {
                Ok(None) => {}
                Ok(Some(offset)) => return json(StatusCode::OK, &json!({ "offset": offset })),
                Err(refusal) => return json(StatusCode::CONFLICT, &refusal),
            }
        }
        let offset = partition.first + partition.records.len() as u64;
        let Some(contents) = split_records(body) else {
            return plain(StatusCode::BAD_REQUEST, "a cut record");
        };
        let limit = self.record_limit.get();
        if limit > 0 && contents.iter().any(|content| content.len() > limit) {
            return plain(StatusCode::BAD_REQUEST, "a record is too large");
        }
        partition.records.extend(contents);
        if let Some((name, _)) = producer {
            partition
                .producers
                .entry(name)
                .or_default()
                .record(sequence, offset);
        }
        let end = partition.first + partition.records.len() as u64;
        json(StatusCode::OK, &json!({ "offset": offset, "end": end }))
    }

    async fn read(&self, uri: &Uri) -> HttpResponse {
        let partition_id = partition_id(uri);
        let from = query_number(uri, "from").unwrap_or(0);
        let wait = query_number(uri, "wait_ms").unwrap_or(0);
        let size = query_number(uri, "max_kb").unwrap_or(READ_KB) * 1_024;
        let until = Instant::now() + Duration::from_millis(wait);
        compio::time::sleep(self.read_delay.get()).await;
        loop {
            let timed_out = Instant::now() >= until;
            if let Some(response) = self.read_now(&partition_id, from, size, timed_out) {
                return response;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn read_now(
        &self,
        partition_id: &(String, u64),
        from: u64,
        size: u64,
        timed_out: bool,
    ) -> Option<HttpResponse> {
        let mut partitions = self.partitions.borrow_mut();
        let partition = partitions.entry(partition_id.clone()).or_default();
        if from < partition.first {
            return Some(json(StatusCode::GONE, &json!({ "first": partition.first })));
        }
        let end = partition.first + partition.records.len() as u64;
        if from >= end && !timed_out {
            return None;
        }
        let mut body = Vec::new();
        body.extend_from_slice(&end.to_be_bytes());
        body.extend_from_slice(&partition.first.to_be_bytes());
        let skip = usize::try_from(from - partition.first).unwrap_or(usize::MAX);
        let limit = match self.read_limit.get() {
            0 => usize::MAX,
            limit => limit,
        };
        for content in partition.records.iter().skip(skip).take(limit) {
            if (body.len() + content.len()) as u64 > size {
                break;
            }
            let len = u32::try_from(content.len()).unwrap_or(u32::MAX);
            body.extend_from_slice(&len.to_be_bytes());
            body.extend_from_slice(content);
        }
        Some(plain(StatusCode::OK, body))
    }

    fn newest(&self, uri: &Uri) -> HttpResponse {
        let partitions = self.partitions.borrow();
        let partition = partitions.get(&partition_id(uri));
        let mut newest: BTreeMap<String, (u64, Vec<u8>)> = BTreeMap::new();
        let records = partition.into_iter().flat_map(|partition| {
            let offsets = partition.first..;
            offsets.zip(&partition.records)
        });
        for (offset, content) in records {
            let (len, rest) = content.split_first().map_or((0, &[][..]), |(l, r)| (*l, r));
            let (key, value) = rest.split_at(usize::from(len).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            newest.insert(key, (offset, value.to_vec()));
        }
        let after = query_text(uri, "depends_on");
        let mut rest = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .filter(|(key, _)| after.as_ref().is_none_or(|after| key > after));
        let mut items = self.odd_items.borrow().clone();
        let page = rest.by_ref().take(PAGE_ITEMS);
        items.extend(page.map(|(key, (offset, value))| {
                json!({ "key": key, "value": BASE64_STANDARD.encode(value), "offset": offset })
            }));
        let more = rest.next().is_some();
        let end = partition.map_or(0, |partition| {
            partition.first + partition.records.len() as u64
        });
        json(
            StatusCode::OK,
            &json!({ "items": items, "more": more, "end": end }),
        )
    }
}

impl Handler for Store {
    fn is_control(_: &str) -> bool {
        false
    }

    fn connections(&self) -> &Connections {
        &self.connections
    }

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> io::Result<HttpResponse> {
        if self.down.get() {
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, ""));
        }
        let uri = request.uri();
        let response = match uri.path() {
            "/api/log-append" if self.full.get() => plain(StatusCode::INSUFFICIENT_STORAGE, ""),
            "/api/log-append" => {
                self.appends.set(self.appends.get() + 1);
                compio::time::sleep(self.append_delay.get()).await;
                let response = self.append(uri, request.body());
                let unanswered_appends = self.unanswered_appends.get();
                if unanswered_appends > 0 {
                    self.unanswered_appends.set(unanswered_appends - 1);
                    pending::<()>().await;
                }
                response
            }
            "/api/log-read" => self.read(uri).await,
            "/api/log-newest" => self.newest(uri),
            "/api/log-join" | "/api/log-leave" if self.group_down.get() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "")
            }
            "/api/log-join" => self.join(request.body()),
            "/api/log-leave" => self.leave(request.body()),
            "/api/log-owners" => self.owners(),
            _ => plain(StatusCode::NOT_FOUND, ""),
        };
        Ok(response)
    }
}

/// Splits the body of an append into its records; `None` if the last one is cut.
fn split_records(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut contents = Vec::new();
    let mut rest = body;
    while let Some((len, tail)) = rest.split_first_chunk::<4>() {
        let len = u32::from_be_bytes(*len) as usize;
        let (content, tail) = tail.split_at_checked(len)?;
        contents.push(content.to_vec());
        rest = tail;
    }
    Some(contents)
}

/// Returns the topic and partition number that a call names.
fn partition_id(uri: &Uri) -> (String, u64) {
    let partition = query_number(uri, "part").unwrap_or(0);
    (query_text(uri, "topic").unwrap_or_default(), partition)
}
