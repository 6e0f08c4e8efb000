//! Bad input gets a clear answer, and the daemon serves the next caller.

mod support;

use futures_util::{SinkExt, StreamExt};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use support::{Cluster, LINK_KEY, OPERATOR_KEY, Process, USER_KEY, confirm, read_reply, request};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;

fn cluster() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.daemon("a");
    cluster.service("plain", "a");
    cluster.declare(&["a"]);
    cluster
}

fn serves(daemon: &Process) {
    assert_eq!(request("GET", &daemon.address, "/readyz", &[], b"").status, 200);
}

fn plan(daemon: &Process, text: &str) -> support::Reply {
    let body = json!({ "file": "bad.json", "text": text }).to_string();
    request("POST", &daemon.address, "/v1/plans", &[OPERATOR_KEY], body.as_bytes())
}

#[test]
fn bad_requests_are_answered_and_the_next_caller_is_served() {
    let cluster = cluster();
    let daemon = &cluster.daemons[0];

    let reply = request("POST", &daemon.address, "/v1/completions", &[USER_KEY], b"{not json");
    assert_eq!((reply.status, reply.json()["verdict"].as_str()), (400, Some("not-run")));
    assert_eq!(reply.header("content-type"), Some("application/problem+json"));

    let reply = plan(daemon, "{\"scope\": \"x\",\n \"bakends\": []}");
    let detail = reply.json()["detail"].as_str().unwrap().to_owned();
    assert!(reply.status == 400 && detail.starts_with("bad.json:2: bakends: unknown key"), "{detail}");

    let mut declaration = cluster.declaration(&["a"]);
    declaration["users"][0]["places"] = json!(["nowhere"]);
    declaration["backends"][0]["slots"] = json!(0);
    let detail = plan(daemon, &declaration.to_string()).json()["detail"].as_str().unwrap().to_owned();
    assert!(detail.contains("slots: expected a whole number"), "{detail}");
    declaration["backends"][0]["slots"] = json!(1);
    let detail = plan(daemon, &declaration.to_string()).json()["detail"].as_str().unwrap().to_owned();
    assert!(detail.contains("no zone nowhere is declared"), "{detail}");

    let reply = request("POST", &daemon.address, "/v1/completions", &["wrong-key"], b"{}");
    assert_eq!(reply.status, 401);
    let reply = request("POST", &daemon.address, "/v1/plans", &[USER_KEY], b"{}");
    assert_eq!(reply.status, 403);
    let reply = request("GET", &daemon.address, "/v1/campaigns/none/steps", &[USER_KEY], b"");
    assert_eq!(reply.status, 404);
    serves(daemon);
}

#[test]
fn a_body_of_100_mb_is_refused_before_it_is_read() {
    let cluster = cluster();
    let daemon = &cluster.daemons[0];
    let mut stream = TcpStream::connect(&daemon.address).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {USER_KEY}\r\n\
         content-length: 104857600\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let reply = read_reply(&mut stream).unwrap();
    assert_eq!((reply.status, reply.header("trestlerack-verdict")), (413, Some("not-run")));
    serves(daemon);
}

#[test]
fn a_slow_header_is_cut_off() {
    let cluster = cluster();
    let daemon = &cluster.daemons[0];
    let mut stream = TcpStream::connect(&daemon.address).unwrap();
    stream.write_all(b"GET /livez HTTP/1.1\r\nhost: x\r\n").unwrap();
    // The end of the connection comes from the daemon: the request is never finished here.
    let reply = read_reply(&mut stream);
    assert!(reply.is_none_or(|reply| reply.status == 408), "no answer to half a request");
    serves(daemon);
}

#[test]
fn a_plan_that_another_operator_overtook_is_refused() {
    let cluster = cluster();
    let daemon = &cluster.daemons[0];
    let mut first = cluster.declaration(&["a"]);
    first["users"][0]["calls_per_second"] = json!(7);
    let stale = plan(daemon, &first.to_string()).json();
    let mut second = cluster.declaration(&["a"]);
    second["users"][0]["calls_per_second"] = json!(8);
    assert_eq!(confirm(daemon, &second.to_string()).status, 200);
    let body = json!({
        "file": "test.json", "text": first.to_string(), "made_from": stale["made_from"], "digest": stale["digest"],
    });
    let reply = request("POST", &daemon.address, "/v1/plans/confirm", &[OPERATOR_KEY], body.to_string().as_bytes());
    assert_eq!((reply.status, reply.json()["verdict"].as_str()), (409, Some("not-run")));
    serves(daemon);
}

async fn link(address: &str, key: &str) -> Result<tokio_tungstenite::WebSocketStream<tokio::net::TcpStream>, String> {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let mut request = format!("ws://{address}/link").into_client_request().unwrap();
    request.headers_mut().insert("authorization", format!("Bearer {key}").parse().unwrap());
    let opened = tokio_tungstenite::client_async(request, stream).await;
    opened.map(|(socket, _)| socket).map_err(|error| error.to_string())
}

async fn is_closed_after(address: &str, frame: Vec<u8>) -> bool {
    let mut socket = link(address, LINK_KEY).await.unwrap();
    let _ = socket.send(Message::Binary(frame.into())).await;
    while let Some(Ok(message)) = socket.next().await {
        if message.is_close() {
            return true;
        }
    }
    true
}

#[tokio::test]
async fn forged_and_oversized_link_frames_end_their_link_only() {
    let cluster = cluster();
    let daemon = &cluster.daemons[0];
    let refused = link(&daemon.link, "wrong-key").await;
    assert!(refused.unwrap_err().contains("401"));
    assert!(is_closed_after(&daemon.link, b"\xff not a frame".to_vec()).await);
    assert!(is_closed_after(&daemon.link, vec![0; 17 * 1024 * 1024]).await);
    assert!(daemon.log().contains("name=link-refused"));
    serves(daemon);
}
