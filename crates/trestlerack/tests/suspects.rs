//! Requests under which servers ended: who is held, who is not, and what is kept of them.

use bolero::check;
use std::time::Duration;
use trestlerack::process::{
    CrashReport, ServerEntry, SuspectSettings, SuspectState, SuspectTracker, TrialGrants, server_start,
};
use trestlerack::request::{RequestContent, RequestFingerprint};
use trestlerack::{Name, Timestamp};

const NOW: Timestamp = Timestamp(10_000_000);

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestContent { customer: None, host: "h", path: "/x", body: body.as_bytes() }.fingerprint()
}

fn server(number: u64) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}").into(),
        started_ms: number,
        service: "plain".into(),
        address: "10.0.0.1:80".into(),
        zone: "z".into(),
        slots: 4,
        is_draining: false,
        models: Vec::new(),
        heartbeat: 1,
    }
}

fn book() -> SuspectTracker {
    SuspectTracker::new(SuspectSettings::default())
}

/// Sends contents to a server together, which ends under them.
fn end_under(book: &mut SuspectTracker, now: Timestamp, number: u64, contents: &[RequestFingerprint]) {
    let server = server(number);
    let runs: Vec<_> = contents.iter().map(|content| (*content, book.sent(now, &server.instance, *content))).collect();
    let trials: Vec<bool> =
        runs.iter().map(|(_, run)| run.is_some_and(|run| book.is_trial(&server.instance, run))).collect();
    for ((content, run), is_trial) in runs.into_iter().zip(trials) {
        book.ended_under(now, content, &server, is_trial);
        if let Some(run) = run {
            book.returned(&server.instance, run);
        }
    }
}

fn join_all(book: &mut SuspectTracker, notes: &[CrashReport]) {
    for note in notes {
        book.join(NOW, note);
    }
}

/// Returns whether a content is held once the strikes of now count.
fn is_held(book: &SuspectTracker, content: RequestFingerprint) -> bool {
    matches!(book.standing(settled(NOW), content), SuspectState::Held(_))
}

fn settled(now: Timestamp) -> Timestamp {
    now + SuspectSettings::default().settle_time
}

#[test]
fn three_ends_hold_a_content_and_fewer_do_not() {
    let (mut book, fatal) = (book(), fingerprint("fatal"));
    for number in 1..=3 {
        assert!(!is_held(&book, fatal), "after {} ends", number - 1);
        end_under(&mut book, NOW, number, &[fatal]);
    }
    assert!(is_held(&book, fatal));
    let other = fingerprint("other");
    assert_eq!(book.standing(NOW, other), SuspectState::Clear);
}

/// The same server start counts once, however many arrivals of the content were there.
#[test]
fn one_end_is_one_strike() {
    let (mut book, fatal) = (book(), fingerprint("fatal"));
    for _ in 0..5 {
        end_under(&mut book, NOW, 1, &[fatal, fatal]);
    }
    assert_eq!(book.standing(NOW, fatal), SuspectState::Suspected(1));
}

/// A request that was beside the fatal one at each of its ends has the same strikes. Neither is held
/// until a trial, which each makes alone, tells them apart.
#[test]
fn a_bystander_of_every_end_is_not_held() {
    let (mut book, fatal, bystander) = (book(), fingerprint("fatal"), fingerprint("bystander"));
    for number in 1..=3 {
        end_under(&mut book, NOW, number, &[fatal, bystander]);
    }
    assert!(!is_held(&book, fatal) && !is_held(&book, bystander));
    end_under(&mut book, NOW, 4, &[fatal]);
    assert!(!is_held(&book, bystander), "the fatal one accounts for its strikes");
    book.answered(NOW, bystander);
    assert!(is_held(&book, fatal));
    assert_eq!(book.standing(NOW, bystander), SuspectState::Clear);
}

/// The node of a bystander knows its strikes at once, those of the fatal request come from another node
/// a moment later, and so it seems alone to blame in between.
#[test]
fn a_bystander_is_not_held_before_the_strikes_of_others_have_come() {
    let (mut book, fatal, bystander) = (book(), fingerprint("fatal"), fingerprint("bystander"));
    for number in 1..=3 {
        end_under(&mut book, NOW, number, &[bystander]);
    }
    let soon = NOW + Duration::from_millis(600);
    assert_eq!(book.standing(soon, bystander), SuspectState::Suspected(3));
    for number in 1..=3 {
        book.ended_under(soon, fatal, &server(number), true);
    }
    assert_eq!(book.standing(settled(soon), bystander), SuspectState::Suspected(3));
    assert_eq!(book.settles_in(soon, fatal), SuspectSettings::default().settle_time);
    assert_eq!(book.settles_in(settled(soon), fatal), Duration::ZERO);
}

