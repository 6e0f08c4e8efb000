//! Placement limits in the soak: a restricted route, a service with cold servers, and an evacuated zone; see
//! [docs/design/placement-limits.md](../../../../../docs/design/placement-limits.md).

use super::super::support::*;
use super::cluster::{FaultScope, SoakCluster};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Zones with their regions. A server is in the zone whose index ends its name; the servers that crash are all in the
/// first zone, which is therefore never evacuated.
const ZONES: [(&str, &str); 3] = [("z", "east"), ("y", "east"), ("w", "west")];

/// Index of the zone of each node. Each region has two nodes, since store calls are relayed within a region only.
const NODE_ZONES: [usize; 4] = [0, 1, 2, 2];

/// Region of the restricted route.
const ALLOWED_REGION: &str = "east";

/// Servers of the restricted route reject every this many requests as not run, so that nodes retry them elsewhere.
const REJECTED_EVERY: usize = 5;

/// Time for which a server of the cold service is cold after a restart.
const COLD_START: Duration = Duration::from_secs(3);

/// Requests per second that a cold server tolerates, and the settings of the nodes.
const COLD_PER_S: f64 = 4.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 2.0;

/// Maximum number of requests that a cold server may get in any second.
const COLD_BOUND: usize = (COLD_PER_S * COLD_OVER + COLD_SLACK) as usize;

/// Interval at which servers write their entries, the default of `server_heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Pause between two restarts of cold servers, in milliseconds.
const RESTART_PAUSE_MS: std::ops::Range<u64> = 300..1_500;

/// Time after the acknowledgement of an evacuation after which nothing may arrive in its zone.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Time before an evacuation, and its duration, in milliseconds. The duration exceeds the bound by enough that late
/// requests are seen; both together fit into the time of the other faults.
const EVACUATION_PAUSE_MS: std::ops::Range<u64> = 300..1_000;
const EVACUATION_MS: std::ops::Range<u64> = 7_000..8_000;

/// Resolution at which the contact of a node with the store and its peers is computed.
const CONTACT_STEP: Duration = Duration::from_millis(20);

/// A start of a cold server.
struct ColdStart {
    instance: String,
    from: Instant,
    /// Time and sender of each request that it did not answer with 421.
    runs: Vec<(Instant, Option<usize>)>,
}

struct Evacuation {
    zone: &'static str,
    acknowledged: Instant,
    /// Time just before the removal of the row.
    removed: Instant,
}

/// The servers of the restricted route and of the cold service, one of each per zone, and what they recorded.
pub struct PlacementServers {
    store: StandinStore,
    arrivals: Mutex<Vec<Arrival>>,
    /// Starts of the cold server of each zone; the last one is current.
    cold_starts: [Mutex<Vec<ColdStart>>; ZONES.len()],
    cold_addresses: Mutex<Vec<String>>,
    regional_count: AtomicUsize,
    evacuations: Mutex<Vec<Evacuation>>,
}

/// Returns the settings that a node has in addition.
pub fn node_settings(node: usize) -> Value {
    let zones = ZONES.map(|(zone, region)| json!({ "name": zone, "region": region }));
    json!({ "zone": ZONES[NODE_ZONES[node]].0, "zones": zones, "cold_over": COLD_OVER, "cold_slack": COLD_SLACK })
}

fn zone_of(server: &str) -> Option<&'static str> {
    let number: usize = server.rsplit('-').next()?.parse().ok()?;
    ZONES.get(number).map(|(zone, _)| *zone)
}

/// Returns an id for a request to `node`, which sends it to a server itself.
pub fn id_at(cluster: &SoakCluster, node: usize, kind: &str) -> String {
    format!("{}-at-{node}", cluster.new_id(kind))
}

/// Returns the node that sent a request, if its id was made by [`id_at`].
fn sender_of(id: &str) -> Option<usize> {
    id.rsplit_once("-at-")?.1.parse().ok()
}

