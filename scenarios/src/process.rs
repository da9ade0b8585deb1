//! Child processes of a site.

use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// Interval at which a process that should end is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program from the directory of the running executable, with its output in `log`.
    ///
    /// # Errors
    /// If the program is missing or cannot be started.
    pub fn spawn(name: &str, program: &str, args: &[String], log: &Path) -> io::Result<Self> {
        let log = File::create(log)?;
        let child = Command::new(sibling_program(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Name of the process within the site.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Id of the process in the operating system.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// If the process no longer exists.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).map_err(io::Error::from)
    }

    /// Waits for the process to end and returns its exit status, -1 if a signal ended it; `None` if
    /// `deadline` passes first.
    ///
    /// # Errors
    /// If the process cannot be waited for.
    pub fn wait(&mut self, deadline: Instant) -> io::Result<Option<i32>> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status.code().unwrap_or(-1)));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of a program in the directory of the running executable, or in the parent directory, where
/// test executables find it.
///
/// # Errors
/// If the program does not exist.
pub fn sibling_program(program: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(program))
        .find(|path| path.is_file())
        .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("{program} is not built")))
}
