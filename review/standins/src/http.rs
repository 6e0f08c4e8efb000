//! A small HTTP/1.1 server and client on blocking sockets.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that a stand-in received.
pub struct Received {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// Headers with names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Received {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Interval at which a listener looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Handles a request and returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Received, &mut TcpStream) -> bool + Send + Sync>;

/// A server that can end as a process that is killed does: its port refuses connections and the open ones break.
pub struct Server {
    pub address: SocketAddr,
    is_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Ends the server.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            // The peer may have closed it already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Serves a handler on a free loopback port; one thread for each connection.
pub fn serve(handler: Handler) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    listener.set_nonblocking(true).expect("the listener can be polled");
    let server = Server { address, is_ended: Arc::default(), connections: Arc::default() };
    let (is_ended, connections) = (server.is_ended.clone(), server.connections.clone());
    std::thread::spawn(move || {
        while !is_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let mut open = connections.lock().unwrap();
            open.extend(stream.try_clone());
            drop(open);
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    server
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(request) = read_request(&mut reader) {
        if !handler(&request, &mut stream) {
            break;
        }
    }
    stream.shutdown(Shutdown::Both).ok()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Received> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
    let path = path.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Received { method, path, query, headers, body })
}

/// Decodes percent escapes.
pub fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Writes a reply with a length. Returns whether the connection still works.
pub fn reply(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Returns whether the peer has closed the connection. Waits for `wait` at most.
pub fn is_closed(stream: &TcpStream, wait: Duration) -> bool {
    let mut byte = [0];
    let _ = stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))));
    let closed = match stream.peek(&mut byte) {
        Ok(read) => read == 0,
        Err(error) => !matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
    };
    let _ = stream.set_read_timeout(None);
    closed
}

/// A connection of a client on which requests follow each other.
pub struct Connection {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

/// The head of a response.
pub struct ResponseHead {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
}

impl Connection {
    /// Connects to an address; reads wait for `limit` at most.
    pub fn open(address: &str, limit: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { reader: BufReader::new(stream.try_clone().ok()?), stream })
    }

    /// Sends a request and returns the head of the response; `None` if there is none.
    pub fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Option<ResponseHead> {
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes()).ok()?;
        self.stream.write_all(body).ok()?;
        let (first, headers) = read_head(&mut self.reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some(ResponseHead { status, headers })
    }

    /// Reads the whole body of a response.
    pub fn read_body(&mut self, head: &ResponseHead) -> Option<Vec<u8>> {
        read_body(&mut self.reader, &head.headers)
    }

    /// Reads the next chunk of a response; an empty one ends it.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        read_chunk(&mut self.reader)
    }
}

/// Sends one request on a new connection and returns the status and the body of the response.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut connection = Connection::open(address, limit)?;
    let head = connection.send(method, path, headers, body)?;
    let body = connection.read_body(&head)?;
    Some((head.status, body))
}
