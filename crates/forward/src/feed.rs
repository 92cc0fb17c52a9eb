//! Replication of platform objects: reads, watches, updates from peers, and staleness.
//!
//! The reader (`role`) keeps a watch for each kind and publishes the changes to the other
//! balancers. Those read the platform themselves at their start, when a change does not reach them
//! completely, and while no updates arrive.
//!
//! A watch may fail silently: no change arrives although objects change. The watch of one kind
//! therefore serves as a heartbeat and is renewed every second or so. Each answer shows the
//! revision of the whole store; a feed that does not reach that revision in time is read again.
//!
//! A store that was restored from an older copy is in a new era (`conf::place`). The changes before
//! an answer of that era are unknown, whatever revision the read started from, so each feed lists its
//! kind again. It does so only after `REPEAT_PERIOD`: until the authors of lost changes have repeated
//! them, the state of before the restore is closer to what they want than the copy. Answers and
//! updates of an earlier era are ignored.

use base::prelude::*;
use conf::object::Kind;
use conf::place::Place;
use conf::raw;
use conf::store::Change;
use conf::store::Store;

use crate::role::Role;
use crate::role::Tier;
use crate::role::WATERMARK_AGE_MAX;
use crate::startup;

mod restore;
mod set;

use restore::Restore;
pub use restore::REPEAT_PERIOD;
pub use set::Feeds;

/// The kinds that are read, in the order in which they are put in force.
pub const KINDS: [Kind; 3] = [Kind::Routing, Kind::Server, Kind::Domain];

/// The kind whose watch is the heartbeat: operators' changes of routings have to be in force
/// soonest.
pub const HEARTBEAT_KIND: Kind = Kind::Routing;
/// How long the platform may hold the heartbeat watch. Together with the detection of a missing
/// answer and a new read, it fits the 3 s within which a change has to be in force.
pub const HEARTBEAT_WAIT: Span = Span::millis(700);
/// How long the platform may hold any other watch.
pub const WATCH_WAIT: Span = Span::secs(10);
/// The delay between an answer with changes and the next watch, so that changes in quick succession
/// share one call.
pub const DEBOUNCE: Span = Span::millis(50);
/// The backoff after the first failure. It doubles with each further one.
pub const BACKOFF_MIN: Span = Span::millis(150);
/// Bounds the backoff after failures: a small part of the time within which changes have to be in
/// force.
pub const BACKOFF_MAX: Span = Span::millis(800);
/// How long a feed may stay behind the revision that another feed's answer showed.
pub const CATCH_UP_TIMEOUT: Span = Span::millis(300);
/// The same for failure domains. A domain has to be out within 5 s of the operator's change, which
/// leaves time for the changes of other kinds in the meantime to share one read.
pub const DOMAIN_CATCH_UP_TIMEOUT: Span = Span::millis(1_500);
/// How long an object that a peer has may be missing here: the reader's answer and its propagation.
pub const PEER_VERSION_TIMEOUT: Span = Span::millis(900);
/// How long a peer that published changes beyond a gap has to send the missing ones before the feed
/// reads the platform.
pub const GAP_FILL_TIMEOUT: Span = Span::millis(150);
/// How long a balancer does not start reads for its role after its first listing. Balancers that
/// start together find each other in that time, and elect one reader.
pub const STARTUP_QUIET_PERIOD: Span = Span::millis(1_200);

/// The state of a feed's reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// No read is in flight. The next one may start at this time.
    Idle(Time),
    /// A watch is in flight, which the platform may hold until there is a change.
    Watching,
    /// A read is in flight that the platform answers at once.
    Fetching,
}

