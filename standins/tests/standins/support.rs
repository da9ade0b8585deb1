//! Child processes under test, and a minimal HTTP client.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::TcpStream;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// Time after which a wait fails the test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A child process that is killed when dropped.
pub struct Program {
    child: Child,
    out: BufReader<ChildStdout>,
}

impl Program {
    pub fn start(path: &str, arguments: &[&str]) -> Self {
        let mut command = Command::new(path);
        command.args(arguments).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let out = BufReader::new(child.stdout.take().unwrap());
        Self { child, out }
    }

    /// Reads the next address that the program prints.
    pub fn next_address(&mut self) -> String {
        let mut line = String::new();
        self.out.read_line(&mut line).unwrap();
        line.trim().strip_prefix("listening ").unwrap().to_owned()
    }

    /// Ends the program with SIGTERM and returns whether it exited with status 0.
    pub fn stop(mut self) -> bool {
        let id = self.child.id().to_string();
        Command::new("kill").arg(id).status().unwrap();
        self.child.wait().unwrap().success()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

pub fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Whether a connection is open and nothing has arrived on it.
pub fn is_open_and_silent(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let error = stream.peek(&mut [0]).err().map(|error| error.kind());
    error == Some(std::io::ErrorKind::WouldBlock)
}

/// An HTTP client on one persistent connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(address: &str) -> Self {
        Self(BufReader::new(connect(address)))
    }

    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Sends `head` (method and path, then header lines) with `body`.
    pub fn send(&mut self, head: &str, body: &str) -> Result<()> {
        let (line, headers) = head.split_once('\n').unwrap_or((head, ""));
        let length = body.len();
        let text = format!("{line} HTTP/1.1\nhost: x\ncontent-length: {length}\n{headers}\n");
        let text = format!(
            "{}\r\n{body}",
            text.trim_end().replace('\n', "\r\n") + "\r\n"
        );
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Receives the next response: status, headers as text, and body.
    pub fn receive(&mut self) -> Result<(u16, String, String)> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.0.read_line(&mut head)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.unwrap().parse().unwrap()];
        self.0.read_exact(&mut body)?;
        let status = head[9..12].parse().unwrap();
        Ok((status, head, String::from_utf8(body).unwrap()))
    }

    /// Sends a request and receives its response.
    pub fn call(&mut self, head: &str, body: &str) -> Result<(u16, String, String)> {
        self.send(head, body)?;
        self.receive()
    }

    /// Sends a request and parses its response as JSON.
    pub fn json(&mut self, head: &str, body: &str) -> Value {
        serde_json::from_str(&self.call(head, body).unwrap().2).unwrap()
    }

    /// Repeats a request until its JSON response has `value` at `name`.
    pub fn wait_for(&mut self, head: &str, name: &str, value: u64) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.json(head, "")[name] != value {
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {name} = {value}"
            );
        }
    }
}
