//! Requests that do not fit into the memory of model engines: how they are handled, and logs and metrics for
//! operators.

use super::client_requests::ClientRequest;
use super::job_driver::JobDriver;
use super::node::EntryNode;
use crate::process::logs;
use std::time::Duration;
use trestlerack::event;
use trestlerack::process::ServerNeed;
use trestlerack::request::JobTracker;
use trestlerack::version::RequestRoute;

/// Delay before an item is tried again that an engine refused and that is expected to need more memory than
/// any engine has. Each attempt keeps an engine free of other runs.
const OVERSIZE_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Maximum number of engines whose tokens the metrics show, the fullest first.
const MAX_LISTED_ENGINES: usize = 32;

/// Returns whether the prompt of a client's request alone fills the memory of any engine, and logs it.
pub fn is_too_large(node: &EntryNode, route: &RequestRoute, request: &ClientRequest) -> bool {
    let Some(tokens) = request.head.tokens else { return false };
    let id = request.id();
    let Some(service) = route.service_for(id) else { return false };
    let (is_too_large, capacity) = {
        let memory = &node.balancer.lock().unwrap().memory;
        (memory.can_never_run(service, &tokens), memory.capacity(service).unwrap_or(0))
    };
    if is_too_large {
        let prompt = tokens.total_prompt();
        logs::write(event::REQUEST_OVERSIZE, &[("request", &id), ("prompt", &prompt), ("capacity", &capacity)]);
    }
    is_too_large
}

/// Logs the engines that were skipped for `request` because their memory is reserved, each at most once per
/// second.
pub fn log_full_engines(node: &EntryNode, request: &str, need: &ServerNeed<'_>) {
    let Some(tokens) = need.tokens else { return };
    let now = node.now();
    let skipped = node.balancer.lock().unwrap().skipped_for_memory(now, need);
    for (engine, reserved) in skipped {
        let needed = tokens.total();
        let fields: [(&str, &dyn std::fmt::Display); 4] =
            [("request", &request), ("engine", &engine), ("held", &reserved), ("wanted", &needed)];
        logs::write(event::ENGINE_FULL, &fields);
    }
}

/// Returns whether an item is expected to need more memory than any engine has, and logs it once per item.
/// Such an item is not given up: the length of its output is an estimate, and only an engine can refuse it.
pub fn is_oversize(node: &EntryNode, driver: &JobDriver, index: usize, service: &str) -> bool {
    let Some(tokens) = driver.tokens[index] else { return false };
    let (is_oversize, capacity) = {
        let memory = &node.balancer.lock().unwrap().memory;
        (memory.is_oversize(service, &tokens), memory.capacity(service).unwrap_or(0))
    };
    if is_oversize && driver.logged_oversize.lock().unwrap().insert(index) {
        let (item, job, needed) = (&driver.spec.items[index].id, &driver.spec.id, tokens.total());
        let fields: [(&str, &dyn std::fmt::Display); 4] =
            [("item", item), ("job", job), ("wanted", &needed), ("capacity", &capacity)];
        logs::write(event::ITEM_OVERSIZE, &fields);
    }
    is_oversize
}

/// Defers an item that an engine refused, if it was found to be too large for any engine.
pub fn defer_oversize(node: &EntryNode, driver: &JobDriver, tracker: &mut JobTracker, index: usize) {
    if driver.logged_oversize.lock().unwrap().contains(&index) {
        tracker.defer(index, node.now() + OVERSIZE_RETRY_DELAY);
    }
}

/// Returns the lines of the metrics page with the tokens that this node's runs use at each engine.
pub fn metrics_lines(node: &EntryNode) -> String {
    let usage = node.balancer.lock().unwrap().memory.usage_by_engine();
    let line = |(engine, tokens): &(trestlerack::Name, u64)| {
        format!("trestlerack_entry_engine_tokens{{engine=\"{engine}\"}} {tokens}\n")
    };
    usage.iter().take(MAX_LISTED_ENGINES).map(line).collect()
}
