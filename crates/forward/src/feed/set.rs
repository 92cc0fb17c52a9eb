//! The feeds of all kinds, and what one of them shows about the others.

use base::prelude::*;
use conf::object::Kind;

use super::Feed;
use super::ReadState;
use super::HEARTBEAT_KIND;
use super::KINDS;
use super::PEER_VERSION_TIMEOUT;
use crate::role::Role;

/// The feeds of all kinds.
#[derive(Clone, Debug)]
pub struct Feeds {
    feeds: [Feed; 3],
    /// The highest version of an object that a peer has and this balancer lacks, and since when.
    missing_version: Option<(u64, Time)>,
}

impl Default for Feeds {
    fn default() -> Feeds {
        Feeds {
            feeds: KINDS.map(Feed::new),
            missing_version: None,
        }
    }
}

impl Feeds {
    /// Returns the feed of a kind, if that kind is read.
    pub fn get(&self, kind: Kind) -> Option<&Feed> {
        self.feeds.iter().find(|feed| feed.kind == kind)
    }

    /// Returns the mutable feed of a kind, if that kind is read.
    pub fn get_mut(&mut self, kind: Kind) -> Option<&mut Feed> {
        self.feeds.iter_mut().find(|feed| feed.kind == kind)
    }

    /// Returns all feeds.
    pub fn iter(&self) -> impl Iterator<Item = &Feed> {
        self.feeds.iter()
    }

    /// Returns all mutable feeds.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Feed> {
        self.feeds.iter_mut()
    }

    /// Returns whether a complete state of each kind has been received.
    pub fn are_synced(&self) -> bool {
        self.feeds.iter().all(Feed::is_synced)
    }

    /// Returns whether the platform is being read for a missing kind, and has not failed to answer.
    pub fn are_being_read(&self) -> bool {
        let is_missing = |feed: &&Feed| !feed.is_synced();
        self.feeds
            .iter()
            .filter(is_missing)
            .all(|feed| feed.read_state == ReadState::Fetching && !feed.is_failing())
    }

    /// Returns the staleness of a kind, if its state has been received.
    pub fn age(&self, kind: Kind, now: Time) -> Option<Span> {
        self.get(kind)?.age(now)
    }

    /// Returns the highest version of any object here.
    pub fn newest(&self) -> u64 {
        let newest = self.feeds.iter().map(|feed| feed.store.newest_version());
        newest.max().unwrap_or_default()
    }

    /// Returns the revision up to which every object is present here: the highest version of an
    /// object, or the revision that all feeds have reached.
    fn covered_revision(&self) -> u64 {
        let revisions = self.feeds.iter().map(|feed| feed.store.revision());
        self.newest().max(revisions.min().unwrap_or_default())
    }

    /// Returns whether watermarks may be published to the recipients of a role. The heartbeat feed
    /// decides for all kinds, since its answers show the revision of the whole store.
    pub fn can_vouch(&self, now: Time, role: Role) -> bool {
        self.get(HEARTBEAT_KIND)
            .is_some_and(|feed| feed.can_vouch(now, role))
    }

    /// Marks the feeds that are behind the revision that an answer showed, and confirms those that
    /// have reached it.
    pub fn expect_revision(&mut self, now: Time, revision: u64) {
        for feed in &mut self.feeds {
            if feed.is_synced() && feed.store.revision() >= revision {
                feed.confirmed_at = Some(now);
            }
        }
        for feed in &mut self.feeds {
            feed.mark_behind(now, revision);
        }
    }

    /// Requests a read of each kind that is being watched, because the heartbeat failed and the
    /// other watches may have failed silently too.
    pub fn resync_watches(&mut self) {
        for feed in &mut self.feeds {
            feed.needs_read |= feed.read_state == ReadState::Watching;
        }
    }

    /// Records that a peer has an object of this version. If the object does not arrive within
    /// `PEER_VERSION_TIMEOUT`, all kinds are read again.
    pub fn observe_peer_version(&mut self, now: Time, version: u64) {
        let covered = self.covered_revision();
        if version > covered {
            let since = self.missing_version.map_or(now, |(_, since)| since);
            self.missing_version = Some((version, since));
        }
        self.missing_version = self.missing_version.filter(|&(wanted, _)| wanted > covered);
        if self
            .missing_version
            .is_some_and(|(_, since)| now.since(since) >= PEER_VERSION_TIMEOUT)
        {
            self.missing_version = None;
            self.request_reads(now);
        }
    }

    /// Requests a read of the heartbeat's kind, unless one is in flight that is answered at once.
    pub fn request_heartbeat(&mut self, now: Time) {
        let feed = self.get_mut(HEARTBEAT_KIND);
        if let Some(feed) = feed.filter(|feed| feed.read_state != ReadState::Fetching) {
            feed.request_read(now);
        }
    }

    /// Requests a read of all kinds, because their state may be stale.
    pub fn request_reads(&mut self, now: Time) {
        for feed in &mut self.feeds {
            feed.request_read(now);
        }
    }
}
