//! Answers to requests, and their encoding as CoAP messages.

use base::hash;
use base::prelude::*;
use bytes::Bytes;
use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use serde::Deserialize;
use serde::Serialize;

use super::option::encode_uint;
use super::option::ECHO;
use super::Block;
use super::Error;
use super::Request;
use super::FIRST_BLOCK;
use crate::token::Sealed;

/// An answer, independent of the message that carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// CoAP response code.
    pub response_code: u8,
    /// Result code; `Ok` for an answer of the backend server.
    pub code: Code,
    /// Content format of the body.
    pub content_format: Option<u16>,
    /// Max-Age option in seconds: how long a refusal is valid.
    pub max_age: Option<u32>,
    /// Complete body; for a refusal, the diagnostic text.
    pub body: Bytes,
}

impl Answer {
    /// Makes an answer from the response of a backend server.
    pub fn new(coap_code: u8, body: Bytes) -> Answer {
        Answer {
            response_code: coap_code,
            code: Code::Ok,
            content_format: None,
            max_age: None,
            body,
        }
    }

    /// Makes a refusal, with the code in its diagnostic text.
    pub fn refusal(coap_code: u8, code: Code) -> Answer {
        let body = Bytes::from(format!("{code}: {}", code.meaning()));
        Answer {
            code,
            ..Answer::new(coap_code, body)
        }
    }

    /// Sets the content format.
    pub fn with_content_format(mut self, format: Option<u16>) -> Answer {
        self.content_format = format;
        self
    }

    /// Sets how long a refusal is valid, in seconds.
    pub fn with_max_age(mut self, secs: u32) -> Answer {
        self.max_age = Some(secs);
        self
    }

    /// Returns whether more blocks follow the one that `request` selects.
    pub fn has_more(&self, request: &Request) -> bool {
        let wanted = request.block2.unwrap_or(FIRST_BLOCK);
        !self.is_refusal() && wanted.offset() + wanted.size() < self.body.len()
    }

    /// Returns whether a balancer made the answer. Its short text is never split into blocks.
    fn is_refusal(&self) -> bool {
        self.code != Code::Ok
    }

    /// Encodes the block of the answer that `request` selects, as the response to `request`. `echo` is
    /// the route token that the caller is to send with its next requests.
    pub fn encode(&self, request: &Request, echo: Option<&Sealed>) -> Bytes {
        let mut packet = response_packet(
            request.is_confirmable,
            request.message_id,
            &request.token,
            self.response_code,
        );
        let is_continuation = request.is_continuation() && !self.is_refusal();
        let wanted = match self.is_refusal() {
            true => FIRST_BLOCK,
            false => request.block2.unwrap_or(FIRST_BLOCK),
        };
        let offset = wanted.offset().min(self.body.len());
        let end = (offset + wanted.size()).min(self.body.len());
        if let Some(echo) = echo {
            packet.add_option(CoapOption::from(ECHO), echo.to_vec());
        }
        if let Some(format) = self.content_format {
            packet.add_option(CoapOption::ContentFormat, encode_uint(u32::from(format)));
        }
        if let Some(secs) = self.max_age {
            packet.add_option(CoapOption::MaxAge, encode_uint(secs));
        }
        if self.body.len() > wanted.size() || is_continuation {
            let block = Block {
                more: self.has_more(request),
                ..wanted
            };
            packet.add_option(CoapOption::Block2, block.encode());
            let etag = hash::bytes(&self.body).to_le_bytes().to_vec();
            packet.add_option(CoapOption::ETag, etag);
        }
        if let Some(block) = request.block1 {
            packet.add_option(CoapOption::Block1, block.encode());
        }
        packet.payload = self.body[offset..end].to_vec();
        encode(&packet)
    }
}

/// Encodes the response to a datagram that is not a valid request. Returns `None` if it gets none.
pub fn encode_error(error: &Error) -> Option<Bytes> {
    match error {
        Error::Drop(_) => None,
        Error::Ping(message) => {
            let mut packet = Packet::new();
            packet.header.set_type(MessageType::Reset);
            packet.header.message_id = *message;
            packet.header.code = MessageClass::Empty;
            Some(encode(&packet))
        }
        Error::Reject {
            code,
            response_code: coap_code,
            message_id: message,
            token,
            is_confirmable: confirmable,
        } => {
            let mut packet = response_packet(*confirmable, *message, token, *coap_code);
            packet.payload = format!("{code}: {}", code.meaning()).into_bytes();
            Some(encode(&packet))
        }
    }
}

fn response_packet(confirmable: bool, message_id: u16, token: &[u8], coap_code: u8) -> Packet {
    let mut packet = Packet::new();
    packet.header.set_version(1);
    packet.header.set_type(if confirmable {
        MessageType::Acknowledgement
    } else {
        MessageType::NonConfirmable
    });
    packet.header.message_id = message_id;
    packet.header.code = MessageClass::from(coap_code);
    packet.set_token(token.to_vec());
    packet
}

fn encode(packet: &Packet) -> Bytes {
    let data = packet.to_bytes_unlimited();
    // Tokens come from decoded requests and have at most 8 bytes, so that the header is valid.
    Bytes::from(data.expect("a response to a decoded request has a valid header"))
}
