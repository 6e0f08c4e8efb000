//! Tests of what a routing table says of the route of a job.

use bolero::check;
use trestlerack::version::{AllowedRegions, ClientLimits, JobRoute, RequestRoute, RouteKind, RoutingTable, SplitShare};

fn route() -> RequestRoute {
    RequestRoute {
        name: "jobs".into(),
        host: "h".into(),
        prefix: "/jobs/".into(),
        kind: RouteKind::Batch,
        streaming: false,
        resumable: false,
        single_version: false,
        timeout_ms: 0,
        target_latency_ms: 0,
        due_ms: 0,
        give_up_ms: 0,
        priority: 0,
        is_public: true,
        max_attempts: 3,
        shares: vec![SplitShare { service: "models".into(), weight: 1 }],
        allowed_regions: AllowedRegions::default(),
    }
}

fn table(version: u64, has_route: bool) -> RoutingTable {
    let limits = ClientLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    RoutingTable::new(version, has_route.then(route).into_iter().collect(), Vec::new(), limits)
}

/// A node sees some of the operator's versions, any time later. It may call a route removed only if some version since
/// the acceptance lacked it.
#[test]
fn only_a_version_since_the_acceptance_shows_that_a_route_was_removed() {
    check!().with_type::<(Vec<bool>, u8, u8)>().for_each(|(versions, accepted, seen)| {
        let mut versions = versions.clone();
        let Some(accepted) = (0..versions.len()).nth(usize::from(*accepted)) else { return };
        versions[accepted] = true;
        let seen = usize::from(*seen) % versions.len();
        let table = table(seen as u64 + 1, versions[seen]);
        let job_route = table.job_route("h", "/jobs/1", accepted as u64 + 1);
        let expected = match (seen >= accepted, versions[seen]) {
            (false, _) => JobRoute::Unknown,
            (true, false) => JobRoute::Removed,
            (true, true) => JobRoute::Current(table.routes().next().unwrap()),
        };
        assert_eq!(job_route, expected);
    });
}
