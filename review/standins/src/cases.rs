//! The scripted cases.

use crate::engine::{Engine, EngineSettings, Preemption, Run, start_plain};
use crate::http::{self, Connection};
use crate::json::{Json, encode_base64};
use crate::link::{self, Cut};
use crate::record::Record;
use crate::store::Store;
use crate::system::{Daemon, NodeAddresses};
use crate::{Outcome, Setting};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Host of all routes.
const HOST: &str = "desk.example";

/// Time for which an engine may still work on a request that goes on at another one.
const TWICE_LIMIT: Duration = Duration::from_millis(400);

/// Time after its route's time-out by which a request must have its final answer.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Seconds after its submission for which a batch job that was ended can be read (`status_s`).
const STATUS_S: u64 = 120;

/// The platform, the servers and the daemons of a case.
struct Deployment {
    store: Store,
    engines: Arc<Mutex<Vec<Arc<Engine>>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    daemons: Vec<Daemon>,
    /// Links of each daemon to the store and to the other daemons.
    cuts: Vec<Cut>,
}

impl Deployment {
    /// Starts everything and waits until all daemons are ready.
    fn start(
        setting: &Setting,
        daemons: usize,
        engines: usize,
        settings: impl Fn() -> EngineSettings,
    ) -> Result<Self, String> {
        Self::start_keeping(setting, daemons, engines, STATUS_S, settings)
    }

    /// Like [`Self::start`], with another time for which batch jobs can be read.
    fn start_keeping(
        setting: &Setting,
        daemons: usize,
        engines: usize,
        status_s: u64,
        settings: impl Fn() -> EngineSettings,
    ) -> Result<Self, String> {
        let record = &setting.record;
        let store = Store::new();
        let runs = Arc::default();
        let start = |number| Engine::start(&format!("i-engine-{number}"), 1, settings(), record, &runs);
        let engines: Vec<Arc<Engine>> = (0..engines).map(start).collect();
        let engines = Arc::new(Mutex::new(engines));
        let desk = start_plain("i-desk-0", Duration::from_millis(30), record);
        store.put("op", "config", &config());
        keep_registered(&store, &engines, desk);
        let addresses: Vec<NodeAddresses> = (0..daemons).map(|_| NodeAddresses::free()).collect();
        let cuts: Vec<Cut> = (0..daemons).map(|_| Cut::default()).collect();
        let mut started = Vec::new();
        for (number, own) in addresses.iter().enumerate() {
            let others = addresses.iter().zip(&cuts).enumerate().filter(|(other, _)| *other != number);
            let replaced: Vec<(String, String)> = others
                .map(|(_, (other, cut))| {
                    let target: SocketAddr = other.peer.parse().expect("an address was chosen");
                    (other.peer.clone(), link::forward(target, &[&cuts[number], cut]))
                })
                .collect();
            if replaced.iter().any(|(from, to)| from.len() != to.len()) {
                return Err("the free ports differ in length".into());
            }
            let seeds: Vec<String> = replaced.iter().map(|(_, to)| to.clone()).collect();
            let store = link::forward(store.serve(replaced), &[&cuts[number]]);
            let name = format!("edge-obihiro-{}", number + 1);
            let daemon = Daemon::start(&setting.scratch, &name, own, &store, &seeds, status_s);
            started.push(daemon.ok_or("target/release/trestlerackd does not start")?);
        }
        if !started.iter().all(|daemon| daemon.wait_ready(record)) {
            return Err("a daemon does not become ready".into());
        }
        // Every daemon has to know the others.
        std::thread::sleep(Duration::from_secs(2));
        Ok(Self { store, engines, runs, daemons: started, cuts })
    }

    fn engine(&self, number: usize) -> Arc<Engine> {
        self.engines.lock().unwrap()[number].clone()
    }

    fn client_address(&self, number: usize) -> &str {
        &self.daemons[number].addresses.client
    }

    fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

/// Time without heartbeats after which an entry is removed: three intervals.
const ENTRY_TIME: Duration = Duration::from_millis(3_600);

/// Writes the entries of all servers at the pace of their heartbeats. An engine that has crashed sends nothing.
fn keep_registered(store: &Store, engines: &Arc<Mutex<Vec<Arc<Engine>>>>, desk: SocketAddr) {
    let (store, engines) = (store.clone(), engines.clone());
    let write = move |beat: u64| {
        let engines = engines.lock().unwrap().clone();
        for engine in engines.iter().filter(|engine| !engine.has_crashed()) {
            store.put("servers", &engine.instance, &engine.entry(beat));
        }
        let entry = format!(
            "{{\"service\":\"desk\",\"addr\":\"{desk}\",\"zone\":\"obihiro\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{beat}}}"
        );
        store.put("servers", "i-desk-0", &entry);
    };
    write(1);
    std::thread::spawn(move || {
        for beat in 2.. {
            std::thread::sleep(Duration::from_millis(1_200));
            write(beat);
        }
    });
}

/// Time-out of the streaming routes in milliseconds.
const STREAM_TIMEOUT_MS: u64 = 3_000;

fn config() -> String {
    let route = |name: &str, prefix: &str, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"priority\":1,\
             \"service\":\"{service}\",{more}}}"
        )
    };
    let routes = [
        route(
            "lots",
            "/lots/",
            "engines",
            "\"kind\":\"rollout\",\"timeout_ms\":10000,\"target_latency_ms\":400,\"due_ms\":12000,\"max_wait_s\":40,\
             \"max_attempts\":3,\"sticky_sessions\":true",
        ),
        route(
            "scores",
            "/scores/",
            "desk",
            "\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"max_attempts\":4",
        ),
        route(
            "chat",
            "/chat/",
            "engines",
            &format!(
                "\"kind\":\"unsafe\",\"streaming\":true,\"timeout_ms\":{STREAM_TIMEOUT_MS},\"target_latency_ms\":1000,\
                 \"max_attempts\":3,\"sticky_sessions\":true"
            ),
        ),
        route(
            "drafts",
            "/drafts/",
            "engines",
            "\"kind\":\"safe\",\"streaming\":true,\"resumable\":true,\"timeout_ms\":10000,\"target_latency_ms\":1500,\
             \"max_attempts\":3,\"sticky_sessions\":true",
        ),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[\
         {{\"name\":\"engines\",\"health_path\":\"/healthz\",\"max_conns\":170,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":12,\"kv_capacity\":83311,\"models\":[{{\"name\":\"m0\"}}]}}}},\
         {{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// Finds requests that went on at another engine while the engine before still worked on them after the limit.
/// Only runs that began before `before` count as runs of the engine before.
fn find_double_work(record: &Record, runs: &[Run], before: Instant) -> usize {
    let mut found = 0;
    for later in runs.iter().filter(|run| run.after.is_some()) {
        let limit = later.began + TWICE_LIMIT;
        let is_still_working = |run: &&Run| {
            run.id == later.id
                && run.engine != later.engine
                && run.began < later.began
                && run.began < before
                && run.ended.is_none_or(|ended| ended > limit)
        };
        for earlier in runs.iter().filter(is_still_working) {
            found += 1;
            let ended = earlier.ended.map_or("not at all".to_owned(), |ended| format!("{:.3}", record.seconds(ended)));
            record.write(&format!(
                "TWICE: {} went on at {} at {:.3} after event {:?}; {} worked on it since {:.3} and stopped at {ended}",
                later.id,
                later.engine,
                record.seconds(later.began),
                later.after,
                earlier.engine,
                record.seconds(earlier.began),
            ));
        }
    }
    found
}

/// Items of the job, and the number of them in each group.
const ITEMS: usize = 8;
const GROUP_SIZE: usize = 4;

/// Time for which the machine is cut off.
const CUT_TIME: Duration = Duration::from_millis(2_200);

/// A machine that is cut off from the store and from the other machines comes back while another machine, which nothing
/// has happened to, drives a batch job with long items.
pub fn stale_driver(setting: &Setting) -> Outcome {
    let engine_settings = || EngineSettings {
        slots: 12,
        prefill: Duration::from_millis(20),
        event_time: Duration::from_millis(40),
        events: |_| 160,
    };
    let deployment = match Deployment::start(setting, 3, 3, engine_settings) {
        Ok(deployment) => deployment,
        Err(why) => return Outcome::NotRun(why),
    };
    let record = &setting.record;
    let job = "7c41e09b52d6a3f8";
    let items: Vec<String> = (0..ITEMS)
        .map(|number| {
            let body = encode_base64(format!("prompt {number}").as_bytes());
            format!(
                "{{\"id\":\"item{number:012}\",\"path\":\"/lots/3/{number}\",\"headers\":{{\"Model\":\"m0\",\
                 \"Token-Usage\":\"540,400\",\"Prompt-Prefix\":\"9c2e41:300,5d07b{number}:240\"}},\"body\":\"{body}\",\
                 \"tokens\":940,\"group\":\"g{}\",\"scorer\":{{\"id\":\"score{number:011}\",\"host\":\"{HOST}\",\
                 \"path\":\"/scores/1\",\"body\":\"{body}\"}}}}",
                number / GROUP_SIZE
            )
        })
        .collect();
    let body = format!(
        "{{\"step\":0,\"model\":\"m0\",\"min_version\":1,\"target_groups\":2,\"requests\":[{}]}}",
        items.join(",")
    );
    let headers = [("Host", HOST), ("Request-Id", job), ("Content-Type", "application/json")];
    let limit = Duration::from_secs(4);
    let answer = http::call(deployment.client_address(0), "POST", "/lots/1", &headers, body.as_bytes(), limit);
    let status = answer.map(|(status, _)| status);
    record.write(&format!("client submits {job} at {}: {status:?}", deployment.daemons[0].name));
    if status != Some(202) {
        return Outcome::NotRun("the job was not accepted".into());
    }
    std::thread::sleep(Duration::from_millis(300));
    let is_driving = |daemon: &Daemon| !daemon.log_lines(&format!("name=job-driven job={job}")).is_empty();
    let Some(owner) = deployment.daemons.iter().position(is_driving) else {
        return Outcome::NotRun("no daemon drives the job".into());
    };
    record.write(&format!("{} drives the job", deployment.daemons[owner].name));
    let cut_off = (owner + 1) % deployment.daemons.len();
    if setting.has_trouble {
        record.write(&format!("{} is cut off from the store and the other machines", deployment.daemons[cut_off].name));
        deployment.cuts[cut_off].set(true);
    }
    std::thread::sleep(CUT_TIME);
    let healed = Instant::now();
    if setting.has_trouble {
        deployment.cuts[cut_off].set(false);
        record.write(&format!("{} is back", deployment.daemons[cut_off].name));
    }
    let is_complete = read_results(record, deployment.client_address(owner), job);
    for daemon in &deployment.daemons {
        for text in ["job-driven", "job-taken", "owner-silent", "job-left", "store-lost", "store-regained"] {
            daemon
                .log_lines(&format!("name={text}"))
                .iter()
                .for_each(|line| record.write(&format!("log: {} {line}", daemon.name)));
        }
    }
    if !is_complete {
        return Outcome::NotRun("the job did not become complete".into());
    }
    if find_double_work(record, &deployment.runs(), healed) > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Reads the results of a job until it is complete, and ends it. Returns whether it became complete.
fn read_results(record: &Record, address: &str, job: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(30);
    let mut next = 0;
    while Instant::now() < until {
        let path = format!("/trestlerack/lots/{job}?after={next}");
        let headers = [("Host", HOST), ("Wait-Ms", "1000")];
        let answer = http::call(address, "GET", &path, &headers, b"", Duration::from_millis(2_500));
        let Some((status, body)) = answer else { continue };
        let page = std::str::from_utf8(&body).ok().and_then(Json::parse);
        let Some(page) = page.filter(|_| status == 200) else {
            record.write(&format!("client reads {job} from {next}: {status}"));
            std::thread::sleep(Duration::from_millis(200));
            continue;
        };
        for result in page.list("results") {
            record.write(&format!("client reads result {next}: {} {}", result.text("id"), result.text("state")));
            next += 1;
        }
        if next as u64 >= page.number("total") {
            let answer = http::call(
                address,
                "DELETE",
                &format!("/trestlerack/lots/{job}"),
                &headers[..1],
                b"",
                Duration::from_secs(3),
            );
            record.write(&format!("client ends {job}: {:?}", answer.map(|(status, _)| status)));
            return true;
        }
    }
    false
}

/// How a stream ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StreamEnd {
    /// The whole stream arrived.
    Complete,
    /// Another status than 200 was answered.
    Status(u16),
    /// The connection ended, or the client left after the gap that it bears.
    Broken,
    Left,
}

/// A stream as its client saw it.
#[derive(Clone, Debug)]
struct ClientStream {
    id: String,
    /// Engine that signed the response.
    engine: String,
    started: Instant,
    ended: Instant,
    events: usize,
    end: StreamEnd,
}

/// Reads one stream on a connection of its own. Clients leave after a gap of `gap`.
fn read_stream(address: &str, path: &str, id: &str, deadline_ms: u64, gap: Duration) -> ClientStream {
    let started = Instant::now();
    let mut stream = ClientStream {
        id: id.into(),
        engine: String::new(),
        started,
        ended: started,
        events: 0,
        end: StreamEnd::Broken,
    };
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Ms", &*deadline),
        ("Model", "m0"),
        ("Token-Usage", "540,400"),
        ("Prompt-Prefix", "9c2e41:300,5d07b8:240"),
    ];
    stream.end = read_events(address, path, &headers, gap, &mut stream);
    stream.ended = Instant::now();
    stream
}

fn read_events(
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    gap: Duration,
    stream: &mut ClientStream,
) -> StreamEnd {
    let Some(mut connection) = Connection::open(address, gap) else { return StreamEnd::Broken };
    let mut last = Instant::now();
    let ended = |last: Instant| if last.elapsed() >= gap { StreamEnd::Left } else { StreamEnd::Broken };
    let Some(head) = connection.send("POST", path, headers, b"prompt") else { return ended(last) };
    if head.status != 200 {
        return StreamEnd::Status(head.status);
    }
    let stamp = head.headers.get("response-stamp").cloned().unwrap_or_default();
    stream.engine = stamp.split('.').next().unwrap_or("").to_owned();
    loop {
        last = Instant::now();
        match connection.read_chunk() {
            Some(chunk) if chunk.is_empty() => return StreamEnd::Complete,
            Some(chunk) => stream.events += String::from_utf8_lossy(&chunk).matches("id: ").count(),
            None => return ended(last),
        }
    }
}

/// Starts streams at the daemons in turn and returns how they ended. `meanwhile` runs beside them.
fn read_streams(
    deployment: &Deployment,
    path: &str,
    count: usize,
    deadline_ms: u64,
    gap: Duration,
    meanwhile: impl FnOnce(),
) -> Vec<ClientStream> {
    let clients: Vec<_> = (0..count)
        .map(|number| {
            let address = deployment.client_address(number % deployment.daemons.len()).to_owned();
            let path = format!("{path}{number}");
            std::thread::sleep(Duration::from_millis(5));
            std::thread::spawn(move || read_stream(&address, &path, &format!("stream{number:010}"), deadline_ms, gap))
        })
        .collect();
    meanwhile();
    clients.into_iter().filter_map(|client| client.join().ok()).collect()
}

fn record_streams(record: &Record, streams: &[ClientStream]) {
    for stream in streams {
        record.write(&format!(
            "client: {} of {} sent at {:.3}, {} events, {:?} after {:.3} s",
            stream.id,
            stream.engine,
            record.seconds(stream.started),
            stream.events,
            stream.end,
            (stream.ended - stream.started).as_secs_f64()
        ));
    }
}

/// Time for which the engine is dark.
const DARK_TIME: Duration = Duration::from_millis(3_800);

/// One of eight engines goes dark in the middle of its streams, on a route whose streams may not be resumed.
pub fn stream_timeout(setting: &Setting) -> Outcome {
    const STREAMS: usize = 80;
    let engine_settings = || EngineSettings {
        slots: 12,
        prefill: Duration::from_millis(20),
        event_time: Duration::from_millis(40),
        events: |_| 40,
    };
    let deployment = match Deployment::start(setting, 2, 8, engine_settings) {
        Ok(deployment) => deployment,
        Err(why) => return Outcome::NotRun(why),
    };
    let record = &setting.record;
    let engine = deployment.engine(0);
    let go_dark = || {
        std::thread::sleep(Duration::from_millis(400));
        if setting.has_trouble {
            record.write(&format!("{} goes dark", engine.instance));
            engine.is_dark.store(true, Ordering::SeqCst);
            std::thread::sleep(DARK_TIME);
            engine.crash();
        }
    };
    // Four times the objective of the route.
    let gap = Duration::from_secs(4);
    let streams = read_streams(&deployment, "/chat/", STREAMS, 8_000, gap, go_dark);
    record_streams(record, &streams);
    let started = streams.iter().filter(|stream| stream.events > 0).count();
    if started < STREAMS / 2 {
        return Outcome::NotRun(format!("only {started} of {STREAMS} streams began"));
    }
    let timeout = Duration::from_millis(STREAM_TIMEOUT_MS);
    let took = |stream: &&ClientStream| stream.ended - stream.started;
    let long = streams.iter().filter(|stream| took(stream) > timeout).count();
    let late = streams.iter().filter(|stream| took(stream) > timeout + TIMEOUT_SLACK).count();
    record.write(&format!("{long} requests lasted longer than the route's time-out, {late} of them 0.5 s longer"));
    if late >= 8 && late * 4 > long { Outcome::Broken } else { Outcome::Held }
}

/// An engine preempts some of its streams for longer than the daemon waits for an event, then goes on with them.
pub fn stream_resume(setting: &Setting) -> Outcome {
    const STREAMS: usize = 8;
    let engine_settings = || EngineSettings {
        slots: 12,
        prefill: Duration::from_millis(600),
        event_time: Duration::from_millis(40),
        events: |_| 60,
    };
    let deployment = match Deployment::start(setting, 2, 3, engine_settings) {
        Ok(deployment) => deployment,
        Err(why) => return Outcome::NotRun(why),
    };
    let record = &setting.record;
    if setting.has_trouble {
        for engine in deployment.engines.lock().unwrap().iter() {
            let mut preemptions = engine.preemptions.lock().unwrap();
            for number in 0..STREAMS {
                let pause = Duration::from_millis(1_700);
                preemptions.insert(format!("stream{number:010}"), Preemption { before: 10, pause });
            }
        }
    }
    let streams = read_streams(&deployment, "/drafts/", STREAMS, 10_000, Duration::from_secs(6), || {});
    record_streams(record, &streams);
    if streams.iter().all(|stream| stream.events == 0) {
        return Outcome::NotRun("no stream began".into());
    }
    std::thread::sleep(Duration::from_millis(600));
    let now = Instant::now();
    if find_double_work(record, &deployment.runs(), now) > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Engines, groups of a step, and items of a group.
const TRAINED_ENGINES: usize = 11;
const GROUPS: usize = 56;
const TRAINED_GROUP_SIZE: usize = 4;

/// Groups that the trainer waits for, besides those that come again.
const TARGET_GROUPS: usize = 50;

/// Time after which the trainer gives a step up.
const STEP_DEADLINE: Duration = Duration::from_secs(12);

/// Number of times that engines crash, the pause between, the number that crash at once, and for how long.
const CRASHES: usize = 10;
const CRASH_PAUSE: Duration = Duration::from_millis(800);
const CRASHED_AT_ONCE: usize = 2;
const CRASH_TIME: Duration = Duration::from_millis(1_500);

/// Steps of a round. Engines crash at the start of a round, and the other steps are asked for while all is calm or will
/// be. As the engines that crash are drawn by lot, another round follows if one showed nothing.
const ROUND_STEPS: usize = 3;
const ROUNDS: usize = 3;

/// Bounds of the rule: time at no engine, time without a new version, and time after a disruption until it is over.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
const VERSION_LIMIT: Duration = Duration::from_secs(6);
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Returns the number of events of an item: the items of one group of eight are long.
fn item_events(id: &str) -> u64 {
    let number = |text: &str| text.parse::<u64>().unwrap_or(0);
    let (group, item) = id.split_once('-').map_or((0, 0), |(group, item)| (number(prompt_of(group)), number(item)));
    if group % 8 == 5 { 150 + (group + 11 * item) % 16 } else { 8 + (group * 7 + 3 * item) % 13 }
}

/// One step of the trainer.
struct Step {
    job: String,
    groups: Vec<String>,
    submitted: Instant,
    ended: Instant,
    listed: Vec<String>,
    /// Whether the trainer got all groups that it waits for.
    is_done: bool,
}

/// Returns the prompt of a group. The steps of a round ask for the same prompts, under other ids.
fn prompt_of(group: &str) -> &str {
    group.split_once('p').map_or(group, |(_, prompt)| prompt)
}

fn group_items(group: &str) -> Vec<String> {
    (0..TRAINED_GROUP_SIZE).map(|number| format!("{group}-{number}")).collect()
}

fn step_body(step: usize, min_version: u64, groups: &[String]) -> String {
    let items: Vec<String> = groups
        .iter()
        .flat_map(|group| group_items(group).into_iter().map(move |item| (group, item)))
        .map(|(group, item)| {
            let prompt = prompt_of(group);
            let body = encode_base64(format!("prompt {prompt}").as_bytes());
            format!(
                "{{\"id\":\"{item}\",\"path\":\"/lots/3/{prompt}\",\"headers\":{{\"Model\":\"m0\",\
                 \"Token-Usage\":\"1016,200\",\"Prompt-Prefix\":\"9c2e41:1000\"}},\"body\":\"{body}\",\"tokens\":1216,\
                 \"group\":\"{group}\",\"scorer\":{{\"id\":\"score-{item}\",\"host\":\"{HOST}\",\"path\":\"/scores/1\",\
                 \"body\":\"{body}\"}}}}"
            )
        })
        .collect();
    format!(
        "{{\"step\":{step},\"model\":\"m0\",\"min_version\":{min_version},\"target_groups\":{TARGET_GROUPS},\
         \"requests\":[{}]}}",
        items.join(",")
    )
}

/// Submits a step, reads its results until the trainer has what it waits for or the deadline passes, and ends it.
fn run_step(
    record: &Record,
    deployment: &Deployment,
    number: usize,
    groups: Vec<String>,
    carried: usize,
) -> Option<Step> {
    let job = format!("step{number:012}");
    let body = step_body(number, number.max(1) as u64, &groups);
    let headers = [("Host", HOST), ("Request-Id", &*job), ("Content-Type", "application/json")];
    let submitted = Instant::now();
    let limit = Duration::from_secs(4);
    let answer = http::call(deployment.client_address(0), "POST", "/lots/1", &headers, body.as_bytes(), limit);
    let status = answer.map(|(status, _)| status);
    record.write(&format!("trainer submits {job}, {} groups, {carried} of them again: {status:?}", groups.len()));
    if status != Some(202) {
        return None;
    }
    let mut step = Step { job: job.clone(), groups, submitted, ended: submitted, listed: Vec::new(), is_done: false };
    while submitted.elapsed() < STEP_DEADLINE && !step.is_done {
        std::thread::sleep(Duration::from_millis(250));
        let path = format!("/trestlerack/lots/{}?after={}", step.job, step.listed.len());
        let answer = http::call(deployment.client_address(1), "GET", &path, &headers[..1], b"", Duration::from_secs(2));
        let page = answer.filter(|(status, _)| *status == 200);
        let page = page.and_then(|(_, body)| String::from_utf8(body).ok()).and_then(|text| Json::parse(&text));
        step.listed
            .extend(page.iter().flat_map(|page| page.list("results")).map(|result| result.text("id").to_owned()));
        let is_whole = |group: &&String| group_items(group).iter().all(|item| step.listed.contains(item));
        let again = step.groups[..carried].iter().filter(is_whole).count();
        let fresh = step.groups[carried..].iter().filter(is_whole).count();
        step.is_done = again == carried && again + fresh >= TARGET_GROUPS;
    }
    step.ended = Instant::now();
    let path = format!("/trestlerack/lots/{}", step.job);
    let answer = http::call(deployment.client_address(2), "DELETE", &path, &headers[..1], b"", Duration::from_secs(3));
    let (listed, total) = (step.listed.len(), step.groups.len() * TRAINED_GROUP_SIZE);
    let why = if step.is_done { "it has what it waits for" } else { "its time is up" };
    let status = answer.map(|(status, _)| status);
    record.write(&format!("trainer ends {} with {listed} of {total} results, as {why}: {status:?}", step.job));
    Some(step)
}

/// Returns the groups of a step without all results, at most half of those that the trainer waits for.
fn incomplete_groups(step: &Step) -> Vec<String> {
    let is_open = |group: &&String| group_items(group).iter().any(|item| !step.listed.contains(item));
    step.groups.iter().filter(is_open).take(TARGET_GROUPS / 2).cloned().collect()
}

/// Finds items because of which a step ran out of time, though an engine could have run them. Returns how many of them
/// never were at an engine; whatever became of the runs of the others, no engine has finished or failed these.
fn find_lost_items(
    record: &Record,
    deployment: &Deployment,
    step: &Step,
    last_trouble: Option<Instant>,
    last_version: Option<Instant>,
) -> usize {
    let runs = deployment.runs();
    let is_old = |at: Option<Instant>, limit: Duration| at.is_none_or(|at| at + limit <= step.ended);
    let is_steady = is_old(last_trouble, STABLE_TIME + IDLE_LIMIT);
    let others_began = runs.iter().any(|run| run.began > step.submitted);
    let at_work = runs.iter().filter(|run| run.began < step.ended && run.ended.is_none_or(|ended| ended > step.ended));
    let is_under_half = at_work.count() * 2 < TRAINED_ENGINES * 12;
    if step.is_done || !is_steady || !others_began || !is_under_half || !is_old(last_version, VERSION_LIMIT) {
        return 0;
    }
    let since = (step.ended - IDLE_LIMIT).max(step.submitted);
    if since > step.ended - IDLE_LIMIT {
        return 0;
    }
    let items = step.groups.iter().flat_map(|group| group_items(group)).filter(|item| !step.listed.contains(item));
    let mut found = 0;
    for item in items {
        let of_item: Vec<&Run> = runs.iter().filter(|run| run.id == item).collect();
        let is_finished = of_item.iter().any(|run| run.end == "complete");
        let was_idle = of_item.iter().all(|run| run.ended.is_some_and(|ended| ended <= since));
        if !is_finished && was_idle {
            found += usize::from(of_item.is_empty());
            let ends: Vec<String> = of_item.iter().map(|run| format!("{} {}", run.engine, run.end)).collect();
            let runs = if ends.is_empty() {
                "was never at an engine".into()
            } else {
                format!("had the runs {}", ends.join(", "))
            };
            record.write(&format!(
                "LOST: {} ran out of time at {:.3}; {item} {runs}",
                step.job,
                record.seconds(step.ended)
            ));
        }
    }
    found
}

/// Engines crash several times within some seconds and are back soon; afterwards all is calm.
pub fn held_items(setting: &Setting) -> Outcome {
    let engine_settings = || EngineSettings {
        slots: 12,
        prefill: Duration::from_millis(20),
        event_time: Duration::from_millis(40),
        events: item_events,
    };
    let deployment = match Deployment::start(setting, 3, TRAINED_ENGINES, engine_settings) {
        Ok(deployment) => deployment,
        Err(why) => return Outcome::NotRun(why),
    };
    let record = &setting.record;
    let last_trouble = Arc::new(Mutex::new(None));
    // The steps of a round ask for the same prompts.
    let fresh = |step: usize, count: usize| -> Vec<String> {
        let round = step / ROUND_STEPS;
        (0..count).map(|number| format!("g{step}p{round}{number:03}")).collect()
    };
    let mut last_version = None;
    let mut groups = fresh(0, GROUPS);
    let mut carried = 0;
    let mut lost = 0;
    for number in 0..ROUNDS * ROUND_STEPS {
        let is_round_start = number % ROUND_STEPS == 0;
        if is_round_start && lost > 0 {
            break;
        }
        if is_round_start && setting.has_trouble {
            start_crashes(record, &deployment, engine_settings, &last_trouble, SEED + number as u64);
        }
        let Some(step) = run_step(record, &deployment, number, groups, carried) else {
            return Outcome::NotRun("a step was not accepted".into());
        };
        lost += find_lost_items(record, &deployment, &step, *last_trouble.lock().unwrap(), last_version);
        groups = incomplete_groups(&step);
        carried = groups.len();
        groups.extend(fresh(number + 1, GROUPS - carried));
        // The trainer trains, and names the next version.
        std::thread::sleep(Duration::from_millis(500));
        let version = number + 2;
        deployment.store.put("op", "version/m0", &format!("{{\"model\":\"m0\",\"version\":{version}}}"));
        record.write(&format!("trainer names version {version}"));
        last_version = Some(Instant::now());
    }
    for daemon in &deployment.daemons {
        for text in ["content-held", "request-held"] {
            daemon
                .log_lines(&format!("name={text}"))
                .iter()
                .for_each(|line| record.write(&format!("log: {} {line}", daemon.name)));
        }
    }
    if lost > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Seed of the lot that chooses the engines that crash.
const SEED: u64 = 20_261_204;

/// Crashes engines in the background. Each comes back at another address under another id.
fn start_crashes(
    record: &Record,
    deployment: &Deployment,
    settings: impl Fn() -> EngineSettings + Send + Copy + 'static,
    last_trouble: &Arc<Mutex<Option<Instant>>>,
    seed: u64,
) {
    let (record, last_trouble) = (record.clone(), last_trouble.clone());
    let (engines, runs, store) = (deployment.engines.clone(), deployment.runs.clone(), deployment.store.clone());
    std::thread::spawn(move || {
        // A small generator of numbers that are the same in each run.
        let mut state = seed;
        for crash in 0..CRASHES {
            std::thread::sleep(CRASH_PAUSE);
            let mut chosen: Vec<usize> = Vec::new();
            while chosen.len() < CRASHED_AT_ONCE {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let number = (state >> 33) as usize % TRAINED_ENGINES;
                if !chosen.contains(&number) && !engines.lock().unwrap()[number].has_crashed() {
                    chosen.push(number);
                }
            }
            for number in chosen {
                let (engine, engines, runs, store) =
                    (engines.lock().unwrap()[number].clone(), engines.clone(), runs.clone(), store.clone());
                let (record, last_trouble) = (record.clone(), last_trouble.clone());
                engine.crash();
                std::thread::spawn(move || {
                    std::thread::sleep(CRASH_TIME);
                    let instance = format!("i-engine-{number}-{}", seed % 100 * 100 + crash as u64 + 1);
                    let next = Engine::start(&instance, engine.version(), settings(), &record, &runs);
                    store.put("servers", &instance, &next.entry(1));
                    record.write(&format!("{instance} starts"));
                    engines.lock().unwrap()[number] = next;
                    *last_trouble.lock().unwrap() = Some(Instant::now());
                    std::thread::sleep(ENTRY_TIME - CRASH_TIME);
                    store.remove("servers", &engine.instance);
                });
            }
        }
    });
}

/// `status_s` of the case of open jobs. The sheets say 120, which is as long as a script may run.
const SHORT_STATUS_S: u64 = 100;

/// Trainers, one of which leaves; a share of 0.2.
const TRAINERS: usize = 5;

/// Interval at which another client reads the batch jobs, and for how long it does so after `status_s`.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);
const LOOKS_AFTER: Duration = Duration::from_secs(6);

/// A client leaves after its batch job was accepted and never ends it; another client reads the job on.
pub fn open_job(setting: &Setting) -> Outcome {
    let engine_settings = || EngineSettings {
        slots: 12,
        prefill: Duration::from_millis(20),
        event_time: Duration::from_millis(40),
        events: item_events,
    };
    let deployment = match Deployment::start_keeping(setting, 3, 3, SHORT_STATUS_S, engine_settings) {
        Ok(deployment) => deployment,
        Err(why) => return Outcome::NotRun(why),
    };
    let record = &setting.record;
    let submitted = Instant::now();
    let mut open = Vec::new();
    for number in 0..TRAINERS {
        let job = format!("job{number:013}");
        let body = step_body(0, 1, &[format!("g{number}p{number:03}")]);
        let headers = [("Host", HOST), ("Request-Id", &*job), ("Content-Type", "application/json")];
        let limit = Duration::from_secs(4);
        let address = deployment.client_address(number % 3);
        let answer = http::call(address, "POST", "/lots/1", &headers, body.as_bytes(), limit);
        let status = answer.map(|(status, _)| status);
        record.write(&format!("trainer {number} submits {job}: {status:?}"));
        if status != Some(202) {
            return Outcome::NotRun("a job was not accepted".into());
        }
        if setting.has_trouble && number == 0 {
            record.write(&format!("trainer {number} leaves"));
            open.push(job);
        } else if !read_results(record, address, &job) {
            return Outcome::NotRun(format!("{job} did not become complete"));
        }
    }
    let mut lost = 0;
    for look in 0.. {
        std::thread::sleep(LOOK_INTERVAL);
        let address = deployment.client_address(look % 3);
        for job in &open {
            let path = format!("/trestlerack/lots/{job}?after=0");
            let answer = http::call(address, "GET", &path, &[("Host", HOST)], b"", Duration::from_millis(2_500));
            let status = answer.as_ref().map(|(status, _)| *status);
            let page = answer.and_then(|(_, body)| String::from_utf8(body).ok()).and_then(|text| Json::parse(&text));
            let results = page.map_or(0, |page| page.list("results").len());
            let age = submitted.elapsed().as_secs();
            record.write(&format!("another client reads {job}, open, {age} s old: {status:?}, {results} results"));
            if matches!(status, Some(404 | 410)) {
                lost += 1;
                record.write(&format!("LOST: {job} was accepted, nobody has ended it, and it cannot be read"));
            }
        }
        if submitted.elapsed() >= Duration::from_secs(SHORT_STATUS_S) + LOOKS_AFTER {
            break;
        }
    }
    if lost > 0 { Outcome::Broken } else { Outcome::Held }
}
