//! Customers: who holds a key, what each caller may see, and how often unknown keys cost a read.

use bolero::check;
use std::time::Duration;
use trestlerack::version::{CallerCredential, CallerVerdict, Customer, CustomerDirectory, CustomerKey, RefreshGate};
use trestlerack::{Name, Timestamp};

fn directory() -> CustomerDirectory {
    let mut directory = CustomerDirectory::default();
    let key = CustomerKey::new;
    directory
        .add(Customer { name: "wash".into(), priority: Some(1), ..Customer::default() }, &[key("k-one"), key("k-two")]);
    directory.add(Customer { name: "pension".into(), ..Customer::default() }, &[key("k-three"), key("")]);
    directory
}

fn shown(key: &str) -> CallerCredential {
    CallerCredential::Key(CustomerKey::new(key))
}

#[test]
fn a_key_belongs_to_its_customer_and_what_is_no_key_to_nobody() {
    let directory = directory();
    let holder = |credential: &CallerCredential| directory.holder(credential).map(|found| found.name.to_string());
    assert_eq!(holder(&shown("k-one")), Some("wash".into()));
    assert_eq!(holder(&shown("k-two")), Some("wash".into()));
    assert_eq!(holder(&shown("k-three")), Some("pension".into()));
    for credential in
        [shown("k-on"), shown("k-one "), shown(""), CallerCredential::Missing, CallerCredential::Malformed]
    {
        assert_eq!(holder(&credential), None, "{credential:?}");
    }
}

#[test]
fn callers_are_judged_by_the_customers_of_the_configuration() {
    let directory = directory();
    let judge =
        |is_public, credential: &CallerCredential| CallerVerdict::judge(Some(&directory), is_public, credential);
    let name = |verdict: CallerVerdict| verdict.customer().map(|customer| customer.name.to_string());
    for is_public in [false, true] {
        assert_eq!(name(judge(is_public, &shown("k-two"))), Some("wash".into()));
        assert_eq!(judge(is_public, &shown("gone")), CallerVerdict::Unknown);
        assert_eq!(judge(is_public, &CallerCredential::Malformed), CallerVerdict::Unknown);
        assert_eq!(CallerVerdict::judge(None, is_public, &shown("gone")), CallerVerdict::Open);
    }
    assert_eq!(judge(true, &CallerCredential::Missing), CallerVerdict::Anonymous);
    assert_eq!(judge(false, &CallerCredential::Missing), CallerVerdict::Unknown);
    let nobody = CustomerDirectory::default();
    assert_eq!(CallerVerdict::judge(Some(&nobody), false, &shown("k-one")), CallerVerdict::Unknown);
}

#[test]
fn only_its_customer_sees_a_job_whatever_key_it_brings() {
    let directory = directory();
    let by = |credential: &CallerCredential| CallerVerdict::judge(Some(&directory), true, credential);
    let wash: Name = "wash".into();
    assert!(by(&shown("k-one")).may_see(Some(&wash)) && by(&shown("k-two")).may_see(Some(&wash)));
    assert!(!by(&shown("k-three")).may_see(Some(&wash)));
    assert!(!by(&CallerCredential::Missing).may_see(Some(&wash)));
    assert!(!by(&shown("gone")).may_see(None), "a key that nobody holds opens nothing");
    assert!(by(&CallerCredential::Missing).may_see(None) && CallerVerdict::Open.may_see(Some(&wash)));
}

#[test]
fn no_key_is_printed() {
    let texts = [format!("{:?}", shown("k-one")), format!("{:?}", directory())];
    for text in texts {
        assert!(!text.contains("k-one") && text.to_lowercase().contains("redacted"), "{text}");
    }
}

/// 10,000 bad keys a second at each of 300 nodes, at any moments: a node reads once a second at most.
#[test]
fn a_storm_of_bad_keys_is_no_storm_at_the_store() {
    const SECONDS: u64 = 3;
    check!().with_type::<[u8; 16]>().with_iterations(300).for_each(|offsets| {
        let mut gate = RefreshGate::new(Duration::from_secs(1));
        let mut starts: Vec<u64> = Vec::new();
        for call in 0..SECONDS * 10_000 {
            let at = call / 10 + u64::from(offsets[(call % 16) as usize]) / 64;
            if gate.try_start(Timestamp(at)) {
                starts.push(at);
            }
        }
        assert!(starts.windows(2).all(|pair| pair[1] - pair[0] >= 1_000), "{starts:?}");
        assert!(starts.len() as u64 <= SECONDS + 1 && !starts.is_empty());
    });
}
