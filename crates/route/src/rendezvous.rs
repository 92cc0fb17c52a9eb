//! Rendezvous hashing: each candidate has a score for each key, and the one with the highest score
//! is chosen.

use base::hash;

/// Returns the score of a candidate for a key.
pub fn score(key: u64, candidate: u64) -> u64 {
    hash::pair(key, candidate)
}

/// Returns the candidate with the highest score for `key`.
pub fn highest(key: u64, candidates: impl Iterator<Item = u64>) -> Option<u64> {
    candidates.max_by_key(|&candidate| (score(key, candidate), candidate))
}

/// Returns the candidates with the highest and the second highest score for `key`.
pub fn highest_two(key: u64, candidates: impl Iterator<Item = u64>) -> Option<(u64, Option<u64>)> {
    let mut best: Option<(u64, u64)> = None;
    let mut next: Option<(u64, u64)> = None;
    for candidate in candidates {
        let ranked = Some((score(key, candidate), candidate));
        if ranked > best {
            next = best;
            best = ranked;
        } else if ranked > next {
            next = ranked;
        }
    }
    best.map(|(_, candidate)| (candidate, next.map(|(_, candidate)| candidate)))
}
