//! A minimal HTTP client.

use super::WAIT_TIMEOUT;
use super::server::read_headers;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::{Debug, Display, Formatter};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Response that a client received.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl HttpResponse {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

/// Makes a call on its own connection. Returns `None` if no complete response arrives.
pub fn call(address: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Option<HttpResponse> {
    timed_call(address, method, path, headers, body).0
}

/// Times of a call at its client.
#[derive(Clone, Copy)]
pub struct CallTimes {
    pub started: SystemTime,
    /// Time at which the request was passed to the kernel.
    pub sent: SystemTime,
    /// Duration by the monotonic clock, which bounds are compared to.
    pub took: Duration,
}

impl Debug for CallTimes {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{self}")
    }
}

/// Prints the times in UTC, to be compared with those of a log.
impl Display for CallTimes {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let [started, sent, ended] = [self.started, self.sent, self.started + self.took].map(time_of_day);
        write!(formatter, "{:?} (started {started}, sent {sent}, ended {ended})", self.took)
    }
}

/// Returns the time of day in UTC, in milliseconds.
pub fn time_of_day(time: SystemTime) -> String {
    let ms = time.duration_since(UNIX_EPOCH).unwrap().as_millis() % 86_400_000;
    format!("{:02}:{:02}:{:02}.{:03}", ms / 3_600_000, ms / 60_000 % 60, ms / 1_000 % 60, ms % 1_000)
}

/// Like [`call`], and returns the times of the call, which tell a late node from a late client.
pub fn timed_call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (Option<HttpResponse>, CallTimes) {
    let (started, start) = (SystemTime::now(), Instant::now());
    let mut sent = started;
    let response = TcpStream::connect(address).ok().and_then(|mut stream| {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        send(&mut stream, method, path, headers, body)?;
        sent = SystemTime::now();
        read_response(&mut BufReader::new(stream))
    });
    (response, CallTimes { started, sent, took: start.elapsed() })
}

/// Sends a request with a body; the host is `h.example` unless `headers` has one.
pub fn send(stream: &mut TcpStream, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Option<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "host") {
        text.push_str("host: h.example\r\n");
    }
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    stream.write_all(format!("{text}\r\n{body}").as_bytes()).ok()
}

pub fn read_response(reader: &mut BufReader<TcpStream>) -> Option<HttpResponse> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpResponse { status, headers, body: String::from_utf8(body).ok()? })
}
