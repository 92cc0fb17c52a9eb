//! Access to the options of a CoAP packet.

use std::collections::LinkedList;

use coap_lite::CoapOption;
use coap_lite::Packet;
use percent_encoding::percent_encode;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;

use super::Block;
use super::BLOCK_SZX;

/// Number of the Echo option, which carries the route token (RFC 9175).
pub(super) const ECHO: u16 = 252;
/// Characters that are percent-encoded in a path segment or query argument.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'=');

/// Options of a packet, looked up by number.
pub(super) struct Options<'a>(pub(super) &'a Packet);

impl Options<'_> {
    /// Returns the values of all options with this number, in order.
    pub(super) fn values(&self, number: u16) -> impl Iterator<Item = &[u8]> {
        self.0
            .get_option(CoapOption::from(number))
            .into_iter()
            .flat_map(LinkedList::iter)
            .map(Vec::as_slice)
    }

    /// Returns the value of the first option with this number.
    pub(super) fn value(&self, number: u16) -> Option<&[u8]> {
        self.values(number).next()
    }

    /// Decodes the first option with this number as `uint`. Returns `None` if there is none, or if it
    /// has more than 4 bytes.
    pub(super) fn uint_value(&self, number: u16) -> Option<u32> {
        let data = self.value(number)?;
        (data.len() <= 4).then(|| data.iter().fold(0, |sum, byte| sum << 8 | u32::from(*byte)))
    }

    /// Decodes a block option. A value that is not valid is an error.
    pub(super) fn block(&self, option: CoapOption) -> Result<Option<Block>, ()> {
        let number = u16::from(option);
        if self.value(number).is_none() {
            return Ok(None);
        }
        let value = self.uint_value(number).ok_or(())?;
        let block = Block {
            number: value >> 4,
            more: value & 8 != 0,
            exponent: value & 7,
        };
        // Exponent 7 is reserved, and a block number has 20 bits (RFC 7959 section 2.2).
        if block.exponent > BLOCK_SZX || block.number >= 1 << 20 {
            return Err(());
        }
        Ok(Some(block))
    }

    /// Returns path (Uri-Path, 11) and query (Uri-Query, 15), or `None` if a segment is `.` or `..`,
    /// which would change the path.
    pub(super) fn target(&self) -> Option<String> {
        let mut target = String::new();
        for segment in self.values(11) {
            if segment == b"." || segment == b".." {
                return None;
            }
            target.push('/');
            target.extend(percent_encode(segment, SEGMENT));
        }
        if target.is_empty() {
            target.push('/');
        }
        let mut separator = '?';
        for argument in self.values(15) {
            target.push(separator);
            target.extend(percent_encode(argument, SEGMENT));
            separator = '&';
        }
        Some(target)
    }
}

/// Encodes an option value in `uint` format, without leading zero bytes.
pub(super) fn encode_uint(value: u32) -> Vec<u8> {
    let skip = value.leading_zeros() as usize / 8;
    value.to_be_bytes()[skip..].to_vec()
}
