//! Backend servers whose answers have no end: they write until the caller closes the connection.

use super::platform::register;
use super::server::{ReceivedRequest, reply, serve};
use super::store::StandinStore;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Part of an answer that has no end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndlessPart {
    /// A header line.
    HeaderLine,
    /// Header lines.
    Headers,
    /// Interim responses.
    InterimHeads,
    /// A body without a length, which ends with its connection.
    UnframedBody,
    /// The chunks of a body.
    Chunks,
    /// Chunks of one byte each.
    TinyChunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// The digits of a chunk's size.
    ChunkSize,
    /// Trailers after a body.
    Trailers,
    /// Bytes after a complete answer.
    AfterAnswer,
    /// An event of a stream.
    Event,
    /// Comment lines between the events of a stream.
    Comments,
    /// Events of a stream, numbered in order.
    Events,
}

impl EndlessPart {
    pub const OF_ANSWERS: [Self; 10] = [
        Self::HeaderLine,
        Self::Headers,
        Self::InterimHeads,
        Self::UnframedBody,
        Self::Chunks,
        Self::TinyChunks,
        Self::ChunkExtension,
        Self::ChunkSize,
        Self::Trailers,
        Self::AfterAnswer,
    ];

    pub const OF_STREAMS: [Self; 11] = [
        Self::HeaderLine,
        Self::Headers,
        Self::InterimHeads,
        Self::TinyChunks,
        Self::ChunkExtension,
        Self::ChunkSize,
        Self::Trailers,
        Self::AfterAnswer,
        Self::Event,
        Self::Comments,
        Self::Events,
    ];

    /// Returns what comes before the endless part, for a stream or another answer to a request.
    fn opening(self, id: &str, is_stream: bool) -> String {
        let signed = format!("request-id: {id}\r\nresponse-stamp: signed-{id}\r\nweight-versions: 1\r\n");
        let chunked = format!("HTTP/1.1 200 X\r\n{signed}transfer-encoding: chunked\r\n\r\n");
        let first_event = if is_stream { "19\r\nid: 1\ndata: from endless\n\n\r\n" } else { "" };
        match self {
            Self::HeaderLine => "HTTP/1.1 200 X\r\nx: ".into(),
            Self::Headers => "HTTP/1.1 200 X\r\n".into(),
            Self::InterimHeads => String::new(),
            Self::UnframedBody => format!("HTTP/1.1 200 X\r\n{signed}connection: close\r\n\r\n"),
            Self::Chunks | Self::TinyChunks | Self::Comments | Self::Events => chunked,
            Self::Event => format!("{chunked}f000000\r\nid: 1\ndata: "),
            Self::ChunkExtension => format!("{chunked}{first_event}5;x="),
            Self::ChunkSize => format!("{chunked}{first_event}0"),
            Self::Trailers => format!("{chunked}{first_event}0\r\n"),
            Self::AfterAnswer => format!("HTTP/1.1 200 X\r\n{signed}content-length: 4\r\n\r\nbody"),
        }
    }

    /// Returns the next piece of the endless part.
    fn piece(self, number: u64) -> String {
        match self {
            Self::HeaderLine | Self::Event | Self::ChunkExtension | Self::AfterAnswer => "x".repeat(4096),
            Self::ChunkSize => "0".repeat(4096),
            Self::Headers => format!("x-header-{number}: value\r\n").repeat(64),
            Self::Trailers => format!("x-trailer-{number}: value\r\n").repeat(64),
            Self::InterimHeads => "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(64),
            Self::UnframedBody => "x".repeat(64 * 1024),
            Self::Chunks => format!("8000\r\n{}\r\n", "x".repeat(0x8000)),
            Self::TinyChunks => "1\r\nx\r\n".repeat(512),
            Self::Comments => "7\r\n: on\n\n\n\r\n".repeat(64),
            Self::Events => {
                let events = (number * 64 + 1..=number * 64 + 64).map(|event| {
                    let text = format!("id: {event}\ndata: endless\n\n");
                    format!("{:x}\r\n{text}\r\n", text.len())
                });
                events.collect()
            }
        }
    }
}

/// Servers of one service that answer with endless parts.
pub struct EndlessServers {
    /// Ids of the requests that reached them, with the time.
    pub runs: Mutex<Vec<(String, Instant)>>,
    /// Connections on which they write.
    pub writing: AtomicUsize,
    /// Longest time for which one of them wrote.
    pub longest: Mutex<Duration>,
    /// Whether they answer like sound servers.
    pub is_sound: AtomicBool,
    part: EndlessPart,
    /// Pause between two pieces.
    pause: Duration,
    is_stream: bool,
}

impl EndlessServers {
    /// Starts `count` servers of a service.
    pub fn start(store: &StandinStore, service: &str, count: usize, part: EndlessPart, pause: Duration) -> Arc<Self> {
        let is_stream = service == "models";
        let servers = Arc::new(Self {
            runs: Mutex::default(),
            writing: AtomicUsize::new(0),
            longest: Mutex::default(),
            is_sound: AtomicBool::new(false),
            part,
            pause,
            is_stream,
        });
        for number in 0..count {
            let handler = servers.clone();
            let address: SocketAddr = serve(move |request, stream| handler.answer(&request, stream));
            let models = if is_stream { json!([{ "name": "m", "version": 1 }]) } else { json!([]) };
            register(store, &format!("i-endless-{service}-{number}"), service, &address.to_string(), models);
        }
        servers
    }

    pub fn run_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    fn answer(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let id = request.headers.get("request-id").cloned().unwrap_or_default();
        if request.path == "/trestlerack/report"
            && !self.is_sound.load(Ordering::SeqCst)
            && self.part != EndlessPart::Headers
        {
            let report = json!({ "models": [{ "name": "m", "version": 1 }], "busy": false, "seq": 0 });
            return reply(stream, 200, &[], &report.to_string());
        }
        self.runs
            .lock()
            .unwrap()
            .push((format!("{}{id}", if id.is_empty() { &request.path } else { "" }), Instant::now()));
        let started = Instant::now();
        self.writing.fetch_add(1, Ordering::SeqCst);
        let mut is_open = stream.write_all(self.part.opening(&id, self.is_stream).as_bytes()).is_ok();
        for number in 0.. {
            if !is_open {
                break;
            }
            is_open = stream.write_all(self.part.piece(number).as_bytes()).is_ok();
            std::thread::sleep(self.pause);
        }
        self.writing.fetch_sub(1, Ordering::SeqCst);
        let mut longest = self.longest.lock().unwrap();
        *longest = started.elapsed().max(*longest);
        false
    }
}
