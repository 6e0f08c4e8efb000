//! Failures of processes: kills, freezes, outages, leaving and planned stops.

mod support;

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{Cluster, OPERATOR_KEY, Reply, USER_KEY, check_samples, eventually, request};

const PLACES: [&str; 2] = ["a", "b"];

/// Three daemons and four engines in two allowed zones, one engine in a zone that is not allowed.
fn campaign_cluster(token_ms: &str) -> Cluster {
    let mut cluster = Cluster::new();
    for zone in ["a", "a", "b", "b", "c"] {
        cluster.engine(zone, token_ms);
    }
    cluster.service("scoring", "a");
    cluster.service("plain", "a");
    cluster.service("plain", "b");
    for zone in ["a", "b", "a"] {
        cluster.daemon(zone);
    }
    cluster.declare(&PLACES);
    cluster.settle();
    cluster.publish(1);
    cluster
}

/// Waits until some daemon makes a group.
fn wait_until_making(cluster: &Cluster) {
    eventually("samples are in the making", || {
        cluster.daemons.iter().any(|daemon| {
            let reply = request("GET", &daemon.address, "/v1/nodes", &[OPERATOR_KEY], b"");
            reply.json()[0]["groups"].as_u64() > Some(0)
        })
    });
}

fn complete(cluster: &Cluster, daemon: usize, tokens: u32) -> Reply {
    let body = json!({ "model": "model", "prompt": "p", "max_tokens": tokens, "stream": true, "seed": 1 });
    let address = &cluster.daemons[daemon].address;
    request("POST", address, "/v1/completions", &[USER_KEY], body.to_string().as_bytes())
}

fn is_whole(reply: &Reply, tokens: usize) -> bool {
    let data = reply.body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events: Vec<Value> = data.filter_map(|data| serde_json::from_str(data).ok()).collect();
    let text: String = events.iter().filter_map(|event| event.pointer("/choices/0/text")?.as_str()).collect();
    let indices: Vec<String> =
        text.split_whitespace().filter_map(|word| Some(word.split('/').nth(2)?.to_owned())).collect();
    let expected: Vec<String> = (0..tokens).map(|index| index.to_string()).collect();
    reply.status == 200 && reply.body.trim_end().ends_with("data: [DONE]") && indices == expected
}

fn record(cluster: &Cluster, daemon: usize, key: Option<&str>, text: &str) -> Reply {
    let header = key.map(|key| format!("idempotency-key: {key}"));
    let mut extra = vec![USER_KEY];
    extra.extend(header.as_deref());
    let address = &cluster.daemons[daemon].address;
    request("POST", address, "/v1/services/plain/records", &extra, text.as_bytes())
}

fn runs(cluster: &Cluster, text: &str) -> u64 {
    let plains = cluster.backends.iter().filter(|(declared, _)| declared["kind"] == "plain");
    let counts = plains.map(|(_, process)| request("GET", &process.address, "/runs", &[], b"").json());
    counts.map(|runs| runs[text].as_u64().unwrap_or(0)).sum()
}

#[test]
fn a_step_is_whole_and_once_when_a_daemon_is_killed_and_another_frozen() {
    let mut cluster = campaign_cluster("3");
    assert_eq!(cluster.submit(0, 0, 1, 6).status, 200);
    std::thread::sleep(Duration::from_millis(150));
    cluster.daemons[2].child.kill().unwrap();
    cluster.daemons[1].signal("STOP");
    std::thread::sleep(Duration::from_millis(1_500));
    cluster.daemons[1].signal("CONT");
    let samples = cluster.take(0, 0);
    check_samples(&samples, 12, &PLACES);
    let again = cluster.take(1, 0);
    assert_eq!(samples, again, "the same bytes through another node");
}

