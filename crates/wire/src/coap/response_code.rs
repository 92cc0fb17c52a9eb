//! CoAP response codes as bytes (RFC 7252 section 12.1.2, RFC 7959, RFC 8132).
//!
//! The upper 3 bits are the class, the lower 5 the detail: 4.05 is `0x85`.

/// 2.01.
pub const CREATED: u8 = 0x41;
/// 2.02.
pub const DELETED: u8 = 0x42;
/// 2.04.
pub const CHANGED: u8 = 0x44;
/// 2.05.
pub const CONTENT: u8 = 0x45;
/// 2.31.
pub const CONTINUE: u8 = 0x5f;
/// 4.00.
pub const BAD_REQUEST: u8 = 0x80;
/// 4.01.
pub const UNAUTHORIZED: u8 = 0x81;
/// 4.02.
pub const BAD_OPTION: u8 = 0x82;
/// 4.03.
pub const FORBIDDEN: u8 = 0x83;
/// 4.05.
pub const BAD_METHOD: u8 = 0x85;
/// 4.08.
pub const INCOMPLETE: u8 = 0x88;
/// 4.09.
pub const CONFLICT: u8 = 0x89;
/// 4.13.
pub const TOO_LARGE: u8 = 0x8d;
/// 5.00.
pub const INTERNAL_ERROR: u8 = 0xa0;
/// 5.02.
pub const BAD_GATEWAY: u8 = 0xa2;
/// 5.03.
pub const UNAVAILABLE: u8 = 0xa3;
/// 5.04.
pub const TIMEOUT: u8 = 0xa4;
