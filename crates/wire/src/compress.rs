//! Compression of long messages between balancers.

use base::prelude::*;

/// Length of the prefix that holds the length before compression, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Compresses bytes, after a prefix with their length.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(bytes)
}

/// Decompresses bytes to at most `max` bytes. The length prefix is checked first, so that a forged one
/// cannot cause a large allocation.
///
/// # Errors
///
/// `Malformed` if the bytes are not compressed ones, or if they were longer than `max`.
pub fn decompress(bytes: &[u8], max: usize) -> Result<Vec<u8>, Code> {
    let (length, _) = bytes
        .split_at_checked(LENGTH_PREFIX_BYTES)
        .ok_or(Code::Malformed)?;
    let length = u32::from_le_bytes(length.try_into().expect("the length prefix has four bytes"));
    if length as usize > max {
        return Err(Code::Malformed);
    }
    lz4_flex::decompress_size_prepended(bytes).map_err(|_| Code::Malformed)
}
