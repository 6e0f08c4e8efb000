//! When a second server is asked beside the first.

#[path = "support/load.rs"]
mod load;

use std::time::Duration;
use trestlerack::process::{AttemptReason, RoomSettings, SecondAttempts, ServerBoard};
use trestlerack::{Name, Timestamp};

const TARGET: Duration = Duration::from_millis(150);

fn board(states_slowness: bool) -> ServerBoard {
    let entries: Vec<_> = (0..2).map(|number| load::plain_server(&format!("i-{number}"), "s", "z", 3)).collect();
    let mut board = load::board_of(&entries);
    if states_slowness {
        board.stated_slowness(Timestamp(0), "i-0", 100);
    }
    board
}

fn learn(board: &mut ServerBoard, took_ms: impl Iterator<Item = u64>) {
    for (step, ms) in took_ms.enumerate() {
        board.answer_took(Timestamp(step as u64), "i-0", &"r".into(), Duration::from_millis(ms));
    }
}

#[test]
fn a_service_that_states_no_slowness_gets_no_early_second_attempt() {
    let mut board = board(false);
    learn(&mut board, [40; 50].into_iter());
    assert_eq!(board.second_attempt_after("s", "r", TARGET), None);
}

/// The second server has one and a half times the median left, with a tenth of the target for the way back.
#[test]
fn the_second_server_is_asked_so_late_that_it_still_answers_in_time() {
    for median in [20, 30, 40, 50] {
        let mut board = board(true);
        learn(&mut board, [median; 50].into_iter());
        let after = board.second_attempt_after("s", "r", TARGET).unwrap();
        assert!(after >= Duration::from_millis(median));
        assert!(after + Duration::from_millis(median) <= TARGET, "{after:?} with a median of {median} ms");
    }
}

#[test]
fn the_second_server_is_never_asked_before_the_median() {
    let mut board = board(true);
    learn(&mut board, [120; 50].into_iter());
    assert_eq!(board.second_attempt_after("s", "r", TARGET), Some(Duration::from_millis(120)));
}

#[test]
fn without_a_target_few_answers_take_longer() {
    let mut board = board(true);
    assert_eq!(board.second_attempt_after("s", "r", Duration::ZERO), None, "nothing is known");
    learn(&mut board, (0..4_000).map(|step| 20 + step * 7 % 100));
    let after = board.second_attempt_after("s", "r", Duration::ZERO).unwrap().as_millis();
    assert!((100..140).contains(&after), "{after} ms, of answers from 20 to 120 ms");
}

#[test]
fn until_answers_are_known_half_of_the_target_is_waited() {
    assert_eq!(board(true).second_attempt_after("s", "r", TARGET), Some(Duration::from_millis(75)));
}

#[test]
fn a_full_service_has_no_room_for_second_attempts() {
    let mut board = board(true);
    let now = Timestamp(1_000);
    (0..5).for_each(|call| board.started(["i-0", "i-1"][call % 2]));
    assert!(board.has_room(now, "s"));
    board.started("i-1");
    assert!(!board.has_room(now, "s"));
}

#[test]
fn second_attempts_are_a_tenth_of_the_calls_and_a_few() {
    let settings = RoomSettings::default();
    let (mut budget, route): (_, Name) = (SecondAttempts::new(&settings), "r".into());
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.call(None, &route);
        spent += usize::from(budget.pay(None, &route, AttemptReason::Beside, false));
    }
    let most = 100 + settings.retry_reserve as usize;
    assert!((100..=most).contains(&spent), "{spent} of 1,000");
}