#[test]
fn a_suspect_is_kept_apart_from_the_others() {
    let (mut book, fatal, bystander) = (book(), fingerprint("fatal"), fingerprint("bystander"));
    end_under(&mut book, NOW, 1, &[fatal, bystander]);
    let busy: Name = "i-2".into();
    let run = book.sent(NOW, &busy, fatal).unwrap();
    assert_eq!(book.shared_servers(bystander), std::slice::from_ref(&busy));
    assert!(book.shared_servers(fatal).is_empty(), "it may be where it is already");
    assert!(book.is_trial(&busy, run));
    let beside = book.sent(NOW, &busy, bystander).unwrap();
    assert!(!book.is_trial(&busy, run) && !book.is_trial(&busy, beside), "from now on neither is alone");
    book.returned(&busy, run);
    assert!(!book.is_trial(&busy, beside), "it was not alone all the while");
}

/// Many servers that end at once, for a reason of their own, take the samples of a group with them.
#[test]
fn ends_at_one_moment_hold_nobody_before_a_trial() {
    let (mut book, group) = (book(), fingerprint("prompt of a group"));
    for number in 1..=6 {
        book.ended_under(NOW, group, &server(number), false);
    }
    assert_eq!(book.standing(NOW, group), SuspectState::Suspected(6));
    book.answered(NOW, group);
    assert_eq!(book.standing(NOW, group), SuspectState::Clear);
}

/// Requests that ask the same all the time are in progress at most ends.
#[test]
fn a_content_that_was_just_answered_gets_no_strike() {
    let (mut book, usual) = (book(), fingerprint(""));
    book.answered(NOW, usual);
    assert!(book.ended_under(NOW + Duration::from_secs(9), usual, &server(1), true).is_none());
    assert!(book.ended_under(NOW + Duration::from_secs(11), usual, &server(2), true).is_some());
}

#[test]
fn a_held_content_may_be_sent_again_after_its_time() {
    let (mut book, fatal) = (book(), fingerprint("fatal"));
    (1..=3).for_each(|number| end_under(&mut book, NOW, number, &[fatal]));
    let SuspectState::Held(left) = book.standing(settled(NOW), fatal) else { panic!("it is held") };
    let over = NOW + SuspectSettings::default().life;
    assert_eq!(settled(NOW) + left, over);
    assert_eq!(book.standing(over, fatal), SuspectState::Clear);
    end_under(&mut book, over, 9, &[fingerprint("other")]);
    assert_eq!(book.lines(over).len(), 1, "nothing is kept beyond its time");
}

#[test]
fn a_break_in_doubt_is_settled_by_service_discovery() {
    let (mut book, fatal) = (book(), fingerprint("fatal"));
    book.doubt(NOW, fatal, &server(1), true);
    assert!(book.server_gone(NOW, &server(2)).is_empty());
    assert_eq!(book.server_gone(NOW, &server(1)).len(), 1);
    assert!(book.server_gone(NOW, &server(1)).is_empty(), "each break counts once");
    book.doubt(NOW, fatal, &server(3), true);
    assert!(book.server_gone(NOW + Duration::from_secs(6), &server(3)).is_empty(), "that was too long ago");
}

/// What a storm of ends leaves is bounded, and the content that most servers ended under stays.
#[test]
fn what_is_kept_is_bounded() {
    let settings = SuspectSettings::default();
    let (mut book, fatal) = (book(), fingerprint("fatal"));
    (1..=3).for_each(|number| end_under(&mut book, NOW, number, &[fatal]));
    for number in 0..5_000_u64 {
        book.ended_under(NOW, fingerprint(&format!("{number}")), &server(10 + number % 7), false);
        book.ended_under(NOW, fatal, &server(1_000 + number), true);
        book.doubt(NOW, fatal, &server(number), true);
        book.answered(NOW, fingerprint(&format!("sound {number}")));
    }
    assert!(is_held(&book, fatal));
    assert_eq!(book.lines(NOW).len(), settings.most_suspects);
    let mine = book.notes(NOW).into_iter().filter(|note| note.fingerprint == fatal).count();
    assert_eq!(mine, settings.most_strikes);
}

