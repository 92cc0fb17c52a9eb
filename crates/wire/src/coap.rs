//! CoAP requests of callers, and the answers to them (RFC 7252, 7959, 8132, 9175).
//!
//! - `answer`: answers, and their block-wise encoding.
//! - `response_code`: CoAP codes of answers.
//! - `option`: access to the options of a packet.

use base::hash;
use base::prelude::*;
use bytes::Bytes;
use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;

use option::encode_uint;
use option::Options;
use option::ECHO;

mod answer;
mod option;
pub mod response_code;

pub use answer::encode_error;
pub use answer::Answer;

/// Length in bytes of the longest datagram that is accepted from a caller (RFC 7252 section 4.6).
pub const MAX_DATAGRAM: usize = 1_400;
/// Size of a block of an answer, in bytes.
pub const BLOCK_LEN: usize = 1 << (BLOCK_SZX + 4);
/// Size exponent (SZX) of `BLOCK_LEN`.
const BLOCK_SZX: u32 = 6;

/// Number of the Request-Tag option, which distinguishes bodies of one endpoint (RFC 9175).
const REQUEST_TAG: u16 = 292;
/// Number of the option with the deadline in milliseconds: elective, in the experimental range.
pub const DEADLINE: u16 = 65_002;

/// Critical options that are supported: Uri-Host, Uri-Port, Uri-Path, Uri-Query, Block2 and Block1.
/// A request with any other is rejected.
const SUPPORTED_CRITICAL: [u16; 6] = [3, 7, 11, 15, 23, 27];

/// Supported critical options that must not be repeated: Uri-Host, Uri-Port, Block2 and Block1 (RFC
/// 7252 section 5.4.5, RFC 7959).
const NON_REPEATABLE: [u16; 4] = [3, 7, 23, 27];

/// Request method.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::FromRepr, strum::IntoStaticStr,
)]
#[repr(u8)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Method {
    /// Reads a resource.
    Get = 1,
    /// Has a request processed, at most once.
    Post = 2,
    /// Replaces a resource.
    Put = 3,
    /// Removes a resource.
    Delete = 4,
    /// Changes a resource, at most once.
    Patch = 6,
    /// Changes a resource by an idempotent patch.
    IPatch = 7,
}

impl Method {
    /// Returns whether running the request twice has the same effect as running it once.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Method::Post | Method::Patch)
    }

    /// Returns the corresponding HTTP method (RFC 7252 section 10).
    pub const fn http(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Delete => "DELETE",
            Method::Patch | Method::IPatch => "PATCH",
        }
    }
}

/// A block option (RFC 7959).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// Number of the block, from 0.
    pub number: u32,
    /// More blocks follow.
    pub more: bool,
    /// Size exponent (SZX): the size of a block is `2^(exponent + 4)` bytes.
    pub exponent: u32,
}

/// The block of an answer that is sent unless the request selects another.
const FIRST_BLOCK: Block = Block {
    number: 0,
    more: false,
    exponent: BLOCK_SZX,
};

impl Block {
    /// Returns the offset of the block's first byte.
    pub const fn offset(self) -> usize {
        (self.number as usize) << (self.exponent + 4)
    }

    /// Returns the size of a full block, in bytes.
    pub const fn size(self) -> usize {
        1 << (self.exponent + 4)
    }

    fn encode(self) -> Vec<u8> {
        encode_uint(self.number << 4 | u32::from(self.more) << 3 | self.exponent)
    }
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The message is confirmable: the answer is an acknowledgement.
    pub is_confirmable: bool,
    /// Message ID.
    pub message_id: u16,
    /// Token, up to 8 bytes.
    pub token: Vec<u8>,
    /// Method.
    pub method: Method,
    /// Path and query of the HTTP request, percent-encoded.
    pub target: String,
    /// Sealed route token.
    pub echo: Option<Vec<u8>>,
    /// The block of the request's body that this message carries.
    pub block1: Option<Block>,
    /// The requested block of the answer's body.
    pub block2: Option<Block>,
    /// Value of the Request-Tag option, which distinguishes concurrent bodies.
    pub request_tag: Vec<u8>,
    /// Time that the caller allows for the request, from its arrival.
    pub deadline: Option<Span>,
    /// Content format of the payload.
    pub content_format: Option<u16>,
    /// Payload.
    pub payload: Bytes,
}