impl PlacementServers {
    /// Adds the services, routes and servers to a platform, and moves its servers to their zones.
    pub fn start(platform: &Platform) -> Arc<Self> {
        platform.reconfigure(2, |config| {
            let routes = config["routes"].as_array_mut().unwrap();
            for name in ["regional", "cold"] {
                let mut route = routes[0].clone();
                (route["name"], route["service"]) = (json!(name), json!(name));
                route["prefix"] = json!(format!("/{name}/"));
                if name == "regional" {
                    route["allowed_regions"] = json!([ALLOWED_REGION]);
                }
                routes.push(route);
            }
            let services = config["services"].as_array_mut().unwrap();
            services.push(json!({ "name": "regional", "max_conns": 100 }));
            services.push(json!({ "name": "cold", "max_conns": 100, "cold_start_s": COLD_START.as_secs_f64(),
                "cold_per_s": COLD_PER_S }));
        });
        let servers = Arc::new(Self {
            store: platform.store.clone(),
            arrivals: Mutex::default(),
            cold_starts: Default::default(),
            cold_addresses: Mutex::default(),
            regional_count: AtomicUsize::new(0),
            evacuations: Mutex::default(),
        });
        for (number, (zone, _)) in ZONES.iter().enumerate() {
            ["plain", "engine"].iter().for_each(|kind| platform.set_zone(&format!("i-{kind}-{number}"), zone));
            let regional = servers.clone();
            let address = serve(move |request, stream| regional.answer_regional(&request, stream));
            servers.put(&format!("i-regional-{number}"), "regional", &address.to_string(), number, (0, 1));
            let cold = servers.clone();
            let address = serve(move |request, stream| cold.answer_cold(number, &request, stream));
            servers.cold_addresses.lock().unwrap().push(address.to_string());
            servers.restart_cold(number);
        }
        servers
    }

    fn answer_regional(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        self.arrivals.lock().unwrap().push(Arrival::new(request, stream));
        let is_rejected = (self.regional_count.fetch_add(1, Ordering::SeqCst) + 1).is_multiple_of(REJECTED_EVERY);
        if is_rejected { reply_not_run(request, 503, stream) } else { reply_as_run(request, stream) }
    }

    fn answer_cold(&self, zone: usize, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let arrival = Arrival::new(request, stream);
        let is_current = {
            let mut starts = self.cold_starts[zone].lock().unwrap();
            let current = starts.last_mut().filter(|start| start.instance == arrival.server);
            current.map(|start| start.runs.push((arrival.at, sender_of(&arrival.id)))).is_some()
        };
        self.arrivals.lock().unwrap().push(arrival);
        if is_current { reply_as_run(request, stream) } else { reply_not_run(request, 421, stream) }
    }

    /// Replaces the cold server of a zone by a new instance at the same address.
    fn restart_cold(&self, zone: usize) {
        let mut starts = self.cold_starts[zone].lock().unwrap();
        if let Some(last) = starts.last() {
            self.store.remove("servers", &last.instance);
        }
        let (instance, from) = (format!("i-cold{}-{zone}", starts.len()), Instant::now());
        starts.push(ColdStart { instance, from, runs: Vec::new() });
        self.write_heartbeat(zone, starts.last().unwrap());
    }

    fn write_heartbeat(&self, zone: usize, start: &ColdStart) {
        let age = start.from.elapsed();
        let left = COLD_START.saturating_sub(age).as_millis() as u64;
        let address = self.cold_addresses.lock().unwrap()[zone].clone();
        self.put(&start.instance, "cold", &address, zone, (left, 1 + age.as_millis() as u64));
    }

    fn put(&self, instance: &str, service: &str, address: &str, zone: usize, (cold_left, heartbeat): (u64, u64)) {
        let row = json!({ "service": service, "addr": address, "zone": ZONES[zone].0, "version": "v1", "slots": 4,
            "state": "ready", "cold_left_ms": cold_left, "models": [], "seq": heartbeat });
        self.store.put("servers", instance, &row);
    }
}

fn reply_as_run(request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
    let id = &request.headers["request-id"];
    let headers = [("request-id", id.as_str()), ("response-stamp", &format!("signed-{id}"))];
    reply(stream, 200, &headers, &String::from_utf8_lossy(&request.body))
}

