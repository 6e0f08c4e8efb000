//! How long an answer may take before a second server is asked.

use std::time::Duration;
use trestlerack::process::{AnswerTimes, BoardSettings, ServerBoard};

fn usual_after(answers_ms: &[u64]) -> Option<Duration> {
    let mut board = ServerBoard::new(BoardSettings::default());
    let service = "scores".into();
    answers_ms.iter().for_each(|ms| board.answered(&service, Duration::from_millis(*ms)));
    board.usual_answer_time(&service)
}

#[test]
fn nothing_is_usual_before_enough_answers_are_known() {
    assert_eq!(usual_after(&[200; 7]), None);
    assert!(usual_after(&[200; 8]).is_some());
}

/// The same services with work three times longer and shorter: what is late follows the work.
#[test]
fn what_is_late_follows_the_work_of_the_service() {
    let work = [120, 160, 190, 240, 310, 170, 150, 420, 200, 230];
    for factor in [0.1, 1.0 / 3.0, 1.0, 3.0, 10.0] {
        let answers: Vec<u64> = work.iter().cycle().take(40).map(|ms| (f64::from(*ms) * factor) as u64).collect();
        let usual = usual_after(&answers).unwrap().as_secs_f64() * 1_000.0 / factor;
        assert!((420.0..1_000.0).contains(&usual), "{usual} ms at {factor}");
    }
}

#[test]
fn answers_that_hardly_differ_leave_room_for_a_longer_one() {
    assert!(usual_after(&[30; 100]).unwrap() >= Duration::from_millis(59));
}

/// Routes come and go with configurations, and those that are in use are learnt anew at once.
#[test]
fn estimates_of_names_that_are_gone_do_not_pile_up() {
    let mut times = AnswerTimes::default();
    for number in 0..5_000 {
        (0..8).for_each(|_| times.record(&format!("route-{number}").into(), Duration::from_millis(30)));
    }
    let kept = (0..5_000).filter(|number| times.usual(&format!("route-{number}")).is_some()).count();
    assert!(kept <= 1_024, "{kept} names are kept");
    assert!(times.usual("route-4999").is_some());
}
