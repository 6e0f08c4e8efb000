//! A small HTTP server, one thread for each connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// A request as a stand-in reads it.
pub struct Received {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one request; `None` once the connection is closed.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let path = words.nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Received { path, headers, body })
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

/// Starts a store that refuses every call with the status that it has for rates.
pub fn refusing_store() -> SocketAddr {
    serve(|_, stream| reply(stream, 429, &[], "{}"))
}

/// Serves connections, one thread each, until the test ends.
pub fn serve(answer: impl Fn(Received, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !answer(request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Writes an answer with a length.
pub fn reply(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) -> bool {
    reply_bytes(stream, status, headers, body.as_bytes())
}

/// Writes an answer of any bytes with a length.
pub fn reply_bytes(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str("\r\n");
    stream.write_all(&[text.as_bytes(), body].concat()).is_ok()
}
