//! Fingerprints are equal exactly for requests with the same customer, host, path and body.

use bolero::check;
use trestlerack::request::RequestContent;

type Parts = (Option<String>, String, String, Vec<u8>);

fn fingerprint((customer, host, path, body): &Parts) -> String {
    RequestContent { customer: customer.as_deref(), host, path, body: &body[..] }.fingerprint().to_string()
}

#[test]
fn requests_have_the_same_fingerprint_only_if_their_parts_are_equal() {
    check!().with_type::<(Parts, Parts)>().for_each(|(left, right)| {
        let key_of =
            |parts: &Parts| (parts.0.clone().unwrap_or_default(), parts.1.clone(), parts.2.clone(), parts.3.clone());
        assert_eq!(fingerprint(left) == fingerprint(right), key_of(left) == key_of(right));
    });
}

#[test]
fn bytes_moved_between_parts_change_the_fingerprint() {
    let parts = |host: &str, path: &str, body: &str| (None, host.to_owned(), path.to_owned(), body.as_bytes().to_vec());
    let whole = fingerprint(&parts("h", "/ab", "c"));
    assert_ne!(whole, fingerprint(&parts("h", "/a", "bc")));
    assert_ne!(whole, fingerprint(&parts("h/", "ab", "c")));
    assert_ne!(whole, fingerprint(&(Some("h".into()), String::new(), "/ab".into(), b"c".to_vec())));
}
