//! The texts that logs and metrics print for the variants of this crate's types.

use trestlerack::process::Liveness;

#[test]
fn a_peers_liveness_keeps_its_texts() {
    let printed = [Liveness::Alive, Liveness::Suspect, Liveness::Leaving, Liveness::Dead].map(Liveness::as_str);
    assert_eq!(printed, ["alive", "suspect", "leaving", "dead"]);
}