fn reply_not_run(request: &ReceivedRequest, status: u16, stream: &mut TcpStream) -> bool {
    reply(stream, status, &[("request-id", &request.headers["request-id"]), ("not-executed", "1")], "")
}

/// Sends requests of the restricted route, and more requests of the cold service than cold servers may get, to one
/// node until the soak is over. Each node has its own client, because calls wait while their node is paused.
pub fn send_requests(cluster: &Arc<SoakCluster>, mut random: Pcg64Mcg, node: usize) {
    while !cluster.is_over() {
        let kind = if random.random_range(0..4) == 0 { "regional" } else { "cold" };
        let id = id_at(cluster, node, kind);
        let headers = [("request-id", id.as_str()), ("deadline-ms", "1000")];
        // The response is not checked: a request may be refused while nodes have no allotment.
        let _ = call(&cluster.nodes[node].client, "POST", &format!("/{kind}/x"), &headers, "body");
        std::thread::sleep(Duration::from_millis(random.random_range(1..25)));
    }
}

/// Writes the heartbeats of the cold servers until the soak is over.
pub fn write_heartbeats(cluster: &Arc<SoakCluster>) {
    while !cluster.is_over() {
        std::thread::sleep(HEARTBEAT);
        for (zone, starts) in cluster.placement.cold_starts.iter().enumerate() {
            cluster.placement.write_heartbeat(zone, starts.lock().unwrap().last().unwrap());
        }
    }
}

/// Restarts cold servers until `until`.
pub fn run_restarts(cluster: &Arc<SoakCluster>, mut random: Pcg64Mcg, until: Instant) {
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(random.random_range(RESTART_PAUSE_MS)));
        cluster.placement.restart_cold(random.random_range(0..ZONES.len()));
    }
}

/// Evacuates a zone and ends the evacuation.
pub fn run_evacuation(cluster: &Arc<SoakCluster>, mut random: Pcg64Mcg) {
    std::thread::sleep(Duration::from_millis(random.random_range(EVACUATION_PAUSE_MS)));
    let zone = ZONES[random.random_range(1..ZONES.len())].0;
    let row = format!("evacuate/{zone}");
    cluster.platform.store.put("op", &row, &json!({}));
    let acknowledged = Instant::now();
    let disturbance = cluster.begin_disturbance(FaultScope::Zone(zone), "evacuated", true);
    std::thread::sleep(Duration::from_millis(random.random_range(EVACUATION_MS)));
    cluster.placement.evacuations.lock().unwrap().push(Evacuation { zone, acknowledged, removed: Instant::now() });
    cluster.platform.store.remove("op", &row);
    cluster.end_disturbance(disturbance);
}

/// Checks what servers received against the placement limits.
pub fn check_limits(cluster: &SoakCluster) {
    check_regions(cluster);
    check_cold_servers(cluster);
    cluster.placement.evacuations.lock().unwrap().iter().for_each(|evacuation| check_evacuation(cluster, evacuation));
}

fn check_regions(cluster: &SoakCluster) {
    let arrivals = cluster.placement.arrivals.lock().unwrap();
    let regional: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.path.starts_with("/regional/")).collect();
    let is_allowed = |arrival: &&&Arrival| {
        let zone = zone_of(&arrival.server);
        ZONES.iter().any(|(name, region)| Some(*name) == zone && *region == ALLOWED_REGION)
    };
    let (allowed, outside): (Vec<&Arrival>, Vec<&Arrival>) = regional.iter().partition(is_allowed);
    if let Some(first) = outside.first() {
        let count = outside.len();
        cluster.violation(format!("{count} requests left the region {ALLOWED_REGION}, the first of them {first:?}"));
    }
    if allowed.is_empty() {
        cluster.violation("no request of the restricted route reached a server".to_owned());
    }
}

