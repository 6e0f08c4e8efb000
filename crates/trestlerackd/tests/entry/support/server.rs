//! A small HTTP server, one thread for each connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// A request that a fake server received.
pub struct ReceivedRequest {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one request; `None` once the connection is closed.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<ReceivedRequest> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut parts = line.split_whitespace();
    let path = parts.nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(ReceivedRequest { path, headers, body })
}

pub fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { return Some(headers) };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
}

/// Starts a store that rejects every call with the status for an exceeded rate limit.
pub fn rate_limiting_store() -> SocketAddr {
    serve(|_, stream| reply(stream, 429, &[], "{}"))
}

/// Serves connections, one thread each, until the test process ends. A connection is closed when the handler returns
/// false.
pub fn serve(handler: impl Fn(ReceivedRequest, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handler(request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Writes a response with a `content-length` header.
pub fn reply(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) -> bool {
    reply_bytes(stream, status, headers, body.as_bytes())
}

/// Writes a response with a body of bytes and a `content-length` header.
pub fn reply_bytes(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str("\r\n");
    stream.write_all(&[text.as_bytes(), body].concat()).is_ok()
}