#[test]
fn a_step_is_whole_and_once_over_an_outage_of_both_stores_and_lost_answers() {
    let cluster = campaign_cluster("15");
    assert_eq!(cluster.submit(0, 0, 1, 6).status, 200);
    wait_until_making(&cluster);
    // The outage lasts until everything below was seen, however slow the machine is.
    cluster.table.fault(json!({ "mode": "down" }));
    cluster.objects.fault(json!({ "mode": "down" }));
    eventually("a made group waits in a spool", || {
        cluster.daemons.iter().any(|daemon| daemon.log().contains("name=group-spooled"))
    });
    let refused = record(&cluster, 0, Some("key-1"), "in-outage");
    assert_eq!((refused.status, refused.json()["verdict"].as_str()), (503, Some("not-run")));
    assert!(refused.header("retry-after").is_some(), "with a time to return");
    assert_eq!(runs(&cluster, "in-outage"), 0, "not run means not run");
    assert_eq!(record(&cluster, 1, None, "without-key").status, 200, "a call without a key needs no store");
    assert!(is_whole(&complete(&cluster, 2, 8), 8), "a completion needs no store");
    cluster.objects.fault(json!({ "mode": "none" }));
    cluster.table.fault(json!({ "mode": "none" }));
    eventually("the outage ends", || {
        request("POST", &cluster.table.address, "/table/read", &[], br#"{"key":"x"}"#).status == 200
    });
    cluster.table.fault(json!({ "mode": "lose-answer", "count": 6 }));
    check_samples(&cluster.take(0, 0), 12, &PLACES);
}

#[test]
fn a_stream_goes_on_over_an_engine_crash() {
    let cluster = campaign_cluster("3");
    for (declared, engine) in &cluster.backends {
        if declared["kind"] == "engine" {
            engine.fault(json!({ "mode": "crash", "count": 1 }));
        }
    }
    for round in 0..4 {
        let reply = complete(&cluster, round % 3, 40);
        assert!(is_whole(&reply, 40), "{}", reply.body);
    }
}

#[test]
fn a_planned_stop_cuts_off_no_stream_and_exits_cleanly() {
    let mut cluster = campaign_cluster("10");
    let address = cluster.daemons[0].address.clone();
    let body = json!({ "model": "model", "prompt": "p", "max_tokens": 150, "stream": true }).to_string();
    let call = std::thread::spawn(move || request("POST", &address, "/v1/completions", &[USER_KEY], body.as_bytes()));
    eventually("the call is in progress", || {
        let reply = request("GET", &cluster.daemons[0].address, "/v1/nodes", &[OPERATOR_KEY], b"");
        reply.json()[0]["in_progress"].as_u64() > Some(0)
    });
    cluster.daemons[0].signal("TERM");
    eventually("it says that it is not ready", || {
        request("GET", &cluster.daemons[0].address, "/readyz", &[], b"").status == 503
    });
    let reply = call.join().unwrap();
    assert!(is_whole(&reply, 150), "{}", reply.body);
    assert_eq!(cluster.daemons[0].wait(), Some(0));
    assert!(cluster.daemons[0].log().contains("name=stop-ended"));
}

#[test]
fn a_drained_backend_gets_no_new_work_from_any_node_with_the_stores_down() {
    let cluster = campaign_cluster("3");
    cluster.table.fault(json!({ "mode": "down" }));
    cluster.members.fault(json!({ "mode": "down" }));
    let (declared, left) = cluster.backends.iter().find(|(declared, _)| declared["kind"] == "plain").unwrap();
    let path = format!("/v1/backends/{}/drain", declared["name"].as_str().unwrap());
    assert_eq!(request("POST", &cluster.daemons[0].address, &path, &[OPERATOR_KEY], b"").status, 200);
    for daemon in &cluster.daemons {
        eventually("every node knows", || {
            let backends = request("GET", &daemon.address, "/v1/backends", &[OPERATOR_KEY], b"").json();
            let backends = backends.as_array().cloned().unwrap_or_default();
            backends.iter().any(|backend| backend["name"] == declared["name"] && backend["receives_work"] == false)
        });
    }
    let before = request("GET", &left.address, "/runs", &[], b"").body;
    for round in 0..12 {
        assert_eq!(record(&cluster, round % 3, None, &format!("after-{round}")).status, 200);
    }
    assert_eq!(request("GET", &left.address, "/runs", &[], b"").body, before, "no new work");
}

#[test]
fn a_call_that_must_not_repeat_is_sent_once_when_the_service_breaks() {
    let cluster = campaign_cluster("3");
    for (declared, process) in &cluster.backends {
        if declared["kind"] == "plain" {
            // Two each, so that both calls below meet it whichever backend server they are sent to.
            process.fault(json!({ "mode": "lose-answer", "count": 2 }));
        }
    }
    let first = record(&cluster, 0, Some("key-2"), "lost-answer");
    assert_eq!((first.status, first.json()["verdict"].as_str()), (502, Some("may-have-run")));
    let second = record(&cluster, 1, Some("key-2"), "lost-answer");
    assert_eq!(second.json()["verdict"].as_str(), Some("may-have-run"), "{}", second.body);
    assert_eq!(runs(&cluster, "lost-answer"), 1);
    let unkeyed = record(&cluster, 2, None, "lost-unkeyed");
    assert_eq!((unkeyed.status, unkeyed.json()["verdict"].as_str()), (502, Some("may-have-run")));
    assert_eq!(runs(&cluster, "lost-unkeyed"), 1, "not tried again on the other backend server");
}

/// Returns a cluster with this number of plain services, each of which crashes under calls whose body begins with
/// `fatal`.
fn cluster_of_fatal_calls(services: usize) -> Cluster {
    let mut cluster = campaign_cluster("3");
    let is_plain = |backend: &&(Value, support::Process)| backend.0["kind"] == "plain";
    for _ in cluster.backends.iter().filter(is_plain).count()..services {
        cluster.service("plain", "a");
    }
    cluster.declare(&PLACES);
    for (_, process) in cluster.backends.iter().filter(is_plain) {
        process.fault(json!({ "mode": "exit" }));
    }
    cluster
}

/// Returns the lines of each daemon's log that tell how contents were blocked and tried.
fn suspect_lines(cluster: &Cluster) -> Vec<Vec<String>> {
    const NAMES: [&str; 4] = ["server-ended", "request-held", "recovery-trial", "plain-broken"];
    let is_told = |line: &&str| NAMES.iter().any(|name| line.contains(name));
    let lines_of = |log: String| log.lines().filter(is_told).map(str::to_owned).collect();
    cluster.daemons.iter().map(|daemon| lines_of(daemon.log())).collect()
}

/// A call that ends each backend server that runs it comes again under other keys at any daemon. It is
/// sent to three of them, and from then on refused as not run, also by a daemon that starts later.
#[test]
fn a_call_that_ends_its_services_is_held_by_all_daemons() {
    let mut cluster = cluster_of_fatal_calls(6);
    let is_held = |reply: &Reply| {
        let kind = reply.json()["type"].as_str().unwrap_or_default().to_owned();
        kind.ends_with("content-held") && reply.header("retry-after").is_some()
    };
    let mut held = false;
    for arrival in 0..8 {
        let reply = record(&cluster, arrival % 3, Some(&format!("fatal-{arrival}")), "fatal record");
        assert!(reply.status == 502 || reply.status == 503, "{} {}", reply.status, reply.body);
        held |= is_held(&reply);
        std::thread::sleep(Duration::from_millis(900));
    }
    assert!(held, "the last arrivals are refused as held");
    cluster.daemon("a");
    cluster.settle();
    std::thread::sleep(Duration::from_millis(1_500));
    let newest = cluster.daemons.len() - 1;
    assert!(is_held(&record(&cluster, newest, Some("fatal-new"), "fatal record")), "a daemon that started just now");
    let mut plains = cluster.backends.iter_mut().filter(|(declared, _)| declared["kind"] == "plain");
    let ended = plains.by_ref().filter_map(|(_, process)| process.child.try_wait().unwrap()).count();
    assert!((3..=4).contains(&ended), "{ended} of 6 services ended: {:#?}", suspect_lines(&cluster));
    let other = record(&cluster, 0, Some("other"), "another record");
    assert_eq!(other.status, 200, "{}", other.body);
}

/// Returns the plain services whose processes run, by their places among the backend servers.
fn live_services(cluster: &mut Cluster) -> Vec<usize> {
    let backends = cluster.backends.iter_mut().enumerate();
    let plains = backends.filter(|(_, (declared, _))| declared["kind"] == "plain");
    plains
        .filter_map(|(service, (_, process))| process.child.try_wait().unwrap().is_none().then_some(service))
        .collect()
}

/// Sends a fatal call beside another one until it is blocked. Returns the number of calls.
fn block_fatal_call(cluster: &Cluster) -> usize {
    record(cluster, 0, Some("block-other"), "fatal other");
    let is_held = |reply: &Reply| reply.json()["type"].as_str().unwrap_or_default().ends_with("content-held");
    let arrival = (1..9).find(|arrival| {
        let reply = record(cluster, arrival % 3, Some(&format!("block-{arrival}")), "fatal record");
        std::thread::sleep(Duration::from_millis(900));
        is_held(&reply)
    });
    arrival.expect("three services crashed under the call")
}

/// Services crash under two calls within seconds, and then none of them does any more. Guards against calls that stay
/// blocked although the crashes may have another cause.
#[test]
fn a_call_that_was_blocked_beside_other_crashes_is_served_in_calm() {
    let mut cluster = cluster_of_fatal_calls(8);
    let mut arrivals = block_fatal_call(&cluster);
    for service in live_services(&mut cluster) {
        cluster.backends[service].1.fault(json!({ "mode": "none" }));
    }
    for _ in 0..3 {
        cluster.service("plain", "a");
    }
    cluster.declare(&PLACES);
    let until = Instant::now() + Duration::from_secs(15);
    loop {
        arrivals += 1;
        let reply = record(&cluster, arrivals % 3, Some(&format!("calm-{arrivals}")), "fatal record");
        if reply.status == 200 {
            break;
        }
        assert!(Instant::now() < until, "the call is still blocked: {:#?}", suspect_lines(&cluster));
        std::thread::sleep(Duration::from_millis(300));
    }
}

/// Guards against services that get no calls any more because a blocked call, which was not sent, counted as a failure
/// of theirs.
#[test]
fn refusals_of_a_blocked_call_are_no_failures_of_its_services() {
    let mut cluster = cluster_of_fatal_calls(8);
    block_fatal_call(&cluster);
    for round in 0..60 {
        record(&cluster, 0, Some(&format!("refused-{round}")), "fatal record");
    }
    for round in 0..100 {
        assert_eq!(record(&cluster, 0, Some(&format!("other-{round}")), "another record").status, 200);
    }
    let services = live_services(&mut cluster);
    let is_unused = |service: &&usize| {
        let address = &cluster.backends[**service].1.address;
        request("GET", address, "/runs", &[], b"").json() == json!({})
    };
    let unused: Vec<&usize> = services.iter().filter(is_unused).collect();
    assert!(unused.is_empty(), "{unused:?} got no calls: {:#?}", suspect_lines(&cluster));
}

#[test]
fn an_engine_that_names_no_version_makes_no_sample() {
    let cluster = campaign_cluster("3");
    cluster.backends[0].1.fault(json!({ "mode": "unlabelled" }));
    cluster.backends[2].1.fault(json!({ "mode": "swap-fails", "count": 3 }));
    cluster.publish(2);
    assert_eq!(cluster.submit(0, 0, 2, 4).status, 200);
    // A step that accepts any version at all must not accept an engine that names none.
    assert_eq!(cluster.submit(0, 1, 1, 4).status, 200);
    let mut samples = cluster.take(0, 0);
    check_samples(&samples, 8, &PLACES);
    let any_version = cluster.take(0, 1);
    check_samples(&any_version, 8, &PLACES);
    samples.extend(any_version);
    let unlabelled = cluster.backends[0].0["name"].clone();
    let used =
        |sample: &Value| sample["versions"].as_array().unwrap().iter().any(|range| range["engine"] == unlabelled);
    assert!(!samples.iter().any(used));
}

#[test]
fn a_restarted_daemon_takes_the_generation_of_its_peers_with_the_stores_down() {
    let mut cluster = campaign_cluster("3");
    cluster.table.fault(json!({ "mode": "down" }));
    cluster.objects.fault(json!({ "mode": "down" }));
    let fresh = cluster.daemon("b").address.clone();
    eventually("the new node is ready", || request("GET", &fresh, "/readyz", &[], b"").status == 200);
    let reply = complete(&cluster, 3, 8);
    assert!(is_whole(&reply, 8), "{} {}", reply.status, reply.body);
}

#[test]
fn a_keyed_call_is_ended_although_its_caller_went_away() {
    let cluster = campaign_cluster("3");
    for (declared, process) in &cluster.backends {
        if declared["kind"] == "plain" {
            process.fault(json!({ "mode": "slow", "delay_ms": 700, "count": 100 }));
        }
    }
    let address = &cluster.daemons[0].address;
    let head = format!(
        "POST /v1/services/plain/records HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {USER_KEY}\r\n\
         idempotency-key: key-3\r\ncontent-length: 9\r\n\r\nwent-away"
    );
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut stream, head.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    drop(stream);
    eventually("the retry through another node gets the answer", || {
        record(&cluster, 1, Some("key-3"), "went-away").status == 200
    });
    assert_eq!(runs(&cluster, "went-away"), 1);
}

#[test]
fn samples_in_progress_outside_narrowed_places_are_made_again_inside() {
    let cluster = campaign_cluster("60");
    assert_eq!(cluster.submit(0, 0, 1, 6).status, 200);
    wait_until_making(&cluster);
    let recorded =
        |cluster: &Cluster| cluster.daemons.iter().any(|daemon| daemon.log().contains("name=group-recorded"));
    assert!(!recorded(&cluster), "nothing is recorded before the change");
    cluster.declare(&["a"]);
    check_samples(&cluster.take(0, 0), 12, &["a"]);
}

#[test]
fn a_sealed_step_that_is_too_old_for_its_trainer_by_now_is_not_delivered() {
    let cluster = campaign_cluster("1");
    assert_eq!(cluster.submit(0, 0, 1, 2).status, 200);
    check_samples(&cluster.take(0, 0), 4, &PLACES);
    let take = |version: u64| {
        let path = format!("/v1/campaigns/campaign/steps/0/samples?trainer_version={version}");
        request("GET", &cluster.daemons[1].address, &path, &[USER_KEY], b"")
    };
    assert_eq!(take(2).status, 200, "one version old is within the bound");
    let late = take(3);
    assert_eq!(late.status, 409);
    assert!(late.json()["type"].as_str().unwrap().ends_with("too-stale"), "{}", late.body);
}
