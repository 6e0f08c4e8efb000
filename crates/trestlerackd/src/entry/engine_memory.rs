//! Requests that the memory of model engines has no room for: what becomes of them, and what operators
//! are told.

use super::front::ClientRequest;
use super::job_driver::JobDriver;
use super::node::EntryNode;
use crate::process::logs;
use std::time::Duration;
use trestlerack::event;
use trestlerack::process::ServerNeed;
use trestlerack::request::JobTracker;
use trestlerack::version::RequestRoute;

/// Time for which an item is put off that an engine refused and that is expected to need more than any
/// engine holds. Each try keeps an engine free of other runs.
const OVERSIZE_PAUSE: Duration = Duration::from_secs(4);

/// Most engines whose tokens are shown in the metrics, the fullest first.
const SHOWN_ENGINES: usize = 32;

/// Returns whether the prompt of a client's request alone fills any engine, and logs that.
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

/// Logs the engines that were left for `request` because their memory is spoken for, each at most once
/// a second.
pub fn log_left(node: &EntryNode, request: &str, need: &ServerNeed<'_>) {
    let Some(tokens) = need.tokens else { return };
    let now = node.now();
    let left = node.balancer.lock().unwrap().skipped_for_memory(now, need);
    for (engine, held) in left {
        let wanted = tokens.total();
        let fields: [(&str, &dyn std::fmt::Display); 4] =
            [("request", &request), ("engine", &engine), ("held", &held), ("wanted", &wanted)];
        logs::write(event::ENGINE_FULL, &fields);
    }
}

/// Returns whether an item is expected to need more than any engine holds, and logs that once. Such an
/// item isn't given up: its output is an estimate, and only an engine can refuse it.
pub fn is_oversize(node: &EntryNode, driver: &JobDriver, index: usize, service: &str) -> bool {
    let Some(tokens) = driver.tokens[index] else { return false };
    let (is_oversize, capacity) = {
        let memory = &node.balancer.lock().unwrap().memory;
        (memory.is_oversize(service, &tokens), memory.capacity(service).unwrap_or(0))
    };
    if is_oversize && driver.logged_oversize.lock().unwrap().insert(index) {
        let (item, job, wanted) = (&driver.spec.items[index].id, &driver.spec.id, tokens.total());
        let fields: [(&str, &dyn std::fmt::Display); 4] =
            [("item", item), ("job", job), ("wanted", &wanted), ("capacity", &capacity)];
        logs::write(event::ITEM_OVERSIZE, &fields);
    }
    is_oversize
}

/// Puts an item off that an engine refused, if it was found to be too large for any.
pub fn put_off_oversize(node: &EntryNode, driver: &JobDriver, ledger: &mut JobTracker, index: usize) {
    if driver.logged_oversize.lock().unwrap().contains(&index) {
        ledger.defer(index, node.now() + OVERSIZE_PAUSE);
    }
}

/// Returns the lines of the metrics page that tell which engines hold how many tokens of this node's
/// runs.
pub fn metrics_lines(node: &EntryNode) -> String {
    let holders = node.balancer.lock().unwrap().memory.usage_by_engine();
    let line = |(engine, tokens): &(trestlerack::Name, u64)| {
        format!("trestlerack_entry_engine_tokens{{engine=\"{engine}\"}} {tokens}\n")
    };
    holders.iter().take(SHOWN_ENGINES).map(line).collect()
}
