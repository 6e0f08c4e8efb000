//! Load shedding near the memory limit, minimum transfer rates, and connection limits.

use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{
    ConnectionCounter, ConnectionKind, ConnectionLimits, DownloadProgress, DownloadStatus, IdleClient, SMALL_BYTES,
    UploadProgress, UploadStatus, download_to_close, is_near_limit, longest_idle, run_limit, upload_to_refuse,
};

/// Memory limit in bytes.
const LIMIT: usize = 60_000_000;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn upload(id: u64, reserved: usize, received: usize, age: f64) -> UploadStatus {
    UploadStatus { id, reserved, received, age: seconds(age) }
}

fn download(id: u64, reserved: usize, pause: f64) -> DownloadStatus {
    DownloadStatus { id, reserved, pause: seconds(pause) }
}

#[test]
fn the_upload_with_most_memory_for_its_progress_is_refused_from_three_quarters_of_the_limit() {
    let uploads = [
        upload(1, 1_000_000, 900_000, 1.0),
        upload(2, 1_000_000, 2, 2.0),
        upload(3, 500_000, 2, 2.0),
        upload(4, SMALL_BYTES, 0, 60.0),
        upload(5, 9_000_000, 0, 0.1),
    ];
    assert!(!is_near_limit(LIMIT * 3 / 4 - 1, LIMIT) && is_near_limit(LIMIT * 3 / 4, LIMIT));
    assert!(!is_near_limit(usize::MAX - 1, usize::MAX), "there is no limit");
    assert_eq!(upload_to_refuse(&uploads), Some(2));
    assert_eq!(upload_to_refuse(&uploads[..1]), Some(1), "the only large one");
    assert_eq!(upload_to_refuse(&uploads[3..]), None, "small and new ones are never selected");
}

#[test]
fn the_stalled_download_with_most_memory_is_closed_and_never_one_that_is_read() {
    let downloads = [
        download(1, 1_000_000, 3.0),
        download(2, 4_000_000, 2.0),
        download(3, 30_000_000, 0.2),
        download(4, 60_000, 90.0),
    ];
    assert_eq!(download_to_close(&downloads), Some(2));
    assert_eq!(download_to_close(&downloads[..1]), Some(1));
    assert_eq!(download_to_close(&downloads[2..]), None);
    assert_eq!(download_to_close(&[]), None);
}

#[test]
fn the_run_limit_falls_towards_the_memory_limit_but_never_below_one() {
    assert_eq!(run_limit(LIMIT / 2, LIMIT), None);
    assert_eq!(run_limit(usize::MAX / 2, usize::MAX), None);
    let limits: Vec<usize> =
        (75..=110).map(|percent| run_limit(LIMIT / 100 * percent, LIMIT).expect("a limit")).collect();
    assert!(limits.windows(2).all(|pair| pair[1] <= pair[0]), "{limits:?}");
    assert_eq!((limits[0], limits[25], limits[35]), (64, 1, 1));
}

/// A client that sends a byte a second could occupy memory for as long as it likes. One on a narrow link, or
/// one that lost a packet, must not be mistaken for it.
#[test]
fn an_upload_of_a_byte_a_second_is_too_slow_and_one_on_a_narrow_link_is_not() {
    let start = Timestamp(1_000);
    let late_at = |bytes_per_tick: usize, tick_ms: u64, limit: Duration| {
        let mut progress = UploadProgress::start(start, limit);
        progress.record(start, bytes_per_tick);
        (1..=100).map(|tick| Timestamp(start.0 + tick * tick_ms)).find(|now| {
            let is_late = *now > progress.due();
            progress.record(*now, bytes_per_tick);
            is_late
        })
    };
    assert_eq!(late_at(1, 1_000, seconds(60.0)), Some(Timestamp(3_000)), "a byte extends the deadline by 1 ms");
    assert_eq!(late_at(2_000, 1_000, seconds(200.0)), None, "two kilobytes a second");
    assert_eq!(late_at(50_000, 2_900, seconds(400.0)), None, "a lost packet before each of the others");
    assert!(late_at(100_000, 200, seconds(2.0)).is_some_and(|late| late >= start + seconds(2.0)), "its own deadline");
    let mut stalled = UploadProgress::start(start, seconds(60.0));
    stalled.record(Timestamp(1_100), 450_000);
    assert_eq!(stalled.due(), Timestamp(4_100), "a fast start does not excuse a stall");
}

#[test]
fn a_stalled_or_trickling_download_is_closed_and_a_steady_one_is_not() {
    let start = Timestamp(1_000);
    let mut progress = DownloadProgress::start(start);
    assert_eq!(progress.due(), start + seconds(5.0));
    for step in 1..200 {
        let now = start + seconds(f64::from(step));
        assert!(now <= progress.due(), "after {step} s");
        progress.record(now, 5_000);
    }
    let last = start + seconds(199.0);
    assert_eq!((progress.due(), progress.pause(last + seconds(2.0))), (last + seconds(5.0), seconds(2.0)));
    let mut trickle = DownloadProgress::start(start);
    let late = (1..100).find(|step| {
        let now = start + seconds(f64::from(*step));
        let is_late = now > trickle.due();
        trickle.record(now, 100);
        is_late
    });
    assert_eq!(late, Some(6), "a hundred bytes a second");
}

#[test]
fn the_client_connection_idle_for_longest_is_closed_and_never_one_just_used() {
    let idle = |id, idle, is_used| IdleClient { id, idle: seconds(idle), is_used };
    let clients = [idle(1, 0.4, true), idle(2, 0.2, false), idle(3, 0.05, false)];
    assert_eq!(longest_idle(clients.into_iter()), Some(2), "it received no request and none is to be expected");
    assert_eq!(longest_idle([idle(4, 3.0, true), idle(5, 9.0, true)].into_iter().chain(clients)), Some(5));
    assert_eq!(longest_idle([clients[0], clients[2]].into_iter()), None);
}

/// Clients open connections without end. Connections to servers and to the store must keep their share.
#[test]
fn a_flood_of_one_kind_uses_no_descriptor_of_another() {
    let limits = ConnectionLimits::from_descriptors(3_075);
    let sum: usize = ConnectionKind::ALL.iter().map(|kind| limits.of(*kind)).sum();
    assert!(sum <= 3_075 - 200, "{sum}");
    let counter = ConnectionCounter::new(limits);
    let clients: Vec<_> = std::iter::from_fn(|| counter.try_acquire(ConnectionKind::Clients)).collect();
    assert_eq!(clients.len(), limits.of(ConnectionKind::Clients));
    for kind in [ConnectionKind::Peers, ConnectionKind::Servers, ConnectionKind::Store] {
        assert!(counter.try_acquire(kind).is_some(), "{kind:?}");
    }
    let extra: Vec<_> = std::iter::from_fn(|| counter.try_acquire_beyond(ConnectionKind::Clients, 3)).collect();
    assert_eq!(extra.len(), 3);
    drop((clients, extra));
    assert!(ConnectionKind::ALL.iter().all(|kind| counter.open(*kind) == 0));
    assert!(
        ConnectionCounter::new(ConnectionLimits::from_descriptors(0)).try_acquire(ConnectionKind::Clients).is_some()
    );
}
