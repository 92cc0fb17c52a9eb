//! Assembly of request bodies that arrive in blocks (RFC 7959).

use std::collections::BTreeMap;

use base::prelude::*;
use bytes::Bytes;
use bytes::BytesMut;
use wire::coap::Block;

/// Maximum length of a request body.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Maximum number of incomplete bodies.
const MAX_INCOMPLETE: usize = 1_024;
/// Time without a new block after which an incomplete body is dropped.
const INCOMPLETE_LIFETIME: Span = Span::secs(60);

/// Result of adding a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// More blocks are needed.
    Continue,
    /// The body is complete.
    Complete(Bytes),
}

#[derive(Clone, Debug)]
struct Partial {
    data: BytesMut,
    last_block: Time,
}

/// Incomplete bodies, by flow and operation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assembly {
    bodies: BTreeMap<(u64, u64), Partial>,
}

impl Assembly {
    /// Adds a block; a duplicate changes nothing.
    ///
    /// # Errors
    ///
    /// `BlockMissing` if the block leaves a gap, `BodyTooLarge` if the body or the number of bodies
    /// exceeds its limit.
    pub(crate) fn add_block(
        &mut self,
        now: Time,
        key: (u64, u64),
        block: Block,
        payload: &Bytes,
    ) -> Result<Step, Code> {
        let offset = block.offset();
        if offset + payload.len() > MAX_BODY_BYTES {
            self.bodies.remove(&key);
            return Err(Code::BodyTooLarge);
        }
        if block.more && payload.len() != block.size() {
            return Err(Code::BlockMissing);
        }
        if offset == 0 {
            self.create_body(now, key)?;
        }
        let body = self.bodies.get_mut(&key).ok_or(Code::BlockMissing)?;
        if offset > body.data.len() {
            return Err(Code::BlockMissing);
        }
        let end = offset + payload.len();
        if body.data.get(offset..end) != Some(payload.as_ref()) {
            // A caller that restarts the transfer replaces the blocks it sent before.
            body.data.truncate(offset);
            body.data.extend_from_slice(payload);
        }
        body.last_block = now;
        if block.more {
            return Ok(Step::Continue);
        }
        let mut whole = self
            .bodies
            .remove(&key)
            .map(|body| body.data)
            .unwrap_or_default();
        whole.truncate(offset + payload.len());
        Ok(Step::Complete(whole.freeze()))
    }

    fn create_body(&mut self, now: Time, key: (u64, u64)) -> Result<(), Code> {
        let is_new = !self.bodies.contains_key(&key);
        if is_new && self.bodies.len() >= MAX_INCOMPLETE {
            return Err(Code::BodyTooLarge);
        }
        self.bodies.entry(key).or_insert_with(|| Partial {
            data: BytesMut::new(),
            last_block: now,
        });
        Ok(())
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.bodies
            .retain(|_, body| now.since(body.last_block) < INCOMPLETE_LIFETIME);
    }
}
