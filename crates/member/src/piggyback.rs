//! Selection of the updates that are piggybacked on a message.

use base::prelude::*;

use crate::entry::Entry;
use crate::group::Group;
use crate::queue::Priority;
use crate::record::Member;
use crate::record::State;
use crate::setting::doublings;

/// Length of the update queue above which messages become longer, in multiples of the updates that
/// fit a message.
const BACKLOG_FACTOR: usize = 4;

impl Group {
    /// Queues the record of a balancer for dissemination.
    pub(crate) fn disseminate(&mut self, member: Incarnation, priority: Priority) {
        let times = match priority {
            Priority::State => self.setting.transmit_limit(self.live_count),
            Priority::Revision => doublings(self.live_count),
        };
        self.update_queue.push(member, priority, times);
    }

    /// Returns the records for the message with number `seq`: this balancer's own, the receiver's
    /// if the receiver has to refute it, then queued updates. A receiver that joined or came back
    /// also gets a part of the table. An unknown receiver gets only this balancer's own record.
    pub(crate) fn updates_for(
        &mut self,
        now: Time,
        to: Option<Incarnation>,
        seq: u32,
    ) -> Vec<Member> {
        let mut updates = vec![self.local.clone()];
        let Some(entry) = to.and_then(|to| self.entries.get(&to)) else {
            return updates;
        };
        let receiver = entry.member.clone();
        let sync = entry.is_live() && now < entry.sync_until;
        if !matches!(receiver.state, State::Alive | State::Leaving) {
            updates.push(receiver.clone());
        }
        let room = self.max_updates().saturating_sub(updates.len());
        // An update of the revision alone is sent within the own failure domain only. Each domain
        // reports the revisions of its own balancers, and other domains can wait for them.
        let least = match receiver.domain == self.local.domain {
            true => Priority::Revision,
            false => Priority::State,
        };
        for member in self.update_queue.take_most_urgent(room, least) {
            if member != receiver.incarnation {
                updates.extend(self.get(member).cloned());
            }
        }
        if sync {
            self.add_table_part(&mut updates, &receiver, seq);
        }
        updates
    }

    /// Returns how many updates the next message carries: more than usual if the queue is long.
    fn max_updates(&self) -> usize {
        let updates = self.setting.max_updates;
        match self.update_queue.len() > updates * BACKLOG_FACTOR {
            true => self.setting.max_sync_updates,
            false => updates,
        }
    }

    /// Adds a part of the table, for anti-entropy. The part depends on the sequence number alone: a
    /// balancer that sends pings with consecutive numbers gets consecutive parts, from whichever
    /// balancers, and thus the whole table if that is the same everywhere.
    ///
    /// Former incarnations of the receiver come first: from them it computes how long its own hold
    /// time is.
    fn add_table_part(&self, updates: &mut Vec<Member>, receiver: &Member, seq: u32) {
        let limit = self.setting.max_sync_updates;
        let part_len = limit.saturating_sub(self.setting.max_updates).max(1);
        let start = (seq as usize).wrapping_mul(part_len) % self.entries.len().max(1);
        let entries = self.entries.values();
        let former = entries.clone().filter(|entry| {
            entry.member.name == receiver.name
                && entry.member.state.is_final()
                && !entry.was_added_final
        });
        let rotated = entries.clone().skip(start).chain(entries.take(start));
        for Entry {
            member,
            was_added_final,
            ..
        } in former.chain(rotated)
        {
            if updates.len() >= limit {
                return;
            }
            let is_included = |u: &Member| u.incarnation == member.incarnation;
            if !was_added_final
                && member.incarnation != receiver.incarnation
                && !updates.iter().any(is_included)
            {
                updates.push(member.clone());
            }
        }
    }
}