/// A content that was cleared again and again, of ends that were none of its doing, and then ends
/// servers itself, as one does that a new release cannot bear.
#[test]
fn strikes_that_were_cleared_leave_room_for_new_ones() {
    let (mut book, content) = (book(), fingerprint("sound for long"));
    let apart = SuspectSettings::default().sound_life;
    let mut now = NOW;
    for number in 0..40 {
        now = now + apart;
        end_under(&mut book, now, number, &[content]);
        book.answered(now, content);
    }
    for number in 100..103 {
        now = now + apart;
        end_under(&mut book, now, number, &[content]);
    }
    assert!(matches!(book.standing(settled(now), content), SuspectState::Held(_)));
}

/// Whatever nodes hear, in whatever order and how often, they come to the same verdicts.
#[test]
fn the_order_of_news_makes_no_difference() {
    check!().with_type::<(Vec<(u8, u8, bool, bool)>, u64)>().for_each(|(news, seed)| {
        let note = |(content, start, is_trial, is_void): &(u8, u8, bool, bool)| CrashReport {
            fingerprint: fingerprint(&format!("{}", content % 4)),
            server: server_start(&format!("i-{}", start % 6), 0),
            is_trial: *is_trial,
            is_void: *is_void,
            age_ms: 0,
        };
        let notes: Vec<CrashReport> = news.iter().map(note).collect();
        let mut shuffled = notes.clone();
        shuffled.extend(notes.iter().take(3).copied());
        let len = shuffled.len();
        (1..len).for_each(|place| shuffled.swap(place, (seed.wrapping_mul(place as u64) % len as u64) as usize));
        let (mut left, mut right) = (book(), book());
        join_all(&mut left, &notes);
        join_all(&mut right, &shuffled);
        for content in 0..4 {
            let content = fingerprint(&format!("{content}"));
            assert_eq!(left.standing(settled(NOW), content), right.standing(settled(NOW), content));
        }
        // A node that missed everything and is told what another one keeps knows as much.
        let mut late = book();
        join_all(&mut late, &left.notes(NOW));
        assert_eq!(late.lines(settled(NOW)), left.lines(settled(NOW)));
    });
}

/// Several contents end servers, of which few are left, so each accounts for ends of the others. Each is held
/// once three servers ended under it, one of them while it had the server for itself.
#[test]
fn contents_that_end_servers_together_are_all_held() {
    let mut book = book();
    let fatal: Vec<RequestFingerprint> = (0..4).map(|number| fingerprint(&format!("fatal {number}"))).collect();
    end_under(&mut book, NOW, 1, &fatal);
    end_under(&mut book, NOW, 2, &fatal);
    for (number, content) in (3_u64..).zip(&fatal) {
        assert!(!is_held(&book, *content));
        end_under(&mut book, NOW, number, std::slice::from_ref(content));
    }
    assert!(fatal.iter().all(|content| is_held(&book, *content)));
}

/// A verdict stands, whatever servers end under other contents later.
#[test]
fn ends_of_others_release_nobody() {
    let (mut book, first, second) = (book(), fingerprint("first"), fingerprint("second"));
    (1..=3).for_each(|number| end_under(&mut book, NOW, number, &[first]));
    assert!(is_held(&book, first));
    for number in 1..=8 {
        book.ended_under(NOW, second, &server(number), number > 3);
    }
    assert!(is_held(&book, first));
}

#[test]
fn a_server_is_given_to_one_suspect_at_a_time() {
    let (mut trials, server): (TrialGrants, Name) = (TrialGrants::default(), "i-1".into());
    let (first, second) = (fingerprint("first"), fingerprint("second"));
    assert!(trials.grant(NOW, &server, first));
    assert!(trials.grant(NOW, &server, first), "its node asks again after a lost answer");
    assert!(!trials.grant(NOW, &server, second));
    assert!(trials.grant(NOW, &"i-2".into(), second));
    assert!(trials.grant(NOW + Duration::from_secs(1), &server, second));
}
