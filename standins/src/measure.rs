//! What a process takes of its machine, and tests that measure it one at a time.

use std::fs;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// One test at a time: each measures a process under load.
static ALONE: Mutex<()> = Mutex::new(());

/// State of a listening socket in the system's table.
const LISTEN: &str = "0A";

/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the memory that a process may use at any time, in tenths.
const MEMORY_TENTHS: u64 = 8;

/// The machine that a process runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Memory, in MB.
    pub memory: u64,
    /// Number of descriptors.
    pub descriptors: usize,
}

impl Machine {
    /// Number of descriptors that are not for files.
    #[must_use]
    pub const fn sockets(self) -> usize {
        self.descriptors - FILE_DESCRIPTORS
    }

    /// Checks that a process lives within the machine. `queued` is the most that the system held for its
    /// connections, in KiB.
    ///
    /// # Panics
    /// If the process has ended, or has taken more than the machine has.
    pub fn check(self, name: &str, id: u32, queued: u64) {
        let (memory, descriptors) = (peak_memory(id), open_descriptors(id));
        println!("{name}: {memory} KiB at most, {queued} KiB queued, {descriptors} descriptors");
        let bound = self.memory * 1_024 * MEMORY_TENTHS / 10;
        assert!(
            memory + queued <= bound,
            "{name}: {memory} KiB used and {queued} KiB queued, {bound} KiB allowed"
        );
        let most = self.sockets();
        assert!(
            descriptors <= most,
            "{name}: {descriptors} descriptors open, {most} allowed"
        );
    }
}

/// Waits until no other test of the program measures.
pub fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Most memory that a process has used at any time, in KiB.
///
/// # Panics
/// If the process has ended.
#[must_use]
pub fn peak_memory(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process lives");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|number| number.parse().ok())
        .expect("a number")
}

/// Number of open descriptors of a process.
///
/// # Panics
/// If the process has ended.
#[must_use]
pub fn open_descriptors(id: u32) -> usize {
    let entries = fs::read_dir(format!("/proc/{id}/fd")).expect("the process lives");
    entries.count()
}

/// What the system holds for the connections of these listeners, in KiB: bytes that were received and
/// not read, and bytes that were sent and not acknowledged.
///
/// # Panics
/// If the system has no such table.
#[must_use]
pub fn queued_memory(listeners: &[SocketAddr]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let queued = table
        .lines()
        .filter_map(|line| queued_bytes(line, listeners));
    queued.sum::<u64>() >> 10
}

/// Bytes in both queues of a row of the table; `None` if it is of no connection of a listener.
fn queued_bytes(row: &str, listeners: &[SocketAddr]) -> Option<u64> {
    let fields: Vec<&str> = row.split_whitespace().collect();
    let (_, port) = fields.get(1)?.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    if *fields.get(3)? == LISTEN || listeners.iter().all(|addr| addr.port() != port) {
        return None;
    }
    let (sent, received) = fields.get(4)?.split_once(':')?;
    let queue = |digits| u64::from_str_radix(digits, 16).ok();
    Some(queue(sent)? + queue(received)?)
}