/// Why a datagram is not a valid request, and how to react.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The datagram is dropped without an answer.
    Drop(Code),
    /// An empty confirmable message with this message ID, answered by a reset (RFC 7252 section
    /// 4.3).
    Ping(u16),
    /// The request is answered with an error.
    Reject {
        /// Result code.
        code: Code,
        /// CoAP response code.
        response_code: u8,
        /// Message ID.
        message_id: u16,
        /// Token.
        token: Vec<u8>,
        /// The message is confirmable.
        is_confirmable: bool,
    },
}

impl TryFrom<&[u8]> for Request {
    type Error = Error;

    fn try_from(data: &[u8]) -> Result<Request, Error> {
        let malformed = Error::Drop(Code::Malformed);
        if data.len() > MAX_DATAGRAM {
            return Err(malformed);
        }
        let packet = Packet::from_bytes(data).map_err(|_| malformed.clone())?;
        let header = &packet.header;
        let confirmable = match header.get_type() {
            MessageType::Confirmable => true,
            MessageType::NonConfirmable => false,
            MessageType::Acknowledgement | MessageType::Reset => return Err(malformed),
        };
        if header.get_version() != 1 {
            return Err(malformed);
        }
        if header.code == MessageClass::Empty && confirmable && data.len() == 4 {
            return Err(Error::Ping(header.message_id));
        }
        let method_code = u8::from(header.code);
        // Codes 0.01 to 0.31 are requests (RFC 7252 section 12.1).
        if !(1..32).contains(&method_code) {
            return Err(malformed);
        }
        let refuse = |code, coap_code| Error::Reject {
            code,
            response_code: coap_code,
            message_id: header.message_id,
            token: packet.get_token().to_vec(),
            is_confirmable: confirmable,
        };
        let method = Method::from_repr(method_code)
            .ok_or_else(|| refuse(Code::BadMethod, response_code::BAD_METHOD))?;
        if has_unknown_critical(&packet) {
            return Err(refuse(Code::BadOption, response_code::BAD_OPTION));
        }
        let options = Options(&packet);
        if NON_REPEATABLE
            .iter()
            .any(|number| options.values(*number).nth(1).is_some())
        {
            return Err(refuse(Code::BadOption, response_code::BAD_OPTION));
        }
        let bad_option = || refuse(Code::BadOption, response_code::BAD_OPTION);
        Ok(Request {
            is_confirmable: confirmable,
            message_id: header.message_id,
            token: packet.get_token().to_vec(),
            method,
            target: options.target().ok_or_else(bad_option)?,
            echo: options.value(ECHO).map(<[u8]>::to_vec),
            block1: options
                .block(CoapOption::Block1)
                .map_err(|()| bad_option())?,
            block2: options
                .block(CoapOption::Block2)
                .map_err(|()| bad_option())?,
            request_tag: options.value(REQUEST_TAG).unwrap_or_default().to_vec(),
            deadline: options
                .uint_value(DEADLINE)
                .map(|ms| Span::millis(u64::from(ms))),
            // 12 is the number of the Content-Format option.
            content_format: options.uint_value(12).and_then(|n| u16::try_from(n).ok()),
            payload: Bytes::from(packet.payload),
        })
    }
}

impl Request {
    /// Returns a hash of the message's content. A retransmission has the same digest.
    pub fn digest(&self) -> u64 {
        let mut data = self.operation().to_le_bytes().to_vec();
        data.extend(self.content_format.map_or([0; 3], |format| {
            let [high, low] = format.to_be_bytes();
            [1, high, low]
        }));
        for block in [self.block1, self.block2] {
            data.extend(block.map(Block::encode).unwrap_or_default());
            data.push(0xff);
        }
        data.extend(&self.payload);
        hash::bytes(&data)
    }

    /// Returns a hash of the parts that all messages of a block-wise exchange have in common:
    /// method, target and request tag.
    pub fn operation(&self) -> u64 {
        let mut data = vec![self.method as u8];
        data.extend(self.target.as_bytes());
        data.push(0);
        data.extend(&self.request_tag);
        hash::bytes(&data)
    }

    /// Returns whether the request is for a later block of an answer, not for a new answer.
    pub fn is_continuation(&self) -> bool {
        self.block2.is_some_and(|block| block.number > 0)
    }
}

/// Returns whether any critical option is not supported. Odd numbers are critical (RFC 7252 section
/// 5.4.6).
fn has_unknown_critical(packet: &Packet) -> bool {
    packet
        .options()
        .any(|(number, _)| number % 2 == 1 && !SUPPORTED_CRITICAL.contains(number))
}
