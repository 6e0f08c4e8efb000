//! A small HTTP/1.1 server, one thread for each connection, and a client.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request that a stand-in received.
pub struct Request {
    pub method: String,
    /// Path with its query.
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A response that a client received.
pub struct Response {
    pub status: u16,
    pub body: String,
}

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut parts = line.split_whitespace();
    let (method, path) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").map_or(Some(0), |length| length.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body })
}

/// Serves connections until the process ends. A connection is closed when the handler returns false.
pub fn serve(handler: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("the address of the listener");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handler(&request, &mut writer) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Writes a complete response. Returns whether that succeeded.
pub fn reply(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str("\r\n");
    stream.write_all(&[text.as_bytes(), body].concat()).is_ok()
}

/// Makes a call on its own connection. Returns `None` if no complete response arrives within `limit`.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\nconnection: close\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    stream.write_all(format!("{text}\r\n{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Response { status, body: String::from_utf8(body).ok()? })
}

/// Makes a call whose response is chunked. Returns its status, the bytes of its body and whether the response is
/// complete; `None` without a response.
pub fn call_chunked(
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, Vec<u8>, bool)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("POST {path} HTTP/1.1\r\ncontent-length: {}\r\nconnection: close\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    stream.write_all(format!("{text}\r\n{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    read_headers(&mut reader)?;
    let mut bytes = Vec::new();
    let is_complete = read_chunks(&mut reader, &mut bytes).is_some();
    Some((status, bytes, is_complete))
}

/// Reads chunks up to the last one; `None` if the connection ends before.
fn read_chunks(reader: &mut impl BufRead, bytes: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        bytes.extend_from_slice(&chunk[..length]);
        if length == 0 {
            return Some(());
        }
    }
}
