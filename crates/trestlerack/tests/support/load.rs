//! Constructors of servers, boards and routes for tests.

#![allow(dead_code, reason = "no test file uses all of them")]

use trestlerack::process::{BalancerSettings, LoadBalancer, RegistrySettings, ServerEntry, ServerRegistry};
use trestlerack::version::{AllowedRegions, RequestRoute, RouteKind, SplitShare};

/// Returns a server of a service without models.
pub fn plain_server(instance: &str, service: &str, zone: &str, slots: u32) -> ServerEntry {
    ServerEntry {
        instance: instance.into(),
        service: service.into(),
        address: format!("10.0.0.1:{instance}").into(),
        zone: zone.into(),
        slots,
        is_draining: false,
        cold_left_ms: 0,
        models: Vec::new(),
        heartbeat: 1,
        started_ms: 1,
    }
}

/// Returns a load balancer that knows these servers and has no measurements of them.
pub fn balancer_of(entries: &[ServerEntry]) -> LoadBalancer {
    let mut registry = ServerRegistry::new(RegistrySettings::default());
    entries.iter().for_each(|entry| assert!(registry.put(entry.clone())));
    let mut balancer = LoadBalancer::new(BalancerSettings::default());
    balancer.sync(&registry);
    balancer
}

/// Returns a route to the service `s` whose requests may be repeated.
pub fn safe_route(priority: u8) -> RequestRoute {
    RequestRoute {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Safe,
        streaming: false,
        resumable: false,
        single_version: false,
        timeout_ms: 800,
        target_latency_ms: 150,
        due_ms: 0,
        give_up_ms: 0,
        priority,
        is_public: false,
        max_attempts: 2,
        shares: vec![SplitShare { service: "s".into(), weight: 1 }],
        allowed_regions: AllowedRegions::All,
    }
}
