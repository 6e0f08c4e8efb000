//! Fingerprints that identify the same request over all of its attempts.
//!
//! Request ids cannot serve for this, since a client gives each attempt a new one.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Length of a fingerprint in bytes: half of a SHA-256 digest. Among 2^32 requests, the probability
/// that two share a fingerprint is 2^-65.
const FINGERPRINT_BYTES: usize = 16;

/// The parts of a request that determine what a backend server does with it.
///
/// The caller's API key is excluded; only the name of the customer that holds it is included.
#[derive(Clone, Debug)]
pub struct RequestContent<'a, Body: AsRef<[u8]> = &'a [u8]> {
    /// Customer that the request is served for.
    pub customer: Option<&'a str>,
    /// Host that selects the route.
    pub host: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Body.
    pub body: Body,
}

impl<Body: AsRef<[u8]>> RequestContent<'_, Body> {
    /// Returns the fingerprint. It is the same on every node and for every attempt.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = Sha256::new();
        let text_parts = [self.customer.unwrap_or(""), self.host, self.path];
        for part in text_parts.map(str::as_bytes).into_iter().chain([self.body.as_ref()]) {
            // The length prefix makes the encoding unambiguous: bytes cannot move between parts.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        RequestFingerprint(bytes)
    }
}

/// A digest of a request's customer, host, path and body.
///
/// It reveals neither the body nor the key, but it lets a guess of the whole body be verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// Error returned if a string is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintParseError;

impl fmt::Display for FingerprintParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "expected {} hexadecimal digits", 2 * FINGERPRINT_BYTES)
    }
}

impl std::str::FromStr for RequestFingerprint {
    type Err = FingerprintParseError;

    fn from_str(text: &str) -> Result<Self, FingerprintParseError> {
        let is_hex = text.len() == 2 * FINGERPRINT_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = if is_hex { u128::from_str_radix(text, 16) } else { return Err(FingerprintParseError) };
        number.map(|number| Self(number.to_be_bytes())).map_err(|_| FingerprintParseError)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
