//! Writes log lines in batches, from a thread of its own.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// Limit of the lines that wait to be written, in bytes; further lines are dropped and counted.
const WAITING_LIMIT: usize = 768 << 10;
/// Time for which lines are gathered before they are written, in milliseconds.
const GATHER_MS: u64 = 10;

/// Lines that wait to be written.
#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    /// Number of lines dropped since the last batch.
    dropped: u64,
    closed: bool,
}

#[derive(Default)]
struct Queue {
    waiting: Mutex<Waiting>,
    /// Notified when lines wait or the queue is closed.
    filled: Condvar,
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        // No code that holds the lock can panic halfway through a change.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > WAITING_LIMIT {
            waiting.dropped += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.filled.notify_one();
        }
    }

    fn close(&self) {
        self.lock().closed = true;
        self.filled.notify_one();
    }

    /// Waits for lines and takes them all, with the number of lines dropped; `None` once the queue
    /// is closed and empty.
    fn take(&self) -> Option<(Vec<u8>, u64)> {
        let is_idle = |waiting: &mut Waiting| waiting.bytes.is_empty() && !waiting.closed;
        let waiting = self.filled.wait_while(self.lock(), is_idle);
        let closed = waiting.unwrap_or_else(PoisonError::into_inner).closed;
        if !closed {
            thread::sleep(Duration::from_millis(GATHER_MS));
        }
        let mut waiting = self.lock();
        let lines = std::mem::take(&mut waiting.bytes);
        let dropped = std::mem::take(&mut waiting.dropped);
        (!lines.is_empty()).then_some((lines, dropped))
    }
}

/// A writer that takes whole lines, each ended by a flush, and writes them in batches from a thread
/// of its own. It never blocks. Dropping it writes what still waits.
pub struct BatchWriter {
    line: Vec<u8>,
    queue: Arc<Queue>,
    thread: Option<JoinHandle<()>>,
}

impl BatchWriter {
    /// Starts the thread that writes to `output`. `report` gives the line that tells how many lines
    /// were dropped.
    ///
    /// # Errors
    /// The error of the operating system if the thread can't be started.
    pub fn spawn(
        mut output: impl Write + Send + 'static,
        report: impl Fn(u64) -> String + Send + 'static,
    ) -> io::Result<Self> {
        let queue = Arc::new(Queue::default());
        let source = queue.clone();
        let write_all = move || {
            while let Some((mut lines, dropped)) = source.take() {
                if dropped > 0 {
                    lines.extend_from_slice(report(dropped).as_bytes());
                }
                // Lines that can't be written have nowhere else to go.
                let _ = output.write_all(&lines).and_then(|()| output.flush());
            }
        };
        let thread = thread::Builder::new().name("log".to_owned());
        Ok(Self {
            line: Vec::new(),
            queue,
            thread: Some(thread.spawn(write_all)?),
        })
    }
}

impl Write for BatchWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.queue.push(&self.line);
        self.line.clear();
        Ok(())
    }
}

impl Drop for BatchWriter {
    fn drop(&mut self) {
        self.queue.close();
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has nothing left to write.
            let _ = thread.join();
        }
    }
}
