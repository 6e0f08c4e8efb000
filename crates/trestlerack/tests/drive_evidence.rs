//! A driver that lost its job while it stood still or was cut off starts nothing before it learns of the loss.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{DriveDecision, DriveGuard, DriveSettings, StoreContact};

const START: Timestamp = Timestamp(60_000_000);

/// Step of the simulation, and the length of each, in milliseconds.
const STEP_MS: u64 = 10;
const PLAY_MS: u64 = 25_000;

/// Time without an answer of the owner after which another node takes its job over, if the store serves it.
const TAKEOVER_MS: u64 = 700;

/// Time after the loss of a job in which a driver that is cut off may still start work, and in which it must have cancelled
/// work in progress: the time of a lease, and one step of the simulation.
const MAX_START_MS: u64 = 2_000;
const MAX_WORK_MS: u64 = 3_000 + STEP_MS;

/// Interval at which the owner is told of the takeover.
const NOTICE_MS: u64 = 250;

/// Time after which an unanswered call of each kind fails.
const WATCH_LIMIT_MS: u64 = 1_300;
const READ_LIMIT_MS: u64 = 600;
const PING_LIMIT_MS: u64 = 350;

/// Times in which the owner stands still, is cut off from the store and its peers, and in which the store is down.
struct Faults {
    frozen: Vec<(u64, u64)>,
    cut: Vec<(u64, u64)>,
    store_down: Vec<(u64, u64)>,
}

fn draw_spans(random: &mut Pcg64, longest_ms: u64) -> Vec<(u64, u64)> {
    let count = random.random_range(0..3);
    let mut span = || {
        let from = random.random_range(2_000..PLAY_MS);
        (from, from + random.random_range(100..longest_ms))
    };
    (0..count).map(|_| span()).collect()
}

fn contains(spans: &[(u64, u64)], at: u64) -> bool {
    spans.iter().any(|(from, to)| (*from..*to).contains(&at))
}

/// A call of the owner that is not answered yet.
struct PendingCall {
    sent: u64,
    due: u64,
    limit: u64,
}

impl PendingCall {
    fn new(sent: u64, latency: u64, limit: u64) -> Self {
        Self { sent, due: sent + latency, limit }
    }

    /// Returns whether the call is answered at `now`, and `Some(false)` if it fails then.
    fn outcome(&self, now: u64, is_reachable: bool) -> Option<bool> {
        match now {
            _ if now >= self.sent + self.limit => Some(false),
            _ if now >= self.due && is_reachable => Some(true),
            _ => None,
        }
    }
}

/// What a play has shown.
#[derive(Debug, Default)]
struct Findings {
    /// Starts after the loss of the job that a driver must not make.
    wrong_starts: Vec<u64>,
    /// Whether work went on for too long after the loss.
    goes_on: bool,
    /// Times in which nothing was started although no other node could take the job over.
    idle: Vec<u64>,
    is_lost: bool,
}

