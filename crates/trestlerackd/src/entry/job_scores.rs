//! Has the whole texts of a job's items scored.

use super::job_driver::JobDriver;
use super::node::EntryNode;
use super::plain::{self, ScoreEnd};
use crate::process::logs;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::event;

/// Pause before a score call without an answer is made again.
const SCORE_PAUSE: Duration = Duration::from_millis(30);

/// Score calls of one job at once; the scoring services of the users' sheets have 18 to 24 places.
const SCORES_AT_ONCE: usize = 16;

pub fn start_scores(node: &Arc<EntryNode>, driver: &Arc<JobDriver>) {
    let unscored = driver.ledger.lock().unwrap().unscored();
    for index in unscored {
        let mut scoring = driver.scoring.lock().unwrap();
        if scoring.len() >= SCORES_AT_ONCE {
            return;
        }
        if scoring.insert(index) {
            tokio::spawn(score_item(node.clone(), driver.clone(), index));
        }
    }
}

async fn score_item(node: Arc<EntryNode>, driver: Arc<JobDriver>, index: usize) {
    match &driver.spec.items[index].scorer {
        None => driver.ledger.lock().unwrap().settle(index, None),
        Some(call) => loop {
            if !driver.is_driving() {
                break;
            }
            match plain::score(&node, call).await {
                ScoreEnd::Scored(signature) => {
                    driver.ledger.lock().unwrap().settle(index, Some(signature));
                    break;
                }
                ScoreEnd::Failed => {
                    if driver.ledger.lock().unwrap().fail_score(index) {
                        let item = &driver.spec.items[index].id;
                        logs::write(event::ITEM_GIVEN_UP, &[("item", item), ("why", &"its score call failed")]);
                        break;
                    }
                }
                ScoreEnd::NoAnswer => tokio::time::sleep(SCORE_PAUSE).await,
            }
        },
    }
    driver.scoring.lock().unwrap().remove(&index);
    driver.record.notify_one();
    driver.wake.notify_one();
}
