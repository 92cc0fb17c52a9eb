//! What is read from the platform and from peers, and how old it is.
//!
//! One balancer of each failure domain, the reader, keeps a watch for each kind and tells the others
//! what changed. The others read for themselves when they start, when a change did not reach them
//! whole, and for as long as they hear no reader.

use base::prelude::*;
use conf::object::Kind;
use conf::raw;
use conf::store::Change;
use conf::store::Store;

/// The kinds that are read, in the order in which they are put in force.
pub const KINDS: [Kind; 3] = [Kind::Routing, Kind::Server, Kind::Domain];

/// How long the platform may hold a watch. Keep-alives, not the end of a watch, show that its
/// connection is lost.
pub const WATCH_WAIT: Span = Span::secs(10);
/// Pause between an answer with changes and the next watch, so that changes in a row share one call.
pub const GATHER: Span = Span::millis(150);
/// Wait after the first failure; doubles with each further one.
pub const BACKOFF_MIN: Span = Span::millis(150);
/// Longest wait after failures: a small part of the time within which changes have to be in force.
pub const BACKOFF_MAX: Span = Span::millis(800);
/// Age of a reader's last word after which a balancer reads for itself: three words that it missed.
pub const SILENCE: Span = Span::millis(1_250);
/// Time for which news of a newer revision may wait for the change itself.
pub const PATIENCE: Span = Span::millis(400);

/// Where a feed stands with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// No read is under way; the next may start at this time.
    Idle(Time),
    /// A read is under way since this time.
    Running(Time),
}

/// The objects of one kind.
#[derive(Clone, Debug)]
pub struct Feed {
    kind: Kind,
    store: Store,
    reading: Reading,
    /// A listing is needed: nothing is known yet, or the history was lost.
    needs_listing: bool,
    /// A read is needed even from a balancer that hears a reader.
    needs_read: bool,
    failures: u32,
    /// When the platform, or a reader that had it from there, last answered.
    confirmed: Option<Time>,
    /// When a reader was last heard.
    heard: Option<Time>,
}

/// A read that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// The kind.
    pub kind: Kind,
    /// The revision to start from; 0 for a listing.
    pub since: u64,
    /// How long the platform may wait.
    pub wait: Span,
}

impl Feed {
    fn new(kind: Kind) -> Feed {
        Feed {
            kind,
            store: Store::new(),
            reading: Reading::Idle(Time::default()),
            needs_listing: true,
            needs_read: true,
            failures: 0,
            confirmed: None,
            heard: None,
        }
    }

    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the objects.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns whether all objects of some revision are known.
    pub fn is_known(&self) -> bool {
        self.confirmed.is_some()
    }

    /// Returns whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the time since the platform last answered, here or to a reader.
    pub fn age(&self, now: Time) -> Span {
        self.confirmed.map_or(Span(u64::MAX), |at| now.since(at))
    }

    /// Returns the read that is due, and takes it as begun.
    pub fn read(&mut self, now: Time, is_reader: bool) -> Option<Read> {
        let Reading::Idle(due) = self.reading else {
            return None;
        };
        let hears_reader = self.heard.is_some_and(|at| now.since(at) < SILENCE);
        let is_wanted = self.needs_read || is_reader || !hears_reader;
        if !is_wanted || now < due {
            return None;
        }
        self.reading = Reading::Running(now);
        let since = match self.needs_listing {
            true => 0,
            false => self.store.revision(),
        };
        let wait = match self.needs_read {
            true => Span::ZERO,
            false => WATCH_WAIT,
        };
        Some(Read {
            kind: self.kind,
            since,
            wait,
        })
    }

