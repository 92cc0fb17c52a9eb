//! The membership table: how updates change records, and how records are added and removed.

use base::prelude::*;

use crate::entry::Entry;
use crate::event::Effect;
use crate::group::Group;
use crate::queue::Priority;
use crate::record::Member;
use crate::record::State;

/// The number of balancers up to which one `sync_window` completes a view.
const SYNC_WINDOW_MEMBERS: usize = 64;

impl Group {
    /// Applies an update if it supersedes the known record. Disseminates the known record again if
    /// the sender does not know yet that it is final.
    pub(crate) fn apply_update(&mut self, now: Time, update: Member, out: &mut Vec<Effect>) {
        if update.incarnation == self.local.incarnation {
            return self.refute(&update, out);
        }
        let Some(entry) = self.entries.get(&update.incarnation) else {
            return self.add_record(now, update, out);
        };
        let newer = update.order() > entry.member.order();
        let stale = entry.member.state.is_final() && !update.state.is_final();
        if newer {
            self.apply_state(now, &update, out);
        } else if stale {
            self.disseminate(update.incarnation, Priority::State);
        }
        self.raise_revision(update.incarnation, update.revision, out);
    }

    /// Handles an update about this balancer: refutes a suspicion by a new epoch, which the next
    /// messages carry in this balancer's own record. A death cannot be refuted.
    fn refute(&mut self, update: &Member, out: &mut Vec<Effect>) {
        if self.local.state.is_final() {
            return;
        }
        if update.state.is_final() {
            return self.supersede(out);
        }
        if update.order() > self.local.order() {
            self.local.epoch = update.epoch + 1;
            self.store_local();
        }
    }

    /// Raises the revision in the record of a live balancer. It is independent of the order of
    /// records: the table keeps the highest revision received. Only revisions of the own failure
    /// domain are disseminated.
    fn raise_revision(&mut self, member: Incarnation, revision: u64, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(&member) else {
            return;
        };
        if entry.member.revision >= revision || !entry.is_live() {
            return;
        }
        entry.member.revision = revision;
        if entry.member.domain == self.local.domain {
            self.disseminate(member, Priority::Revision);
        }
        out.push(Effect::Changed(member));
    }

    /// Applies the state and the epoch of an update to a known record.
    pub(crate) fn apply_state(&mut self, now: Time, update: &Member, out: &mut Vec<Effect>) {
        let sync = self.setting.sync_window;
        let Some(entry) = self.entries.get_mut(&update.incarnation) else {
            return;
        };
        if entry.member.state == State::Suspect && !update.state.is_final() {
            // It was unreachable, and has missed updates.
            entry.sync_until = now + sync;
        }
        entry.member.state = update.state;
        entry.member.epoch = entry.member.epoch.max(update.epoch);
        entry.state_since = now;
        entry.was_leaving |= update.state == State::Leaving;
        if update.state.is_final() {
            self.live_count -= 1;
        }
        self.disseminate(update.incarnation, Priority::State);
        out.push(match update.state {
            State::Dead => Effect::Dead(update.incarnation),
            State::Left => Effect::Left(update.incarnation),
            State::Alive | State::Suspect | State::Leaving => Effect::Changed(update.incarnation),
        });
    }

    /// Sets the state of a known record by a local decision, without an update from a peer.
    pub(crate) fn set_state(
        &mut self,
        now: Time,
        member: Incarnation,
        state: State,
        out: &mut Vec<Effect>,
    ) {
        if let Some(entry) = self.entries.get(&member) {
            let update = Member {
                state,
                ..entry.member.clone()
            };
            self.apply_state(now, &update, out);
        }
    }

    /// Adds a record that was not known. Of two incarnations at one datagram address, only the later
    /// one can be alive.
    fn add_record(&mut self, now: Time, mut update: Member, out: &mut Vec<Effect>) {
        if self.entries.len() >= self.setting.max_members && !self.evict_tombstone() {
            return;
        }
        let incarnation = update.incarnation;
        if update.state.is_final() {
            let entry = Entry::new(update, now, Span::ZERO);
            self.entries.insert(incarnation, entry);
            return;
        }
        let address = update.peer.datagram;
        let other = self.addresses.get(&address).copied();
        // 0 stands for no other balancer: it is less than every incarnation.
        let other = other.unwrap_or(Incarnation(0));
        if other > incarnation {
            // A later process has its address. Peers may still list it as alive, so that the death
            // has to be disseminated.
            update.state = State::Dead;
            let mut entry = Entry::new(update, now, Span::ZERO);
            entry.was_added_final = false;
            self.entries.insert(incarnation, entry);
            return self.disseminate(incarnation, Priority::State);
        }
        if other == self.local.incarnation {
            // A later process has this balancer's address.
            return self.supersede(out);
        }
        if self.entries.get(&other).is_some_and(Entry::is_live) {
            self.set_state(now, other, State::Dead, out);
        }
        self.add_live(now, update, out);
    }

    fn add_live(&mut self, now: Time, update: Member, out: &mut Vec<Effect>) {
        let incarnation = update.incarnation;
        let mut entry = Entry::new(update, now, self.setting.sync_window);
        entry.eligibility = self.eligibility(now, &entry);
        self.addresses
            .insert(entry.member.peer.datagram, incarnation);
        self.entries.insert(incarnation, entry);
        self.live_count += 1;
        if now < self.sync_until && self.live_count > SYNC_WINDOW_MEMBERS {
            // The view was incomplete, and may still be.
            self.sync_until = now + self.setting.sync_window;
        }
        self.disseminate(incarnation, Priority::State);
        out.push(Effect::Joined(incarnation));
    }

    /// Removes the oldest tombstone. Returns whether there was one.
    fn evict_tombstone(&mut self) -> bool {
        let finals = self.entries.iter().filter(|(_, entry)| !entry.is_live());
        let oldest = finals.min_by_key(|(_, entry)| entry.state_since);
        let Some((&oldest, _)) = oldest else {
            return false;
        };
        self.remove_tombstone(oldest);
        true
    }

    /// Removes a tombstone, and the failure domain of which it was the last record.
    pub(crate) fn remove_tombstone(&mut self, member: Incarnation) {
        self.update_queue.remove(member);
        let Some(entry) = self.entries.remove(&member) else {
            return;
        };
        let Member { peer, domain, .. } = entry.member;
        if self.addresses.get(&peer.datagram) == Some(&member) {
            self.addresses.remove(&peer.datagram);
        }
        if self.members().all(|member| member.domain != domain) {
            self.domains.remove(&domain);
        }
    }

    /// Returns how often a balancer of this name has flapped lately: the number of its tombstones
    /// but one, since the first return is free.
    pub(crate) fn flap_count(&self, name: &str) -> u32 {
        let gone = |entry: &&Entry| !entry.is_live() && entry.member.name == name;
        let gone = self.entries.values().filter(gone).count();
        u32::try_from(gone).unwrap_or(u32::MAX).saturating_sub(1)
    }
}
