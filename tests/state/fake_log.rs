//! An in-memory log server with the platform's HTTP protocol and injected faults.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;

/// Injected fault; only `Down` affects reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Answers every request with 503.
    Down,
    /// Stores an append 60 ms after it was received.
    Slow,
    /// Stores the append, then closes the connection without a reply.
    LoseReply,
    /// Closes the connection without storing the append.
    LoseRequest,
    /// Stores the append and sends no reply; closes the connection after 30 s.
    Hang,
}

#[derive(Debug)]
struct Inner {
    mode: Mode,
    first: u64,
    records: Vec<Vec<u8>>,
    appends: usize,
}

/// Handle to the log server; its threads end with the test process.
#[derive(Debug, Clone)]
pub struct FakeLog {
    addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl FakeLog {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let inner = Inner {
            mode: Mode::Up,
            first: 0,
            records: Vec::new(),
            appends: 0,
        };
        let log = Self {
            addr: listener.local_addr().expect("an address"),
            inner: Arc::new(Mutex::new(inner)),
        };
        let server = log.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        log
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.inner.lock().unwrap().mode = mode;
    }

    /// Expires the records before offset `first`.
    pub fn expire(&self, first: u64) {
        self.inner.lock().unwrap().first = first;
    }

    pub fn put(&self, data: Vec<u8>) -> u64 {
        let mut inner = self.inner.lock().unwrap();
        inner.records.push(data);
        inner.records.len() as u64 - 1
    }

    /// Number of append requests received, stored or not; those answered with 503 are not counted.
    pub fn append_requests(&self) -> usize {
        self.inner.lock().unwrap().appends
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        while let Some((line, body)) = read_request(&mut reader) {
            let Some((status, body)) = self.respond(&line, body) else {
                return;
            };
            let len = body.len();
            let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {len}\r\n\r\n");
            if (&stream)
                .write_all(format!("{head}{body}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn respond(&self, line: &str, body: Vec<u8>) -> Option<(u16, String)> {
        let mode = self.inner.lock().unwrap().mode;
        if mode == Mode::Down {
            return Some((503, String::new()));
        }
        if line.starts_with("GET") {
            return Some(self.read(line));
        }
        self.inner.lock().unwrap().appends += 1;
        if mode == Mode::Slow {
            thread::sleep(Duration::from_millis(60));
        }
        if mode == Mode::LoseRequest {
            return None;
        }
        let offset = self.put(body);
        match mode {
            Mode::LoseReply => None,
            Mode::Hang => {
                thread::sleep(Duration::from_secs(30));
                None
            }
            _ => Some((200, format!("{{\"offset\":{offset}}}"))),
        }
    }

    fn read(&self, line: &str) -> (u16, String) {
        let [from, max, wait] = ["from=", "max=", "wait_ms="].map(|key| query_number(line, key));
        let deadline = Instant::now() + Duration::from_millis(wait);
        while self.inner.lock().unwrap().records.len() as u64 == from && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(2));
        }
        let inner = self.inner.lock().unwrap();
        let (first, head) = (inner.first, inner.records.len() as u64);
        if from < first {
            return (410, format!("{{\"first\":{first},\"head\":{head}}}"));
        }
        let records = (from..head.min(from + max)).map(|offset| {
            let data = BASE64_STANDARD.encode(&inner.records[offset as usize]);
            format!("{{\"offset\":{offset},\"at_ms\":1,\"data\":\"{data}\"}}")
        });
        let records = records.collect::<Vec<_>>().join(",");
        (
            200,
            format!("{{\"first\":{first},\"head\":{head},\"records\":[{records}]}}"),
        )
    }
}

fn query_number(line: &str, key: &str) -> u64 {
    let rest = line.split(key).nth(1).expect("a parameter");
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
    let mut len = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|len| *len > 0)?;
        if header == "\r\n" {
            break;
        }
        if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
            len = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some((line, body))
}
