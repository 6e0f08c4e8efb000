//! Records generated groups in the step store and logs the outcome.

use crate::node::Node;
use crate::process::logs;
use std::sync::Arc;
use trestlerack::event;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{GeneratedGroup, RecordOutcome};

/// Records a group. This is idempotent, so it can be repeated after a lost response.
pub async fn record(node: &Arc<Node>, group: &GeneratedGroup) -> Result<RecordOutcome, StoreError> {
    let outcome = node.step_store().record(group).await;
    match outcome {
        Ok(RecordOutcome::Stored) => logs::write(event::GROUP_RECORDED, &[("group", &group.key())]),
        Ok(RecordOutcome::Superseded) => logs::write(event::GROUP_SUPERSEDED, &[("group", &group.key())]),
        Err(error) => logs::write(event::OBJECT_FAILED, &[("call", &"record group"), ("error", &error)]),
    }
    outcome
}
