//! Has the whole texts of a job's items scored.

use super::job_driver::JobDriver;
use super::node::EntryNode;
use super::score_calls::{self, ScoreEnd};
use super::suspects;
use crate::process::clock;
use crate::process::logs;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::event;

/// Pause before a score call without an answer is made again.
const SCORE_PAUSE: Duration = Duration::from_millis(30);

/// Share of the places of all scoring servers that the calls of one job may take, so that clients'
/// requests to the same servers find one.
const SCORE_SHARE: f64 = 0.67;

/// Starts score calls for the whole texts that have none, as far as there are places for them.
pub fn start_scores(node: &Arc<EntryNode>, driver: &Arc<JobDriver>) {
    let unscored = driver.ledger.lock().unwrap().unscored();
    if unscored.is_empty() {
        return;
    }
    let most = scores_at_once(node, driver);
    for index in unscored {
        // A held call waits without the place of another one.
        if is_to_wait(node, driver, index) {
            continue;
        }
        let mut scoring = driver.scoring.lock().unwrap();
        if scoring.len() >= most {
            return;
        }
        if scoring.insert(index) {
            tokio::spawn(score_item(node.clone(), driver.clone(), index));
        }
    }
}

fn scores_at_once(node: &EntryNode, driver: &JobDriver) -> usize {
    let scorer = driver.spec.items.iter().find_map(|item| item.scorer.as_ref());
    let routing = node.routing();
    let route = scorer.zip(routing.as_ref()).and_then(|(scorer, routing)| routing.select(&scorer.host, &scorer.path));
    let service = route.zip(scorer).and_then(|(route, scorer)| route.service_for(&scorer.id));
    let places = service.map_or(0, |service| node.balancer.lock().unwrap().slot_count(service));
    ((f64::from(places) * SCORE_SHARE) as usize).max(1)
}

fn is_to_wait(node: &EntryNode, driver: &JobDriver, index: usize) -> bool {
    let fingerprint = driver.score_fingerprints[index];
    fingerprint.is_some_and(|fingerprint| !suspects::wait_time(node, fingerprint).is_zero())
}

async fn score_item(node: Arc<EntryNode>, driver: Arc<JobDriver>, index: usize) {
    match &driver.spec.items[index].scorer {
        None => driver.ledger.lock().unwrap().record_score(index, None),
        Some(call) => loop {
            if !driver.is_driving() || !node.may_start_work() {
                break;
            }
            let item = &driver.spec.items[index].id;
            match score_calls::score(&node, item, driver.customer.as_ref(), call).await {
                ScoreEnd::Scored(signature) => {
                    driver.ledger.lock().unwrap().record_score(index, Some(signature));
                    break;
                }
                ScoreEnd::Failed => {
                    if driver.ledger.lock().unwrap().fail_score(index) {
                        logs::write(event::ITEM_GIVEN_UP, &[("item", item), ("why", &"its score call failed")]);
                        break;
                    }
                }
                ScoreEnd::Held(_) => break,
                // Looked at again once it may be made.
                ScoreEnd::NoAnswer if is_to_wait(&node, &driver, index) => break,
                ScoreEnd::NoAnswer => clock::sleep(SCORE_PAUSE).await,
            }
        },
    }
    driver.scoring.lock().unwrap().remove(&index);
    driver.record.notify_one();
    driver.wake.notify_one();
}
