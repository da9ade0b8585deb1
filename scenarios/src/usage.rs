//! What a process uses of its machine.

use std::fs;
use std::io;
use std::net::SocketAddr;

use crate::http;

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;
/// Fields of `/proc/PID/stat` behind the program's name: user time, system time, resident pages.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;
const RESIDENT_FIELD: usize = 21;

/// Counts of a process so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Resident memory, in bytes.
    pub resident: f64,
    /// Bytes in datagrams, both ways.
    pub bytes: f64,
    /// Messages, both ways.
    pub messages: f64,
}

impl Usage {
    /// Reads the counts of process `pid`, whose metrics are at `addr`.
    ///
    /// # Errors
    /// If the process is gone or serves no metrics.
    pub fn read(pid: u32, addr: SocketAddr) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields = stat.rsplit_once(") ").map(|(_, fields)| fields);
        let fields: Vec<&str> = fields.unwrap_or_default().split(' ').collect();
        let field = |index: usize| {
            let value = fields.get(index).and_then(|text| text.parse::<f64>().ok());
            value.ok_or_else(|| io::Error::other("a strange /proc/PID/stat"))
        };
        let metrics = http::send(addr, "GET", "/metrics", &[], "")?.body;
        Ok(Self {
            cpu: (field(USER_FIELD)? + field(SYSTEM_FIELD)?) / TICKS_PER_SECOND,
            resident: field(RESIDENT_FIELD)? * PAGE_BYTES,
            bytes: total(&metrics, "mimosa_links_io_bytes_total"),
            messages: total(&metrics, "mimosa_messages_total"),
        })
    }

    /// What was used since `before`; memory stays as it is.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            cpu: self.cpu - before.cpu,
            resident: self.resident,
            bytes: self.bytes - before.bytes,
            messages: self.messages - before.messages,
        }
    }
}

/// Sum of a metric over its labels.
#[must_use]
pub fn total(metrics: &str, name: &str) -> f64 {
    metrics
        .lines()
        .filter(|line| {
            line.strip_prefix(name)
                .is_some_and(|rest| rest.starts_with([' ', '{']))
        })
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
