//! Identification of callers by their keys, their access to jobs, and the limit on reads because of unknown
//! keys.

use bolero::check;
use std::time::Duration;
use trestlerack::version::{
    CallerCredential, CallerIdentity, Customer, CustomerDirectory, CustomerKey, RefreshLimiter,
};
use trestlerack::{Name, Timestamp};

fn directory() -> CustomerDirectory {
    let mut directory = CustomerDirectory::default();
    let key = CustomerKey::new;
    directory
        .add(Customer { name: "wash".into(), priority: Some(1), ..Customer::default() }, &[key("k-one"), key("k-two")]);
    directory.add(Customer { name: "pension".into(), ..Customer::default() }, &[key("k-three"), key("")]);
    directory
}

fn credential(key: &str) -> CallerCredential {
    CallerCredential::Key(CustomerKey::new(key))
}

#[test]
fn only_the_exact_key_identifies_its_customer() {
    let directory = directory();
    let customer_of = |credential: &CallerCredential| directory.find(credential).map(|found| found.name.to_string());
    assert_eq!(customer_of(&credential("k-one")), Some("wash".into()));
    assert_eq!(customer_of(&credential("k-two")), Some("wash".into()));
    assert_eq!(customer_of(&credential("k-three")), Some("pension".into()));
    for credential in [
        credential("k-on"),
        credential("k-one "),
        credential(""),
        CallerCredential::Missing,
        CallerCredential::Malformed,
    ] {
        assert_eq!(customer_of(&credential), None, "{credential:?}");
    }
}

#[test]
fn callers_are_identified_by_the_customers_of_the_configuration() {
    let directory = directory();
    let identify =
        |is_public, credential: &CallerCredential| CallerIdentity::identify(Some(&directory), is_public, credential);
    let name = |caller: CallerIdentity| caller.customer().map(|customer| customer.name.to_string());
    for is_public in [false, true] {
        assert_eq!(name(identify(is_public, &credential("k-two"))), Some("wash".into()));
        assert_eq!(identify(is_public, &credential("gone")), CallerIdentity::Unknown);
        assert_eq!(identify(is_public, &CallerCredential::Malformed), CallerIdentity::Unknown);
        assert_eq!(CallerIdentity::identify(None, is_public, &credential("gone")), CallerIdentity::Unrestricted);
    }
    assert_eq!(identify(true, &CallerCredential::Missing), CallerIdentity::Anonymous);
    assert_eq!(identify(false, &CallerCredential::Missing), CallerIdentity::Unknown);
    let no_customers = CustomerDirectory::default();
    assert_eq!(CallerIdentity::identify(Some(&no_customers), false, &credential("k-one")), CallerIdentity::Unknown);
}

#[test]
fn a_job_is_accessible_with_any_key_of_its_customer_and_no_other() {
    let directory = directory();
    let caller = |credential: &CallerCredential| CallerIdentity::identify(Some(&directory), true, credential);
    let wash: Name = "wash".into();
    assert!(
        caller(&credential("k-one")).may_access(Some(&wash)) && caller(&credential("k-two")).may_access(Some(&wash))
    );
    assert!(!caller(&credential("k-three")).may_access(Some(&wash)));
    assert!(!caller(&CallerCredential::Missing).may_access(Some(&wash)));
    assert!(!caller(&credential("gone")).may_access(None), "an unknown key gives no access");
    assert!(
        caller(&CallerCredential::Missing).may_access(None) && CallerIdentity::Unrestricted.may_access(Some(&wash))
    );
}

#[test]
fn keys_are_redacted_in_debug_output() {
    let texts = [format!("{:?}", credential("k-one")), format!("{:?}", directory())];
    for text in texts {
        assert!(!text.contains("k-one") && text.to_lowercase().contains("redacted"), "{text}");
    }
}

/// A node that receives 10,000 requests a second with unknown keys, at random times, reads the configuration at
/// most once a second. 300 random sequences of times are tried.
#[test]
fn many_unknown_keys_cause_at_most_one_read_per_interval() {
    const SECONDS: u64 = 3;
    check!().with_type::<[u8; 16]>().with_iterations(300).for_each(|offsets| {
        let mut limiter = RefreshLimiter::new(Duration::from_secs(1));
        let mut starts: Vec<u64> = Vec::new();
        for call in 0..SECONDS * 10_000 {
            let at = call / 10 + u64::from(offsets[(call % 16) as usize]) / 64;
            if limiter.try_start(Timestamp(at)) {
                starts.push(at);
            }
        }
        assert!(starts.windows(2).all(|pair| pair[1] - pair[0] >= 1_000), "{starts:?}");
        assert!(starts.len() as u64 <= SECONDS + 1 && !starts.is_empty());
    });
}
