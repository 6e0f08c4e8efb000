//! Rendezvous hashing, so that every node computes the same owner without asking anyone.

use twox_hash::XxHash64;

/// Separates the parts of a key, so that `("ab", "c")` and `("a", "bc")` have different hashes.
const PART_SEPARATOR: [u8; 1] = [0xff];

/// Hashes the parts of a key to 64 bits; the same on every node and in every release.
pub fn hash_parts(parts: &[&str]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = XxHash64::with_seed(0);
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write(&PART_SEPARATOR);
    }
    hasher.finish()
}

/// Hashes bytes to 64 bits; the same on every node and in every release.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(0, bytes)
}

/// Returns the rendezvous weight of `candidate` for `key`; the highest weight owns the key.
pub fn rendezvous_weight(key: u64, candidate: &str) -> u64 {
    XxHash64::oneshot(key, candidate.as_bytes())
}

/// Returns the rank of `own` among `others` for `key`: how many of them have a higher weight.
pub fn rank_among<'a>(key: u64, own: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let weight = rendezvous_weight(key, own);
    others.filter(|other| *other != own && rendezvous_weight(key, other) > weight).count()
}

/// Returns a 128-bit digest of `bytes` in lower-case hexadecimal, for content-addressed object names.
pub fn digest_hex(bytes: &[u8]) -> String {
    let low = hash_bytes(bytes);
    let high = XxHash64::oneshot(low, bytes);
    format!("{high:016x}{low:016x}")
}
