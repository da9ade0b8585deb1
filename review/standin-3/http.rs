//! HTTP/1.1 over blocking sockets: servers with a thread for each connection, and a client.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    pub fn text(&self, name: &str) -> String {
        self.query.get(name).cloned().unwrap_or_default()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into().into_bytes(),
        }
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// A server; `close` ends it and its connections at once, as the end of a process does.
pub struct Server {
    pub addr: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn open(port: u16, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        let addr = listener.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (done, kept) = (closed.clone(), streams.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if done.load(SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    kept.lock().unwrap().push(copy);
                }
                let (handler, done) = (handler.clone(), done.clone());
                std::thread::spawn(move || serve(stream, &handler, &done));
            }
        });
        Ok(Self {
            addr,
            closed,
            streams,
        })
    }

    pub fn close(&self) {
        self.closed.store(true, SeqCst);
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, closed: &AtomicBool) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let answer = handler(&request);
        let Some(answer) = answer.filter(|_| !closed.load(SeqCst)) else {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(answer.body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    let len = headers
        .get("content-length")
        .and_then(|len| len.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut (impl BufRead + Read)) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let (path, query) = (path.to_owned(), query.collect());
    let body = read_body(reader, &headers)?;
    Some(Request {
        path,
        query,
        headers,
        body,
    })
}

/// Sends a request on a new connection; `None` without a complete response in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream
        .set_read_timeout(Some(
            until.saturating_duration_since(Instant::now()) + Duration::from_millis(1),
        ))
        .ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    writer.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