/// The replica of one kind of objects.
#[derive(Clone, Debug)]
pub struct Feed {
    kind: Kind,
    store: Store,
    read_state: ReadState,
    /// Whether the next read must be a listing: nothing is known yet, or the history is lost.
    needs_listing: bool,
    /// Whether a read is needed whatever the role and the updates of peers.
    needs_read: bool,
    /// The highest revision that peers published and that did not arrive completely.
    gap_revision: u64,
    /// When changes were first found missing before those that peers published.
    gap_since: Option<Time>,
    failures: u32,
    /// When the platform last confirmed the state, to this balancer or to the peer that published
    /// it.
    confirmed_at: Option<Time>,
    /// When the platform last confirmed the state of a snapshot that is too old to be put in force
    /// without a further confirmation.
    unconfirmed_at: Option<Time>,
    /// When the platform last confirmed the state to this balancer.
    read_at: Option<Time>,
    /// When the platform last confirmed the state to a peer of another failure domain that
    /// published it.
    remote_read_at: Option<Time>,
    /// Until when the role alone starts no read.
    quiet_until: Time,
    /// When the platform confirmed the newest state that a peer published, unless it was older than
    /// the local state.
    peer_state_at: Option<Time>,
    /// The highest revision that the platform's store is known to have reached, and since when this
    /// feed is behind it.
    behind: Option<(u64, Time)>,
    /// The latest restore of the store that is known, also once its objects are in force.
    restore: Option<Restore>,
}

/// An update that a peer published.
#[derive(Clone, Copy, Debug)]
pub struct Update<'a> {
    /// The revision after which the changes start.
    pub since: u64,
    /// The revision up to which they are complete.
    pub upto: u64,
    /// The time since the platform confirmed the state to the peer or to its source.
    pub age: Span,
    /// Whether the peer is in another failure domain.
    pub is_remote: bool,
    /// The changed objects.
    pub objects: &'a [raw::Object],
}

/// A read that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// The kind.
    pub kind: Kind,
    /// The revision after which to start; 0 for a listing.
    pub since: u64,
    /// How long the platform may hold the read.
    pub wait: Span,
}

/// The outcome of an answer of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It was applied.
    Applied(Change),
    /// It is older than the local state, and was ignored.
    Stale,
    /// It shows that the store was restored after the place from which the read started, or too
    /// recently. The kind is listed later.
    Restored,
}

