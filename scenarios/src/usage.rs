//! Resource use of a process.

use std::fs;
use std::io;
use std::net::SocketAddr;

use crate::http;

/// Unit of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in which `/proc` counts resident memory.
const PAGE_BYTES: f64 = 4_096.0;
/// Indices of fields in `/proc/PID/stat`, counted from the one after the program's name: user time,
/// system time and resident pages.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;
const RESIDENT_FIELD: usize = 21;

/// Resource use of a process since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Resident memory, in bytes.
    pub resident: f64,
    /// Bytes sent and received in datagrams.
    pub bytes: f64,
    /// Messages sent and received.
    pub messages: f64,
}

impl Usage {
    /// Reads the use of process `pid`, whose metrics are served at `addr`.
    ///
    /// # Errors
    /// If the process no longer exists or serves no metrics.
    pub fn read(pid: u32, addr: SocketAddr) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields = stat.rsplit_once(") ").map(|(_, fields)| fields);
        let fields: Vec<&str> = fields.unwrap_or_default().split(' ').collect();
        let field = |index: usize| {
            let value = fields.get(index).and_then(|text| text.parse::<f64>().ok());
            value.ok_or_else(|| io::Error::other("unexpected format of /proc/PID/stat"))
        };
        let metrics = http::send(addr, "GET", "/metrics", &[], "")?.body;
        Ok(Self {
            cpu: (field(USER_FIELD)? + field(SYSTEM_FIELD)?) / TICKS_PER_SECOND,
            resident: field(RESIDENT_FIELD)? * PAGE_BYTES,
            bytes: total(&metrics, "mimosa_links_io_bytes_total"),
            messages: total(&metrics, "mimosa_messages_total"),
        })
    }

    /// Difference to `before`; `resident` stays the current value.
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

/// Sum of a metric over all its label values, from metrics in the Prometheus text format.
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