fn check_cold_servers(cluster: &SoakCluster) {
    let mut total = 0;
    for starts in &cluster.placement.cold_starts {
        for start in starts.lock().unwrap().iter() {
            let mut runs = start.runs.clone();
            runs.retain(|(at, _)| *at < start.from + COLD_START);
            // Connections are served by different threads, which may record their requests in another order.
            runs.sort_unstable();
            total += runs.len();
            let count = |first: usize| {
                let until = runs[first].0 + Duration::from_secs(1);
                runs[first..].iter().take_while(|(at, _)| *at < until).count()
            };
            // The window is the latest of the fullest ones.
            let Some((peak, first)) = (0..runs.len()).map(|first| (count(first), first)).max() else { continue };
            if peak > COLD_BOUND {
                let age_ms = |at: &Instant| (*at - start.from).as_millis();
                let sends: Vec<_> = runs[first..first + peak].iter().map(|(at, node)| (age_ms(at), node)).collect();
                let instance = &start.instance;
                cluster.violation(format!(
                    "cold server {instance} got {peak} requests in a second, at these ms after its start from \
                     these nodes: {sends:?}"
                ));
            }
        }
    }
    if total == 0 {
        cluster.violation("no request reached a server while it was cold".to_owned());
    }
}

fn check_evacuation(cluster: &SoakCluster, evacuation: &Evacuation) {
    let Evacuation { zone, acknowledged, removed } = *evacuation;
    let (placement, platform) = (&cluster.placement, &cluster.platform);
    let all = [&placement.arrivals, &platform.plain.arrivals, &platform.engine.arrivals];
    let arrivals: Vec<Arrival> = all.iter().flat_map(|arrivals| arrivals.lock().unwrap().clone()).collect();
    // Items and score calls have no id that names their sender, but share its connections with other requests.
    let named = arrivals.iter().filter_map(|arrival| Some((arrival.from?, sender_of(&arrival.id)?)));
    let senders: HashMap<SocketAddr, usize> = named.collect();
    let sender = |arrival: &Arrival| senders.get(&arrival.from?).copied();
    let in_zone: Vec<&Arrival> = arrivals.iter().filter(|arrival| zone_of(&arrival.server) == Some(zone)).collect();
    let is_late = |arrival: &&&Arrival| {
        let at = arrival.at;
        let had_contact = |node: usize| had_contact(cluster, node, acknowledged, at);
        let must_know = || match sender(arrival) {
            Some(node) => had_contact(node),
            None => (0..cluster.nodes.len()).all(had_contact),
        };
        at > acknowledged + EVACUATION_BOUND && at < removed && must_know()
    };
    let late: Vec<&&Arrival> = in_zone.iter().filter(is_late).collect();
    if let Some(first) = late.first() {
        let (count, time, sender) = (late.len(), first.at - acknowledged, sender(first));
        cluster.violation(format!(
            "{count} requests reached the evacuated zone {zone} late, the first of them {time:?} after the \
             acknowledgement from node {sender:?}: {first:?}"
        ));
    }
    if in_zone.is_empty() {
        cluster.violation(format!("no request reached zone {zone} at any time"));
    }
}

/// Returns whether a node was in contact with the store or a peer for the whole bound at some time between the
/// acknowledgement of a row and `to`, so that it must know the row.
fn had_contact(cluster: &SoakCluster, node: usize, acknowledged: Instant, to: Instant) -> bool {
    let (mut at, mut since) = (acknowledged, acknowledged);
    while at < to {
        if !is_in_contact(cluster, node, at) {
            since = at + CONTACT_STEP;
        } else if at - since >= EVACUATION_BOUND - CONTACT_STEP {
            return true;
        }
        at += CONTACT_STEP;
    }
    false
}

/// Returns whether a node could reach the store, or a peer that could. A killed process is not excused: the next one
/// reads the evacuations before it is ready.
fn is_in_contact(cluster: &SoakCluster, node: usize, at: Instant) -> bool {
    let reaches_store = |node: usize| !cluster.was_active(node, "link to store", at);
    let is_running =
        |node: usize| !["paused", "killed", "stopped"].iter().any(|what| cluster.was_active(node, what, at));
    let has_peer = || (0..cluster.nodes.len()).any(|peer| peer != node && is_running(peer) && reaches_store(peer));
    !cluster.was_active(node, "paused", at) && (reaches_store(node) || has_peer())
}