impl Feed {
    fn new(kind: Kind) -> Feed {
        Feed {
            kind,
            store: Store::new(),
            read_state: ReadState::Idle(Time::default()),
            needs_listing: true,
            needs_read: true,
            gap_revision: 0,
            gap_since: None,
            failures: 0,
            confirmed_at: None,
            unconfirmed_at: None,
            read_at: None,
            remote_read_at: None,
            quiet_until: Time::default(),
            peer_state_at: None,
            behind: None,
            restore: None,
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

    /// Returns the era of the store in which the local state was read.
    fn era(&self) -> u16 {
        Place::from(self.store.revision()).era()
    }

    /// Records that the store has reached an era. Returns whether the objects of that era have to wait
    /// until their authors have repeated lost changes.
    fn observe_era(&mut self, now: Time, era: u16) -> bool {
        if !self.is_synced() || era <= self.era() {
            return false;
        }
        let known = self.restore.unwrap_or(Restore::new(now, era));
        let restore = known.with_sign(now, era);
        self.restore = Some(restore);
        now < restore.due()
    }

    /// Requests a listing even while a watch is in flight or updates of peers arrive.
    fn require_listing(&mut self, now: Time) {
        self.needs_listing = true;
        self.request_read(now);
    }

    /// Returns whether a complete state of some revision has been received.
    pub fn is_synced(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Returns whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the number of reads that failed since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the time since the platform last confirmed the state, here or to the publishing
    /// peer; `None` before the first time.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether peers publish a state that is recent enough for a balancer of a role.
    pub fn has_recent_peer_state(&self, now: Time, role: Role) -> bool {
        self.peer_state_at
            .is_some_and(|at| now.since(at) < role.peer_state_age_max())
    }

    /// Returns the read that is due, and marks it as in flight.
    pub fn start_due_read(&mut self, now: Time, role: Role) -> Option<Read> {
        let timeout = match self.kind {
            Kind::Domain => DOMAIN_CATCH_UP_TIMEOUT,
            _ => CATCH_UP_TIMEOUT,
        };
        let has_elapsed = |since, span| now.since(since) >= span;
        self.needs_read |= self
            .behind
            .is_some_and(|(_, since)| has_elapsed(since, timeout));
        self.needs_read |= self
            .gap_since
            .is_some_and(|since| has_elapsed(since, GAP_FILL_TIMEOUT));
        let is_reader = role.tier == Tier::Reader || !self.has_recent_peer_state(now, role);
        // `quiet_until` holds back only reads for the role, not those that are needed anyway.
        let is_needed = self.needs_read || is_reader && now >= self.quiet_until;
        let is_due = match self.read_state {
            ReadState::Idle(due) => now >= due && is_needed,
            // A needed read does not wait for the end of a watch.
            ReadState::Watching => self.needs_read,
            ReadState::Fetching => false,
        };
        if !is_due {
            return None;
        }
        // A balancer that begins to read for others confirms its state before it waits for changes.
        let is_heartbeat = self.kind == HEARTBEAT_KIND;
        let is_outdated = is_heartbeat && self.age(now).is_none_or(|age| age > HEARTBEAT_WAIT);
        let is_immediate = self.needs_read || self.needs_listing || is_outdated;
        self.read_state = match is_immediate {
            true => ReadState::Fetching,
            false => ReadState::Watching,
        };
        let wait = match (is_immediate, is_heartbeat) {
            (true, _) => Span::ZERO,
            (false, true) => HEARTBEAT_WAIT,
            (false, false) => WATCH_WAIT,
        };
        Some(Read {
            kind: self.kind,
            since: if self.needs_listing {
                0
            } else {
                self.store.revision()
            },
            wait,
        })
    }

    /// Applies an answer of the platform to a read after `since`.
    pub fn apply_answer(
        &mut self,
        now: Time,
        since: u64,
        upto: u64,
        objects: &[raw::Object],
    ) -> Answer {
        let is_listing = since == 0;
        let era = Place::from(upto).era();
        if is_listing && upto < self.store.revision() || era < self.era() {
            // The answer comes from a stale replica of the platform, or was sent before a restore.
            self.read_state = ReadState::Idle(now + DEBOUNCE);
            return Answer::Stale;
        }
        let is_continued = is_listing || era == Place::from(since).era();
        self.failures = 0;
        if self.observe_era(now, era) || !is_continued {
            self.require_listing(now);
            return Answer::Restored;
        }
        let change = self.store.apply(objects, since, upto);
        if !self.is_synced() {
            self.quiet_until = now + STARTUP_QUIET_PERIOD;
        }
        self.needs_listing &= !is_listing;
        self.needs_read = false;
        self.gap_since = None;
        self.confirmed_at = Some(now);
        self.read_at = Some(now);
        self.clear_behind();
        self.read_state = ReadState::Idle(match change.is_empty() {
            true => now,
            false => now + DEBOUNCE,
        });
        Answer::Applied(change)
    }

    /// Records a failed read. `jitter` from 0 to 99 spreads the backoff.
    pub fn record_failure(&mut self, now: Time, is_history_gone: bool, jitter: u64) {
        self.needs_listing |= is_history_gone;
        // A watch that failed may have missed changes, so the next read is one that is answered at
        // once.
        self.needs_read = true;
        let doublings = self.failures.min(8);
        let max_wait = Span(BACKOFF_MIN.0 << doublings).min(BACKOFF_MAX);
        self.failures += u32::from(!is_history_gone);
        if !is_history_gone {
            // Without the platform an old state is better than none.
            self.confirmed_at = self.confirmed_at.or(self.unconfirmed_at.take());
        }
        let wait = match is_history_gone {
            true => Span::ZERO,
            false => Span(max_wait.0 / 2 + max_wait.0 * jitter / 200),
        };
        self.read_state = ReadState::Idle(now + wait);
    }

    /// Applies an update that a peer published.
    pub fn apply_peer_update(&mut self, now: Time, update: &Update<'_>) -> Change {
        let current = self.store.revision();
        if self.observe_era(now, Place::from(update.upto).era()) {
            self.require_listing(now);
            return Change {
                from: current,
                to: current,
                ..Change::default()
            };
        }
        let change = self.store.apply(update.objects, update.since, update.upto);
        // A peer that is behind does not count as a source of updates.
        if update.upto < current {
            return change;
        }
        let confirmed_at = Some(now - update.age);
        self.peer_state_at = self.peer_state_at.max(confirmed_at);
        if change.has_gap {
            self.record_gap(now, update.upto);
        } else if self.store.revision() >= self.gap_revision {
            self.gap_since = None;
            if update.is_remote {
                self.remote_read_at = self.remote_read_at.max(confirmed_at);
            }
            // A peer that knows no more than this balancer does not replace its read.
            if confirmed_at > self.confirmed_at {
                self.confirmed_at = confirmed_at;
                self.needs_read = false;
                self.needs_listing = false;
                self.failures = 0;
            }
        }
        self.clear_behind();
        change
    }

    /// Applies a snapshot of all objects that a peer sent to this starting balancer. One that is
    /// older than the local state changes nothing; one whose confirmation is older than
    /// `startup::snapshot_age_max` does not count as received before the next confirmation.
    pub fn apply_snapshot(&mut self, now: Time, update: &Update<'_>) -> Change {
        let current = self.store.revision();
        let change = self.store.apply(update.objects, 0, update.upto);
        if update.upto < current {
            return change;
        }
        self.needs_listing = false;
        // The next watermark shows what is missing after the snapshot.
        self.gap_since = None;
        self.gap_revision = 0;
        self.clear_behind();
        if update.age > startup::snapshot_age_max(self.kind) {
            self.unconfirmed_at = Some(now - update.age);
            return change;
        }
        if !self.is_synced() {
            self.quiet_until = now + STARTUP_QUIET_PERIOD;
        }
        self.confirmed_at = self.confirmed_at.max(Some(now - update.age));
        self.peer_state_at = self.confirmed_at;
        self.needs_read = false;
        self.failures = 0;
        change
    }

    /// Returns whether the state was confirmed recently enough to publish its watermark to the
    /// recipients of a role.
    ///
    /// A confirmation counts if this balancer has it from the platform, or has to relay it to its
    /// failure domain. Others would only be repeated to the peers that published them, which would
    /// then take this balancer for a source and stop reading.
    pub fn can_vouch(&self, now: Time, role: Role) -> bool {
        let is_recent = |at: Option<Time>, max_age| at.is_some_and(|at| now.since(at) <= max_age);
        let relay_max_age = Span(WATERMARK_AGE_MAX.0 + role.watermark_period.0);
        is_recent(self.read_at, WATERMARK_AGE_MAX)
            || role.tier == Tier::Relay && is_recent(self.remote_read_at, relay_max_age)
    }

    /// Records that changes are missing before those that peers published up to a revision.
    ///
    /// Returns whether the gap is new.
    pub fn record_gap(&mut self, now: Time, upto: u64) -> bool {
        let is_new = self.gap_since.is_none();
        self.gap_since.get_or_insert(now);
        // No read that starts from an earlier era shows what is missing.
        self.needs_listing |= Place::from(upto).era() > self.era();
        self.gap_revision = self.gap_revision.max(upto);
        is_new
    }

    /// Returns whether changes are missing before those that peers published.
    pub fn has_gap(&self) -> bool {
        self.gap_since.is_some()
    }

    /// Marks this feed as behind if the platform's store has reached a later revision. The heartbeat
    /// feed is not marked within an era: its watch ends within `HEARTBEAT_WAIT` in any case.
    fn mark_behind(&mut self, now: Time, revision: u64) {
        if revision <= self.store.revision() {
            return;
        }
        if self.observe_era(now, Place::from(revision).era()) {
            return self.require_listing(now);
        }
        if self.kind == HEARTBEAT_KIND {
            return;
        }
        let since = self.behind.map_or(now, |(_, since)| since);
        self.behind = Some((revision, since));
    }

    /// Clears the mark of being behind once the feed has caught up.
    fn clear_behind(&mut self) {
        let revision = self.store.revision();
        self.behind = self.behind.filter(|&(wanted, _)| wanted > revision);
    }

    /// Requests a read even while another one is in flight or updates of peers arrive. The objects of
    /// a restored store are not read before they may be put in force.
    pub fn request_read(&mut self, now: Time) {
        self.needs_read = true;
        let restore = self.restore.filter(|restore| restore.era() > self.era());
        let due = restore.map_or(now, Restore::due);
        self.read_state = ReadState::Idle(due.max(now));
    }

    /// Returns the revision of the kind's last change and the revision up to which there is no
    /// later one. A replica at the former is complete up to the latter.
    pub fn watermark(&self) -> (u64, u64) {
        // A delta from 0 is applied as a listing, and an empty listing deletes all objects. A replica
        // of an earlier era is not complete, even if no object has changed in this one.
        let start = Place::from(self.store.revision()).era_start().into();
        let last_change = self.store.newest_version().max(start);
        (last_change, self.store.revision())
    }
}
