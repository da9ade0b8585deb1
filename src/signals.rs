//! Signals to a process, handled from its first line to its last.

use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;

use compio::io::AsyncRead;
use compio::net::UnixStream;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;
use signal_hook::low_level::pipe;

/// Signals that request a graceful stop.
const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];
/// Most wake-ups that are read at a time, in bytes.
const READ_BYTES: usize = 64;

/// Requests to the process that arrive as signals. Their handlers stay in place until the process
/// ends, whether or not somebody waits: no signal has its default effect, which is to end the
/// process. Only a second interrupt does.
pub struct Signals {
    stop: Request,
    reload: Request,
}

impl Signals {
    /// Puts the handlers in place: of SIGTERM and SIGINT, which request a graceful stop, and of
    /// SIGHUP, which says that the settings have changed.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn open() -> io::Result<Self> {
        let stop = Request::open()?;
        flag::register_conditional_default(SIGINT, Arc::clone(&stop.pending))?;
        for signal in STOP_SIGNALS {
            stop.add(signal)?;
        }
        let reload = Request::open()?;
        reload.add(SIGHUP)?;
        Ok(Self { stop, reload })
    }

    /// Whether a stop has been requested.
    #[must_use]
    pub fn is_stop_requested(&self) -> bool {
        self.stop.pending.load(SeqCst)
    }

    /// Waits until a stop is requested; returns at once if it has been.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn stop_requested(&self) -> io::Result<()> {
        let mut waker = self.stop.waker()?;
        while !self.is_stop_requested() {
            waker.wait().await?;
        }
        Ok(())
    }

    /// Waits until the settings have changed since the last call. Calls must not overlap.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn reload_requested(&self) -> io::Result<()> {
        let mut waker = self.reload.waker()?;
        while !self.reload.pending.swap(false, SeqCst) {
            waker.wait().await?;
        }
        Ok(())
    }
}

/// A kind of request: whether one is pending, and a pipe that wakes up whoever waits for it.
struct Request {
    pending: Arc<AtomicBool>,
    writer: StdUnixStream,
    reader: StdUnixStream,
}

impl Request {
    fn open() -> io::Result<Self> {
        let (reader, writer) = StdUnixStream::pair()?;
        reader.set_nonblocking(true)?;
        Ok(Self {
            pending: Arc::default(),
            writer,
            reader,
        })
    }

    /// Adds a signal that makes the request. Its handlers run in the order in which they are added.
    fn add(&self, signal: i32) -> io::Result<()> {
        flag::register(signal, Arc::clone(&self.pending))?;
        pipe::register(signal, self.writer.try_clone()?)?;
        Ok(())
    }

    /// Must be called in a compio runtime.
    fn waker(&self) -> io::Result<Waker> {
        let reader = UnixStream::from_std(self.reader.try_clone()?)?;
        Ok(Waker { reader })
    }
}

struct Waker {
    reader: UnixStream,
}

impl Waker {
    /// Waits for a signal that came after the last wait.
    async fn wait(&mut self) -> io::Result<()> {
        let read = self.reader.read(Vec::with_capacity(READ_BYTES)).await;
        read.0.map(drop)
    }
}