/// Plays one owner until it learns of the loss of its job.
fn play(seed: u64, settings: &DriveSettings) -> Findings {
    let mut random = Pcg64::seed_from_u64(seed);
    let faults = Faults {
        frozen: draw_spans(&mut random, 4_000),
        cut: draw_spans(&mut random, 7_000),
        store_down: draw_spans(&mut random, 9_000),
    };
    let at = |ms: u64| START + Duration::from_millis(ms);
    let mut contact = StoreContact::new(settings.clone());
    let mut guard = DriveGuard::new(settings.clone(), at(0));
    contact.record_answer(at(0));
    let (mut watch, mut read, mut ping): (Option<PendingCall>, Option<PendingCall>, Option<PendingCall>) =
        Default::default();
    let (mut taken, mut silent_since, mut works_since_loss) = (None, None, None);
    let mut proven = 0;
    let mut findings = Findings::default();
    for now in (0..PLAY_MS).step_by(STEP_MS as usize) {
        let (is_frozen, is_cut) = (contains(&faults.frozen, now), contains(&faults.cut, now));
        let is_store_up = !contains(&faults.store_down, now);
        let is_silent = is_frozen || is_cut;
        silent_since = if is_silent { silent_since.or(Some(now)) } else { None };
        if is_store_up && silent_since.is_some_and(|since| now - since >= TAKEOVER_MS) {
            taken = taken.or(Some(now));
        }
        if is_frozen {
            works_since_loss = works_since_loss.map(|_| now);
            continue;
        }
        // The node that has taken the job over tells the owner, until the owner answers.
        if taken.is_some_and(|taken| !is_cut && now > taken && (now - taken).is_multiple_of(NOTICE_MS)) {
            findings.is_lost = true;
            return findings;
        }
        let reaches_store = is_store_up && !is_cut;
        let latency = random.random_range(5..700);
        let pending = watch.get_or_insert_with(|| PendingCall::new(now, latency, WATCH_LIMIT_MS));
        if let Some(is_answered) = pending.outcome(now, reaches_store) {
            let sent = pending.sent;
            watch = None;
            if is_answered && taken.is_some_and(|taken| sent >= taken) {
                findings.is_lost = true;
                return findings;
            }
            if is_answered {
                proven = proven.max(sent);
                contact.record_answer(at(sent))
            } else {
                contact.record_failure(at(sent))
            }
        }
        if let Some((sent, is_answered)) =
            read.as_ref().and_then(|call| Some((call.sent, call.outcome(now, reaches_store)?)))
        {
            read = None;
            if is_answered && taken.is_some_and(|taken| sent >= taken) {
                findings.is_lost = true;
                return findings;
            }
            if is_answered {
                proven = proven.max(sent);
                guard.confirm(at(sent))
            } else {
                contact.record_failure(at(sent))
            }
        }
        if let Some((sent, is_answered)) = ping.as_ref().and_then(|call| Some((call.sent, call.outcome(now, !is_cut)?)))
        {
            ping = None;
            if is_answered {
                contact.record_peer_answer(at(sent));
            }
        }
        let decision = guard.check(at(now), &contact, true);
        if decision != DriveDecision::Start {
            read = read.or_else(|| Some(PendingCall::new(now, 20, READ_LIMIT_MS)));
        }
        if guard.needs_contact(at(now), &contact) {
            ping = ping.or_else(|| Some(PendingCall::new(now, 20, PING_LIMIT_MS)));
        }
        if let Some(taken) = taken {
            let stood_still = faults.frozen.iter().any(|(from, to)| {
                to.saturating_sub(*from) > TAKEOVER_MS && *from < taken && (taken..=now).contains(to)
            });
            if decision == DriveDecision::Start && (stood_still || now - taken >= MAX_START_MS) {
                findings.wrong_starts.push(now);
            }
            works_since_loss =
                if decision == DriveDecision::Cancel { Some(now) } else { works_since_loss.or(Some(now)) };
            findings.goes_on |= works_since_loss.is_some_and(|since| now - since > MAX_WORK_MS);
        } else {
            let is_disturbed = |past| contains(&faults.frozen, past) || contains(&faults.cut, past);
            let is_undisturbed = !(proven..now).step_by(STEP_MS as usize).any(is_disturbed);
            if is_undisturbed && decision != DriveDecision::Start {
                findings.idle.push(now);
            }
        }
    }
    findings
}

/// Seeds of the plays.
const SEEDS: std::ops::Range<u64> = 0..600;

#[test]
fn a_driver_that_lost_its_job_starts_nothing_and_stops() {
    let mut losses = 0;
    for seed in SEEDS {
        let findings = play(seed, &DriveSettings::default());
        assert!(findings.wrong_starts.is_empty() && !findings.goes_on, "seed {seed}: {findings:?}");
        losses += usize::from(findings.is_lost);
    }
    assert!(losses > 200, "{losses} jobs were lost");
}

/// While the store is down for all nodes and peers answer, the driver goes on but for the time in which it finds that out.
#[test]
fn a_driver_goes_on_while_the_store_is_down() {
    for seed in SEEDS {
        let idle = play(seed, &DriveSettings::default()).idle.len() as u64 * STEP_MS;
        assert!(idle <= 2_000, "seed {seed}: {idle} ms without a start");
    }
}

#[test]
fn the_check_finds_drivers_without_the_guard() {
    let never = Duration::from_secs(3_600);
    let broken = [
        DriveSettings { stall_limit: never, ..DriveSettings::default() },
        DriveSettings { max_age: never, ..DriveSettings::default() },
    ];
    for settings in broken {
        let is_wrong = |seed: u64| !play(seed, &settings).wrong_starts.is_empty();
        assert!(SEEDS.into_iter().any(is_wrong), "{settings:?}");
    }
    let settings = DriveSettings { cancel_age: never, ..DriveSettings::default() };
    assert!(SEEDS.into_iter().any(|seed| play(seed, &settings).goes_on), "{settings:?}");
}

/// A deployment of one node has nobody that could take a job over.
#[test]
fn a_node_without_peers_goes_on_while_the_store_is_down() {
    let (settings, mut contact) = (DriveSettings::default(), StoreContact::default());
    let mut guard = DriveGuard::new(settings, START);
    contact.record_failure(START + Duration::from_millis(100));
    for ms in (0..20_000).step_by(50) {
        let now = START + Duration::from_millis(ms);
        assert_eq!(guard.check(now, &contact, false), DriveDecision::Start, "after {ms} ms");
    }
}
