//! Reassembles an answer from its blocks (RFC 7959).

use coap_lite::block_handler::BlockValue;
use coap_lite::CoapOption;
use coap_lite::Packet;

/// What to do after a block was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The answer is complete.
    Done(Vec<u8>),
    /// Request the block with this number.
    Next(u32),
    /// The block belongs to another answer, or is not the requested one: request the first block.
    Restart,
}

/// A partly received answer.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    etag: Option<Vec<u8>>,
    data: Vec<u8>,
    next: u32,
}

impl Assembly {
    /// Accepts the answer to the request for the next block.
    pub fn accept(&mut self, answer: &Packet) -> Step {
        let block = answer.get_first_option_as::<BlockValue>(CoapOption::Block2);
        let block = match block {
            None if self.next == 0 => return Step::Done(answer.payload.clone()),
            Some(Ok(block)) if u32::from(block.num) == self.next => block,
            _ => return self.restart(),
        };
        let etag = answer.get_first_option(CoapOption::ETag).cloned();
        if self.next == 0 {
            self.etag = etag;
        } else if self.etag != etag || self.data.len() != self.next as usize * block.size() {
            return self.restart();
        }
        self.data.extend_from_slice(&answer.payload);
        self.next += 1;
        if block.more {
            return Step::Next(self.next);
        }
        Step::Done(std::mem::take(&mut self.data))
    }

    fn restart(&mut self) -> Step {
        *self = Assembly::default();
        Step::Restart
    }
}
