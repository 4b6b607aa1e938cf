//! Rendezvous hashing: all instances compute the same order without communication.

use std::cmp::Reverse;

/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the weight of `candidate` for `subject`, the same on every instance.
pub fn weight(subject: &str, candidate: &str) -> u64 {
    hash(subject.bytes().chain([0]).chain(candidate.bytes()))
}

/// Returns a hash of content, the same on every instance.
pub fn weight_of(content: &[u8]) -> u64 {
    hash(content.iter().copied())
}

/// Returns the weight of a candidate for a subject from the weights of their names, which callers
/// cache.
pub fn pair_weight(subject: u64, candidate: u64) -> u64 {
    finish(subject.rotate_left(32) ^ candidate)
}

fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    let hash =
        bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    finish(hash)
}

/// Spreads the bits of a hash; FNV mixes the high bits of short inputs poorly.
fn finish(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns the rank of `own` among `candidates` for `subject`, zero for the first.
pub fn rank<'a>(subject: &str, own: &str, candidates: impl IntoIterator<Item = &'a str>) -> usize {
    let own_key = sort_key(subject, own);
    let before = |candidate: &&str| *candidate != own && sort_key(subject, candidate) < own_key;
    candidates.into_iter().filter(before).count()
}

fn sort_key<'a>(subject: &str, candidate: &'a str) -> (Reverse<u64>, &'a str) {
    (Reverse(weight(subject, candidate)), candidate)
}