    /// Takes the platform's answer in.
    pub fn answer(
        &mut self,
        now: Time,
        since: u64,
        upto: u64,
        objects: &[raw::Object],
    ) -> Option<Change> {
        let is_listing = since == 0;
        if is_listing && upto < self.store.revision() {
            // A listing of the past: the platform's answer is older than what is known.
            self.reading = Reading::Idle(now + GATHER);
            return None;
        }
        let change = self.store.apply(objects, since, upto);
        self.failures = 0;
        self.needs_listing &= !is_listing;
        self.needs_read = false;
        self.confirmed = Some(now);
        self.reading = Reading::Idle(match change.is_empty() {
            true => now,
            false => now + GATHER,
        });
        Some(change)
    }

    /// Notes that a read failed, with a jitter for the wait from 0 to 99.
    pub fn fail(&mut self, now: Time, is_history_gone: bool, jitter: u64) {
        self.needs_listing |= is_history_gone;
        let doublings = self.failures.min(8);
        let most = Span(BACKOFF_MIN.0 << doublings).min(BACKOFF_MAX);
        self.failures += u32::from(!is_history_gone);
        let wait = match is_history_gone {
            true => Span::ZERO,
            false => Span(most.0 / 2 + most.0 * jitter / 200),
        };
        self.reading = Reading::Idle(now + wait);
    }

    /// Takes in what a reader told.
    pub fn hear(
        &mut self,
        now: Time,
        since: u64,
        upto: u64,
        age: Span,
        objects: &[raw::Object],
    ) -> Change {
        self.heard = Some(now);
        let change = self.store.apply(objects, since, upto);
        match change.gap {
            true => self.needs_read = true,
            false => self.confirmed = self.confirmed.max(Some(now - age)),
        }
        change
    }

    /// Asks for a read even while another one is under way or a reader is heard.
    pub fn refresh(&mut self, now: Time) {
        self.needs_read = true;
        self.reading = Reading::Idle(now);
    }
}

/// The feeds of all kinds.
#[derive(Clone, Debug)]
pub struct Feeds {
    feeds: [Feed; 3],
    /// Since when a peer is known to know of something newer.
    behind: Option<Time>,
}

impl Default for Feeds {
    fn default() -> Feeds {
        Feeds {
            feeds: KINDS.map(Feed::new),
            behind: None,
        }
    }
}

impl Feeds {
    /// Returns the feed of a kind, if that kind is read.
    pub fn get(&self, kind: Kind) -> Option<&Feed> {
        self.feeds.iter().find(|feed| feed.kind == kind)
    }

    /// Returns the feed of a kind for a change, if that kind is read.
    pub fn get_mut(&mut self, kind: Kind) -> Option<&mut Feed> {
        self.feeds.iter_mut().find(|feed| feed.kind == kind)
    }

    /// Returns all feeds.
    pub fn iter(&self) -> impl Iterator<Item = &Feed> {
        self.feeds.iter()
    }

    /// Returns all feeds for a change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Feed> {
        self.feeds.iter_mut()
    }

    /// Returns whether all kinds are known.
    pub fn are_known(&self) -> bool {
        self.feeds.iter().all(Feed::is_known)
    }

    /// Returns the age of what is known of a kind.
    pub fn age(&self, kind: Kind, now: Time) -> Span {
        self.get(kind).map_or(Span(u64::MAX), |feed| feed.age(now))
    }

    /// Returns the highest version of an object that is known.
    pub fn newest(&self) -> u64 {
        let newest = self.feeds.iter().map(|feed| feed.store.newest());
        newest.max().unwrap_or_default()
    }

    /// Takes in that a peer knows an object of this version.
    ///
    /// A watch whose connection is lost shows no sign of it. Where the change does not come by itself,
    /// all kinds are read again.
    pub fn heard_newest(&mut self, now: Time, version: u64) {
        if version <= self.newest() {
            self.behind = None;
            return;
        }
        let since = *self.behind.get_or_insert(now);
        if now.since(since) >= PATIENCE {
            self.behind = None;
            for feed in &mut self.feeds {
                feed.refresh(now);
            }
        }
    }

    /// Asks for all kinds to be read again: what is known may be out of date.
    pub fn refresh(&mut self, now: Time) {
        for feed in &mut self.feeds {
            feed.refresh(now);
        }
    }
}
