//! Who gives way when what is held nears its bound, and which callers are too slow.

use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{
    DescriptorBoard, DescriptorBounds, DescriptorKind, IdleClient, ReadPace, ReaderView, SMALL_BYTES, SendPace,
    SenderView, is_pressed, longest_idle, reader_to_cut, run_limit, sender_to_refuse,
};

const BOUND: usize = 60_000_000;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn sender(id: u64, held: usize, received: usize, age: f64) -> SenderView {
    SenderView { id, held, received, age: seconds(age) }
}

fn reader(id: u64, held: usize, pause: f64) -> ReaderView {
    ReaderView { id, held, pause: seconds(pause) }
}

#[test]
fn the_sender_that_holds_most_for_its_progress_is_refused_from_three_quarters_on() {
    let senders = [
        sender(1, 1_000_000, 900_000, 1.0),
        sender(2, 1_000_000, 2, 2.0),
        sender(3, 500_000, 2, 2.0),
        sender(4, SMALL_BYTES, 0, 60.0),
        sender(5, 9_000_000, 0, 0.1),
    ];
    assert!(!is_pressed(BOUND * 3 / 4 - 1, BOUND) && is_pressed(BOUND * 3 / 4, BOUND));
    assert!(!is_pressed(usize::MAX - 1, usize::MAX), "nothing is bounded");
    assert_eq!(sender_to_refuse(&senders), Some(2));
    assert_eq!(sender_to_refuse(&senders[..1]), Some(1), "the only large one");
    assert_eq!(sender_to_refuse(&senders[3..]), None, "small and new ones are never chosen");
}

#[test]
fn the_slowest_reader_that_holds_most_is_cut_and_never_one_that_reads() {
    let readers =
        [reader(1, 1_000_000, 3.0), reader(2, 4_000_000, 2.0), reader(3, 30_000_000, 0.2), reader(4, 60_000, 90.0)];
    assert_eq!(reader_to_cut(&readers), Some(2));
    assert_eq!(reader_to_cut(&readers[..1]), Some(1));
    assert_eq!(reader_to_cut(&readers[2..]), None);
    assert_eq!(reader_to_cut(&[]), None);
}

#[test]
fn fewer_runs_are_started_the_nearer_the_bound_is_and_one_always() {
    assert_eq!(run_limit(BOUND / 2, BOUND), None);
    assert_eq!(run_limit(usize::MAX / 2, usize::MAX), None);
    let limits: Vec<usize> =
        (75..=110).map(|percent| run_limit(BOUND / 100 * percent, BOUND).expect("a limit")).collect();
    assert!(limits.windows(2).all(|pair| pair[1] <= pair[0]), "{limits:?}");
    assert_eq!((limits[0], limits[25], limits[35]), (64, 1, 1));
}

/// Load: a thousand senders of a byte a second, beside one on a narrow link and one that lost a packet.
#[test]
fn a_sender_of_a_byte_a_second_is_slow_and_one_on_a_narrow_link_is_not() {
    let start = Timestamp(1_000);
    let late_at = |bytes_per_tick: usize, tick_ms: u64, limit: Duration| {
        let mut pace = SendPace::start(start, limit);
        pace.receive(start, bytes_per_tick);
        (1..=100).map(|tick| Timestamp(start.0 + tick * tick_ms)).find(|now| {
            let is_late = *now > pace.due();
            pace.receive(*now, bytes_per_tick);
            is_late
        })
    };
    assert_eq!(late_at(1, 1_000, seconds(60.0)), Some(Timestamp(3_000)), "a byte earns a millisecond");
    assert_eq!(late_at(2_000, 1_000, seconds(200.0)), None, "two kilobytes a second");
    assert_eq!(late_at(50_000, 2_900, seconds(400.0)), None, "a lost packet between all others");
    assert!(late_at(100_000, 200, seconds(2.0)).is_some_and(|late| late >= start + seconds(2.0)), "its own deadline");
    let mut stalled = SendPace::start(start, seconds(60.0));
    stalled.receive(Timestamp(1_100), 450_000);
    assert_eq!(stalled.due(), Timestamp(4_100), "what came earlier is no credit for a stall");
}

#[test]
fn a_reader_that_takes_nothing_is_closed_and_one_that_goes_on_is_not() {
    let start = Timestamp(1_000);
    let mut pace = ReadPace::start(start);
    assert_eq!(pace.due(), start + seconds(5.0));
    for step in 1..200 {
        let now = start + seconds(f64::from(step));
        assert!(now <= pace.due(), "after {step} s");
        pace.take(now, 5_000);
    }
    let last = start + seconds(199.0);
    assert_eq!((pace.due(), pace.pause(last + seconds(2.0))), (last + seconds(5.0), seconds(2.0)));
    let mut trickle = ReadPace::start(start);
    let slow = (1..100).find(|step| {
        let now = start + seconds(f64::from(*step));
        let is_late = now > trickle.due();
        trickle.take(now, 100);
        is_late
    });
    assert_eq!(slow, Some(6), "a hundred bytes a second");
}

#[test]
fn the_client_that_is_idle_for_longest_is_closed_and_never_one_just_used() {
    let idle = |id, idle, is_used| IdleClient { id, idle: seconds(idle), is_used };
    let clients = [idle(1, 0.4, true), idle(2, 0.2, false), idle(3, 0.05, false)];
    assert_eq!(longest_idle(clients.into_iter()), Some(2), "no request has come on it, nor will one");
    assert_eq!(longest_idle([idle(4, 3.0, true), idle(5, 9.0, true)].into_iter().chain(clients)), Some(5));
    assert_eq!(longest_idle([clients[0], clients[2]].into_iter()), None);
}

/// Load: clients open connections without end. Those to servers and the store keep their parts.
#[test]
fn a_flood_of_one_kind_takes_no_descriptor_of_another() {
    let bounds = DescriptorBounds::of_descriptors(3_075);
    let sum: usize = DescriptorKind::ALL.iter().map(|kind| bounds.of(*kind)).sum();
    assert!(sum <= 3_075 - 200, "{sum}");
    let board = DescriptorBoard::new(bounds);
    let clients: Vec<_> = std::iter::from_fn(|| board.take(DescriptorKind::Clients)).collect();
    assert_eq!(clients.len(), bounds.of(DescriptorKind::Clients));
    for kind in [DescriptorKind::Peers, DescriptorKind::Servers, DescriptorKind::Store] {
        assert!(board.take(kind).is_some(), "{kind:?}");
    }
    let told: Vec<_> = std::iter::from_fn(|| board.take_beyond(DescriptorKind::Clients, 3)).collect();
    assert_eq!(told.len(), 3);
    drop((clients, told));
    assert!(DescriptorKind::ALL.iter().all(|kind| board.open(*kind) == 0));
    assert!(DescriptorBoard::new(DescriptorBounds::of_descriptors(0)).take(DescriptorKind::Clients).is_some());
}
