//! What the board tells admission of a service's servers.

#[path = "support/load.rs"]
mod load;

use load::{board_of, plain_server};
use std::time::Duration;
use trestlerack::Timestamp;

#[test]
fn a_service_opens_when_the_first_pause_of_its_servers_ends() {
    let now = Timestamp(1_000);
    let mut board = board_of(&["a", "b"].map(|name| plain_server(name, "s", "z", 4)));
    assert_eq!(board.opens_at("none"), None);
    let first_pause = board.failed(now, "a");
    board.failed(now + Duration::from_millis(50), "b");
    assert_eq!(board.opens_at("s"), Some(now + first_pause));
    assert_eq!(board.wait_estimate(now + Duration::from_millis(50), "s").places, 0);
    assert_eq!(board.wait_estimate(now + first_pause, "s").places, 4);
}

#[test]
fn a_server_that_is_emptied_opens_no_more() {
    let mut draining = plain_server("a", "s", "z", 4);
    draining.is_draining = true;
    assert_eq!(board_of(&[draining]).opens_at("s"), None);
}
