//! Has the complete texts of a job's items scored.

use super::in_flight::SendPermission;
use super::item_run::ItemPermission;
use super::job_driver::JobDriver;
use super::node::EntryNode;
use super::score_calls::{self, ScoreOutcome};
use super::score_servers::ScoreServers;
use super::{placement, suspects};
use crate::process::clock;
use crate::process::logs;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::event;
use trestlerack::process::{RecoveryRule, ServerSet};
use trestlerack::request::ScoreCall;
use trestlerack::version::RoutingTable;

/// Delay before a score call without a response is retried.
const SCORE_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Fraction of the slots of all scoring servers that the calls of one job may use; the others stay free for
/// requests of clients to the same servers.
const MAX_SCORE_SLOT_FRACTION: f64 = 0.67;

/// Starts score calls for complete texts that have none yet, up to the job's limit.
pub fn start_scores(node: &Arc<EntryNode>, driver: &Arc<JobDriver>) {
    let unscored = driver.tracker.lock().unwrap().unscored();
    if unscored.is_empty() {
        return;
    }
    let max_scores = max_concurrent_scores(node, driver);
    let routing = node.routing();
    let mut servers = routing.as_ref().map(|routing| score_servers(node, driver, routing));
    for index in unscored {
        // A call with blocked content, or without any server that it may use, waits without using up the limit.
        let scorer = driver.spec.items[index].scorer.as_ref();
        let lacks_servers = servers.as_mut().zip(scorer).is_some_and(|(servers, call)| servers.are_missing(call));
        if lacks_servers || is_blocked(node, driver, index) {
            continue;
        }
        let mut scoring = driver.scoring.lock().unwrap();
        if scoring.len() >= max_scores {
            return;
        }
        // The task removes its entry at its end, which waits for the lock that is held here.
        scoring
            .entry(index)
            .or_insert_with(|| tokio::spawn(score_item(node.clone(), driver.clone(), index)).abort_handle());
    }
}

fn max_concurrent_scores(node: &EntryNode, driver: &JobDriver) -> usize {
    let scorer = driver.spec.items.iter().find_map(|item| item.scorer.as_ref());
    let routing = node.routing();
    let route = scorer.zip(routing.as_ref()).and_then(|(scorer, routing)| routing.select(&scorer.host, &scorer.path));
    let service = route.zip(scorer).and_then(|(route, scorer)| route.service_for(&scorer.id));
    let slots = service.zip(route).map_or(0, |(service, route)| {
        let placement = placement::decide(routing.as_deref(), route, driver.customer.as_ref());
        let server_set = ServerSet::new(service.clone(), placement.placement());
        node.balancer.lock().unwrap().slot_count(node.now(), &server_set)
    });
    ((f64::from(slots) * MAX_SCORE_SLOT_FRACTION) as usize).max(1)
}

fn score_servers<'a>(node: &'a EntryNode, driver: &'a JobDriver, routing: &'a RoutingTable) -> ScoreServers<'a> {
    ScoreServers::new(routing, &node.balancer, &node.evacuations, driver.customer.as_ref())
}

/// Returns whether a call without a response is left to the driver. It checks at least every 50 ms whether the content
/// is still blocked and whether servers are still missing.
fn must_wait(node: &EntryNode, driver: &JobDriver, index: usize, call: &ScoreCall) -> bool {
    let routing = node.routing();
    let lacks_servers = || routing.is_some_and(|routing| score_servers(node, driver, &routing).are_missing(call));
    is_blocked(node, driver, index) || lacks_servers()
}

fn is_blocked(node: &EntryNode, driver: &JobDriver, index: usize) -> bool {
    let fingerprint = driver.score_fingerprints[index];
    fingerprint.is_some_and(|fingerprint| !suspects::wait_time(node, fingerprint, RecoveryRule::Limited).is_zero())
}

async fn score_item(node: Arc<EntryNode>, driver: Arc<JobDriver>, index: usize) {
    let permission: Arc<dyn SendPermission> = Arc::new(ItemPermission { node: node.clone(), driver: driver.clone() });
    match &driver.spec.items[index].scorer {
        None => driver.tracker.lock().unwrap().record_score(index, None),
        Some(call) => loop {
            if !driver.may_start(&node) {
                break;
            }
            let item = &driver.spec.items[index].id;
            match score_calls::score(&node, item, driver.customer.as_ref(), call, &permission).await {
                ScoreOutcome::Scored(signature) => {
                    driver.tracker.lock().unwrap().record_score(index, Some(signature));
                    break;
                }
                ScoreOutcome::Failed { max_failures } => {
                    if driver.tracker.lock().unwrap().fail_score(index, max_failures) {
                        logs::write(event::ITEM_GIVEN_UP, &[("item", item), ("why", &"its score call failed")]);
                    }
                    // It is called again once the failure is stored.
                    break;
                }
                ScoreOutcome::Blocked(_) => break,
                ScoreOutcome::NoResponse if must_wait(&node, &driver, index, call) => break,
                ScoreOutcome::NoResponse => clock::sleep(SCORE_RETRY_DELAY).await,
            }
        },
    }
    driver.scoring.lock().unwrap().remove(&index);
    driver.wake_recorder.notify_one();
    driver.wake.notify_one();
}
