//! Deterministic request and answer bodies, which both ends can compute.

use base::hash;

/// Returns the body for a path and a size in bytes; the same arguments give the same bytes.
pub fn generate(path: &str, size: usize) -> Vec<u8> {
    let seed = hash::bytes(path.as_bytes());
    let words = (0..size.div_ceil(8) as u64).map(|n| hash::pair(seed ^ size as u64, n));
    let mut data: Vec<u8> = words.flat_map(u64::to_le_bytes).collect();
    data.truncate(size);
    data
}

/// Returns the answer of a backend server to a POST: the request's ID and a digest of its body.
pub fn receipt(id: &str, body: &[u8]) -> String {
    format!("id={id} digest={:016x}", hash::bytes(body))
}
