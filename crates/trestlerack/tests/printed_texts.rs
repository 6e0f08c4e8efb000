//! The texts that logs and metrics print for the variants of this crate's types.

use trestlerack::process::Liveness;
use trestlerack::request::{RunEnd, TranscriptError};
use trestlerack::version::OrderOutcome;

#[test]
fn a_peers_liveness_keeps_its_texts() {
    let printed = [Liveness::Alive, Liveness::Suspect, Liveness::Leaving, Liveness::Dead].map(Liveness::as_str);
    assert_eq!(printed, ["alive", "suspect", "leaving", "dead"]);
}

#[test]
fn the_outcome_of_an_order_keeps_its_texts() {
    let outcomes = [
        OrderOutcome::Accepted,
        OrderOutcome::AlreadyLoaded,
        OrderOutcome::Refused,
        OrderOutcome::Unknown,
        OrderOutcome::NotSent,
    ];
    assert_eq!(outcomes.map(OrderOutcome::as_str), ["accepted", "held", "refused", "unknown", "notsent"]);
}

#[test]
fn the_end_of_a_run_keeps_its_texts() {
    let ends = [RunEnd::Complete, RunEnd::Broken, RunEnd::NotRun, RunEnd::Failed, RunEnd::Rejected];
    assert_eq!(ends.map(RunEnd::as_str), ["whole", "broken", "notrun", "failed", "impossible"]);
}

#[test]
fn the_fault_of_an_event_keeps_its_texts() {
    let faults = [
        TranscriptError::OutOfOrder,
        TranscriptError::TooOld,
        TranscriptError::NoVersion,
        TranscriptError::OtherVersion,
    ];
    assert_eq!(faults.map(TranscriptError::as_str), ["OutOfOrder", "TooOld", "NoVersion", "OtherVersion"]);
}
