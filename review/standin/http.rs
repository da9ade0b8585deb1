//! A blocking HTTP/1.1 server with a thread for each connection, and a client.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::json::Json;

/// A request, with its path and query apart.
#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: &Json) -> Self {
        let body = body.to_string().into_bytes();
        Self { status, body }
    }

    pub fn raw(status: u16, body: Vec<u8>) -> Self {
        Self { status, body }
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input)? {
        let Some(response) = handler(request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-length: {}\r\ncontent-type: application/json\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        output.write_all(&bytes)?;
    }
    Ok(())
}

fn read_request(input: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = read_line(input)? else {
        return Ok(None);
    };
    let target = first.split(' ').nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), unescape(value)));
    let headers = read_headers(input)?;
    let mut request = Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|n| n.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut request.body)?;
    Ok(Some(request))
}

fn read_headers(input: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(input)? {
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(headers)
}

fn read_line(input: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(c) = rest.next() {
        if c == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(c);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a connection of its own; `None` without a complete response in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let first = read_line(&mut input).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut input).ok()?;
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some(Response { status, body })
}
