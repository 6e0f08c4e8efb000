//! What a request asks for, apart from its id: a client gives each attempt another one.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Bytes of a fingerprint. Half of a SHA-256: two of 2^32 requests share one with a chance of 2^-65.
const FINGERPRINT_BYTES: usize = 16;

/// What decides what a backend server does with a request. A caller's key is no part of it, only the
/// name of the customer that holds it.
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
    /// Returns the fingerprint, which is the same on every node and for every attempt.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = Sha256::new();
        let head = [self.customer.unwrap_or(""), self.host, self.path];
        for part in head.map(str::as_bytes).into_iter().chain([self.body.as_ref()]) {
            // Lengths keep the parts apart, so that no byte can move from one to the next.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        RequestFingerprint(bytes)
    }
}

/// A digest of a request's customer, host, path and body. Neither body nor key can be read from it;
/// whoever guesses a whole body can check the guess.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// Why a text is no fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadFingerprint;

impl fmt::Display for BadFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "expected {} hexadecimal digits", 2 * FINGERPRINT_BYTES)
    }
}

impl std::str::FromStr for RequestFingerprint {
    type Err = BadFingerprint;

    fn from_str(text: &str) -> Result<Self, BadFingerprint> {
        let is_hex = text.len() == 2 * FINGERPRINT_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = if is_hex { u128::from_str_radix(text, 16) } else { return Err(BadFingerprint) };
        number.map(|number| Self(number.to_be_bytes())).map_err(|_| BadFingerprint)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
