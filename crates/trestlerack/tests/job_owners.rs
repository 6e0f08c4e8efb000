//! Choice of the node that owns a batch job, and of its successors.

use trestlerack::Name;
use trestlerack::process::{OwnerCandidate, choose_job_owner, successor_rank};
use trestlerack::version::ZoneRelation;

fn candidate(name: &str, capacity: u32, models: usize) -> OwnerCandidate {
    let relation = ZoneRelation::OwnZone;
    OwnerCandidate { name: name.into(), capacity, models, store_latency_ms: 0, relation }
}

fn owner_of(model: &str, own: &str, newest: Option<&str>, candidates: &[OwnerCandidate]) -> String {
    choose_job_owner(model, own, newest, candidates).unwrap().name.to_string()
}

#[test]
fn a_job_that_a_small_node_accepts_is_owned_by_a_large_one() {
    let nodes = [candidate("small", 120, 0), candidate("large", 500, 0)];
    assert_eq!(owner_of("m", "small", None, &nodes), "large");
    assert_eq!(
        owner_of("m", "small", Some("small"), &nodes),
        "large",
        "a large node takes over with the next job of the model"
    );
}

#[test]
fn the_owner_of_the_newest_job_of_a_model_is_kept_unless_it_is_gone() {
    let nodes = [candidate("a", 500, 3), candidate("b", 500, 0)];
    assert_eq!(owner_of("m", "b", Some("a"), &nodes), "a");
    assert_eq!(owner_of("m", "b", Some("gone"), &nodes), "b");
}

#[test]
fn among_equal_nodes_the_acceptor_owns_the_job_until_it_drives_another_model() {
    let nodes = [candidate("a", 500, 0), candidate("b", 500, 0)];
    assert_eq!(owner_of("m", "a", None, &nodes), "a");
    assert_eq!(owner_of("m", "b", None, &nodes), "b");
    let nodes = [candidate("a", 500, 1), candidate("b", 500, 0)];
    assert_eq!(owner_of("m", "a", None, &nodes), "b");
}

/// An owner in another region than the store delays the first item of each job, and each result, by round trips.
#[test]
fn an_owner_near_the_store_is_chosen_over_the_acceptor() {
    let at = |name: &str, models, store_latency_ms| OwnerCandidate { store_latency_ms, ..candidate(name, 500, models) };
    let nodes = [at("near", 0, 5), at("far", 0, 65)];
    assert_eq!(owner_of("m", "far", None, &nodes), "near");
    let nodes = [at("near", 0, 5), at("acceptor", 0, 19)];
    assert_eq!(owner_of("m", "acceptor", None, &nodes), "acceptor", "latencies within a region do not count");
    let nodes = [at("near", 1, 5), at("far", 0, 65)];
    assert_eq!(owner_of("m", "far", None, &nodes), "far", "a node that drives another model is left alone");
    let nodes = [at("unmeasured", 0, 0), at("far", 0, 65)];
    assert_eq!(owner_of("m", "unmeasured", None, &nodes), "far");
    let nodes = [at("a", 0, 0), at("acceptor", 0, 0)];
    assert_eq!(owner_of("m", "acceptor", None, &nodes), "acceptor", "without measurements the acceptor is chosen");
}

/// The first jobs of six models arrive at the same time at nodes that do not know of each other's choices.
#[test]
fn small_nodes_that_choose_at_the_same_time_choose_different_owners() {
    let mut nodes: Vec<OwnerCandidate> = (0..63).map(|node| candidate(&format!("large-{node}"), 500, 0)).collect();
    nodes.extend((0..232).map(|node| candidate(&format!("small-{node}"), 120, 0)));
    let owners: std::collections::BTreeSet<String> =
        (0..6).map(|model| owner_of(&format!("m{model}"), &format!("small-{model}"), None, &nodes)).collect();
    assert!(owners.len() >= 5, "{owners:?}");
    assert!(owners.iter().all(|owner| owner.starts_with("large")), "{owners:?}");
}

#[test]
fn the_order_of_successors_has_each_node_once_and_large_nodes_first() {
    let nodes: Vec<(Name, u32)> =
        (0..20).map(|node| (format!("node-{node}").into(), if node % 4 == 0 { 500 } else { 120 })).collect();
    let mut order: Vec<(usize, u32)> = nodes
        .iter()
        .map(|(name, capacity)| (successor_rank("job", (name, *capacity), &nodes, |_| false), *capacity))
        .collect();
    order.sort();
    assert!(order.iter().enumerate().all(|(index, (rank, _))| index == *rank), "{order:?}");
    assert!(order[..5].iter().all(|(_, capacity)| *capacity == 500), "{order:?}");
}
