//! A minimal HTTP client.

use super::WAIT_TIMEOUT;
use super::server::read_headers;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

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
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    send(&mut stream, method, path, headers, body)?;
    read_response(&mut BufReader::new(stream))
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
