//! Records made groups and says how that ended.

use crate::node::Node;
use crate::process::logs;
use std::sync::Arc;
use trestlerack::event;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{GeneratedGroup, RecordOutcome};

/// Records a group. Repeating it is harmless, also when an earlier answer was lost.
pub async fn record(node: &Arc<Node>, group: &GeneratedGroup) -> Result<RecordOutcome, StoreError> {
    let outcome = node.step_store().record(group).await;
    match outcome {
        Ok(RecordOutcome::Stored) => logs::write(event::GROUP_RECORDED, &[("group", &group.key())]),
        Ok(RecordOutcome::Superseded) => logs::write(event::GROUP_SUPERSEDED, &[("group", &group.key())]),
        Err(error) => logs::write(event::OBJECT_FAILED, &[("call", &"record group"), ("error", &error)]),
    }
    outcome
}
