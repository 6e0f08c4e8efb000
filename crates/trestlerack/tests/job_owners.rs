//! Which node drives a job.

use trestlerack::Name;
use trestlerack::process::{OwnerCandidate, choose_job_owner, successor_rank};

fn candidate(name: &str, capacity: u32, models: usize) -> OwnerCandidate {
    OwnerCandidate { name: name.into(), capacity, models }
}

fn chosen(model: &str, own: &str, newest: Option<&str>, candidates: &[OwnerCandidate]) -> String {
    choose_job_owner(model, own, newest, candidates).unwrap().name.to_string()
}

#[test]
fn a_small_node_hands_a_job_to_a_large_one() {
    let nodes = [candidate("small", 120, 0), candidate("large", 500, 0)];
    assert_eq!(chosen("m", "small", None, &nodes), "large");
    assert_eq!(chosen("m", "small", Some("small"), &nodes), "large", "with the next job of the model");
}

#[test]
fn the_owner_of_the_newest_job_goes_on_and_one_that_is_gone_does_not() {
    let nodes = [candidate("a", 500, 3), candidate("b", 500, 0)];
    assert_eq!(chosen("m", "b", Some("a"), &nodes), "a");
    assert_eq!(chosen("m", "b", Some("gone"), &nodes), "b");
}

#[test]
fn nodes_that_are_alike_keep_what_they_accept_until_they_drive_another_model() {
    let nodes = [candidate("a", 500, 0), candidate("b", 500, 0)];
    assert_eq!(chosen("m", "a", None, &nodes), "a");
    assert_eq!(chosen("m", "b", None, &nodes), "b");
    let nodes = [candidate("a", 500, 1), candidate("b", 500, 0)];
    assert_eq!(chosen("m", "a", None, &nodes), "b");
}

/// The first jobs of six models come at one moment to nodes that know nothing of each other's.
#[test]
fn small_nodes_that_choose_at_the_same_moment_take_different_owners() {
    let mut nodes: Vec<OwnerCandidate> = (0..63).map(|node| candidate(&format!("large-{node}"), 500, 0)).collect();
    nodes.extend((0..232).map(|node| candidate(&format!("small-{node}"), 120, 0)));
    let owners: std::collections::BTreeSet<String> =
        (0..6).map(|model| chosen(&format!("m{model}"), &format!("small-{model}"), None, &nodes)).collect();
    assert!(owners.len() >= 5, "{owners:?}");
    assert!(owners.iter().all(|owner| owner.starts_with("large")), "{owners:?}");
}

#[test]
fn the_line_of_successors_has_each_node_once_and_large_ones_first() {
    let nodes: Vec<(Name, u32)> =
        (0..20).map(|node| (format!("node-{node}").into(), if node % 4 == 0 { 500 } else { 120 })).collect();
    let mut line: Vec<(usize, u32)> =
        nodes.iter().map(|(name, capacity)| (successor_rank("job", (name, *capacity), &nodes), *capacity)).collect();
    line.sort();
    assert!(line.iter().enumerate().all(|(place, (rank, _))| place == *rank), "{line:?}");
    assert!(line[..5].iter().all(|(_, capacity)| *capacity == 500), "{line:?}");
}
