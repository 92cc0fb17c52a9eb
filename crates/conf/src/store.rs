//! Replicated store of versioned objects: per object the higher version wins, deletions included.
//!
//! Versions and revisions are the numbers of places (`place::Place`), so that a change of a later era
//! of the platform's store wins over all changes of the earlier ones.
//!
//! Invariants: stores that received the same changes converge, whatever the order, the repetitions
//! and the losses that were repaired later; and an object in force never reverts to an older
//! version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use base::prelude::*;

use crate::fault::Fault;
use crate::object;
use crate::object::Kind;
use crate::object::Object;
use crate::place::Place;
use crate::raw;

/// Maximum number of tombstones that are kept.
pub const TOMBSTONES_MAX: usize = 10_000;
/// Number of objects that the store has room for in addition to `TOMBSTONES_MAX` tombstones. A new
/// entry is rejected once there are as many entries as both limits add up to.
pub const OBJECTS_MAX: usize = 20_000;
/// Maximum number of faults that are kept of objects that the store cannot hold.
pub const REJECTED_MAX: usize = 1_000;

/// All configuration that a balancer has received. Reports are not configuration and are not kept.
#[derive(Clone, Debug, Default)]
pub struct Store {
    entries: BTreeMap<Id, Entry>,
    /// Tombstones in `entries`, by version.
    tombstones: BTreeSet<(u64, Id)>,
    /// Faults of objects that `entries` cannot hold, since their kind or name is invalid or the
    /// store is full. By kind and name.
    rejected: BTreeMap<(String, String), Fault>,
    revision: u64,
    newest_version: u64,
    oldest_delta_revision: u64,
}

/// Identifies an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
}

/// The changes that a call of `Store::apply` made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Number of objects that are new, changed, deleted, or have a new fault.
    pub objects: usize,
    /// Revision in force before the call.
    pub from: u64,
    /// Revision in force after the call.
    pub to: u64,
    /// Whether the delta starts after `from` or in a later era: the changes in between are missing and
    /// must be requested.
    pub has_gap: bool,
}

impl Change {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.objects == 0 && self.from == self.to
    }
}

#[derive(Clone, Debug)]
struct Entry {
    uid: u32,
    version: u64,
    latest: Latest,
    /// The last valid version. Invariant: its uid is `uid`, so it was not deleted since.
    in_force: Option<Object>,
}

/// The latest version of an object.
#[derive(Clone, Debug)]
enum Latest {
    Valid,
    Invalid(Box<raw::Object>, Code),
    Deleted,
}

impl Store {
    /// Makes an empty store, at revision 0.
    pub fn new() -> Store {
        Store::default()
    }

    /// Returns the revision in force: every change up to it has been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the highest version of any object or tombstone. Unlike `revision`, it does not
    /// advance while only reports are written.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Returns the version to report as in force: every change of configuration up to it has been
    /// applied. Like `newest_version`, it does not advance while only reports are written; unlike
    /// it, it does not advance past a gap.
    pub fn applied_version(&self) -> u64 {
        self.newest_version.min(self.revision)
    }

    /// Applies objects: a delta with the changes after `since` up to `upto`, or, when `since` is 0,
    /// a listing of all objects as of `upto`.
    ///
    /// A listing older than the revision in force changes nothing. Otherwise it also deletes the
    /// objects that it does not contain. Only a listing completes the state of a later era.
    pub fn apply(&mut self, objects: &[raw::Object], since: u64, upto: u64) -> Change {
        let full = since == 0;
        let from = self.revision;
        let is_later_era = Place::from(upto).era() > Place::from(from).era();
        let mut change = Change {
            from,
            to: from,
            has_gap: !full && (since > from || is_later_era),
            ..Change::default()
        };
        if full && upto < from {
            return change;
        }
        if full {
            change.objects += self.delete_unlisted(objects, upto);
        }
        for raw in objects {
            change.objects += usize::from(self.apply_object(raw, full));
        }
        if !change.has_gap && upto > from {
            self.revision = upto;
            change.to = upto;
            if full {
                // Objects created and deleted between the two revisions left no tombstone here.
                self.oldest_delta_revision = upto;
            }
        }
        self.evict_tombstones();
        change
    }

    /// Returns the oldest revision that `delta` can start from: every later change is known.
    pub fn oldest_delta_revision(&self) -> u64 {
        self.oldest_delta_revision
    }

    /// Returns the changes after `since`, in order of version, or `None` when `since` is below
    /// `oldest_delta_revision`: tombstones of that range have been evicted or were never received.
    ///
    /// An object whose latest version is invalid is always included, with its last valid version:
    /// the requester may have received none of it.
    pub fn delta(&self, since: u64) -> Option<Vec<raw::Object>> {
        if since < self.oldest_delta_revision {
            return None;
        }
        Some(self.collect_sorted(|entry| entry.version > since || entry.is_fallback_in_force()))
    }

    /// Returns all objects as of `revision`, without tombstones, in order of version.
    pub fn listing(&self) -> Vec<raw::Object> {
        self.collect_sorted(|entry| !entry.is_deleted())
    }

    /// Returns the objects in force, ordered by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.entries
            .values()
            .filter_map(|entry| entry.in_force.as_ref())
    }

    /// Returns the object in force with this kind and name.
    pub fn get(&self, kind: Kind, name: impl Into<String>) -> Option<&Object> {
        let name = name.into();
        self.entries.get(&Id { kind, name })?.in_force.as_ref()
    }

    /// Returns the faults of objects whose latest version is not in force: first those of the
    /// objects in the store, then those of rejected objects, each ordered by kind and name.
    pub fn faults(&self) -> Vec<Fault> {
        let known = self.entries.iter().filter_map(|(id, entry)| {
            let Latest::Invalid(_, code) = entry.latest else {
                return None;
            };
            Some(Fault {
                kind: id.kind.name().into(),
                name: id.name.clone(),
                version: entry.version,
                code,
            })
        });
        known.chain(self.rejected.values().cloned()).collect()
    }

    fn collect_sorted(&self, is_wanted: impl Fn(&Entry) -> bool) -> Vec<raw::Object> {
        let mut found = Vec::new();
        for (id, entry) in self.entries.iter().filter(|(_, entry)| is_wanted(entry)) {
            found.extend(entry.in_force.as_ref().map(raw::Object::from));
            match &entry.latest {
                Latest::Valid => (),
                Latest::Invalid(raw, _) => found.push((**raw).clone()),
                Latest::Deleted => found.push(tombstone(id, entry)),
            }
        }
        found.sort_by_key(|raw| raw.version);
        found
    }

    /// Deletes at `upto` the objects that the listing does not contain; returns their number.
    fn delete_unlisted(&mut self, objects: &[raw::Object], upto: u64) -> usize {
        let listed: BTreeSet<(&str, &str)> = objects
            .iter()
            .map(|raw| (raw.kind.as_str(), raw.name.as_str()))
            .collect();
        let is_unlisted = |id: &Id| !listed.contains(&(id.kind.name(), id.name.as_str()));
        let mut count = 0;
        for (id, entry) in &mut self.entries {
            if !entry.is_deleted() && entry.version <= upto && is_unlisted(id) {
                entry.delete(entry.uid, upto);
                self.tombstones.insert((upto, id.clone()));
                self.newest_version = self.newest_version.max(upto);
                count += 1;
            }
        }
        // The rejected objects that the listing contains are recorded again from it.
        self.rejected.clear();
        count
    }

    /// Applies one object; returns whether anything changed.
    fn apply_object(&mut self, raw: &raw::Object, full: bool) -> bool {
        let id = match object_id(raw) {
            Ok(id) if id.kind == Kind::Report => return false,
            Ok(id) => id,
            Err(code) => return self.apply_rejected(raw, code),
        };
        // Every change up to the revision in force is known, except for evicted tombstones, so an
        // object whose version is not above it is stale. An object of a full listing is not: listings
        // older than the revision in force are not applied, so the listing is more recent.
        let is_stale = !full && raw.version <= self.revision;
        if let Some(entry) = self.entries.get_mut(&id) {
            if is_stale {
                return entry.adopt_fallback(raw);
            }
            let old = entry.tombstone_version();
            let changed = entry.merge(raw);
            self.newest_version = self.newest_version.max(entry.version);
            let new = entry.tombstone_version();
            if old != new {
                // An entry that was no tombstone has none to remove: the set does not contain `id`.
                self.tombstones.remove(&(old.unwrap_or(0), id.clone()));
                self.tombstones.extend(new.map(|version| (version, id)));
            }
            return changed;
        }
        if is_stale {
            return false;
        }
        if self.entries.len() >= OBJECTS_MAX + TOMBSTONES_MAX {
            return self.apply_rejected(raw, Code::TooMany);
        }
        let entry = Entry::new(raw);
        self.tombstones.extend(
            entry
                .tombstone_version()
                .map(|version| (version, id.clone())),
        );
        self.newest_version = self.newest_version.max(entry.version);
        self.entries.insert(id, entry);
        true
    }

    /// Records the fault of an object that the store cannot hold, until the object is deleted.
    fn apply_rejected(&mut self, raw: &raw::Object, code: Code) -> bool {
        let truncate = |text: &str| {
            text.chars()
                .take(object::NAME_MAX_BYTES + 1)
                .collect::<String>()
        };
        let key = (truncate(&raw.kind), truncate(&raw.name));
        let known = self.rejected.get(&key).map(|fault| fault.version);
        if known >= Some(raw.version) {
            return false;
        }
        if raw.deleted {
            return self.rejected.remove(&key).is_some();
        }
        if known.is_none() && self.rejected.len() >= REJECTED_MAX {
            return false;
        }
        let fault = Fault {
            kind: key.0.clone(),
            name: key.1.clone(),
            version: raw.version,
            code,
        };
        self.rejected.insert(key, fault);
        true
    }

    /// Evicts the oldest tombstones. Those above the revision in force stay: only they prevent that
    /// the missing delta restores older versions of the objects.
    fn evict_tombstones(&mut self) {
        while self.tombstones.len() > TOMBSTONES_MAX {
            let Some((version, id)) = self.tombstones.pop_first() else {
                return;
            };
            if version > self.revision {
                self.tombstones.insert((version, id));
                return;
            }
            self.entries.remove(&id);
            self.oldest_delta_revision = self.oldest_delta_revision.max(version);
        }
    }
}

impl Entry {
    fn new(raw: &raw::Object) -> Entry {
        let mut entry = Entry {
            uid: raw.uid,
            version: 0,
            latest: Latest::Deleted,
            in_force: None,
        };
        entry.replace(raw);
        entry
    }

    fn is_deleted(&self) -> bool {
        matches!(self.latest, Latest::Deleted)
    }

    /// Returns whether the latest version is invalid and an older, valid one is in force.
    fn is_fallback_in_force(&self) -> bool {
        matches!(self.latest, Latest::Invalid(..)) && self.in_force.is_some()
    }

    fn tombstone_version(&self) -> Option<u64> {
        self.is_deleted().then_some(self.version)
    }

    fn delete(&mut self, uid: u32, version: u64) {
        self.uid = uid;
        self.version = version;
        self.latest = Latest::Deleted;
        self.in_force = None;
    }

    /// Merges a version of the object into the entry; returns whether anything changed.
    fn merge(&mut self, raw: &raw::Object) -> bool {
        if raw.version > self.version {
            self.replace(raw);
            return true;
        }
        self.adopt_fallback(raw)
    }

    fn replace(&mut self, raw: &raw::Object) {
        if raw.deleted {
            self.delete(raw.uid, raw.version);
            return;
        }
        self.uid = raw.uid;
        self.version = raw.version;
        match Object::try_from(raw) {
            Ok(object) => {
                self.in_force = Some(object);
                self.latest = Latest::Valid;
            }
            Err(error) => {
                // The last valid version stays in force, unless its object was deleted in the
                // meantime.
                self.in_force = self
                    .in_force
                    .take()
                    .filter(|valid| valid.meta.uid == raw.uid);
                self.latest = Latest::Invalid(Box::new(bounded_copy(raw)), error.code);
            }
        }
    }

    /// Puts an older valid version in force when the latest is invalid and no newer valid one is
    /// known.
    fn adopt_fallback(&mut self, raw: &raw::Object) -> bool {
        let known = self.in_force.as_ref().map(|valid| valid.meta.version);
        let is_wanted = matches!(self.latest, Latest::Invalid(..))
            && !raw.deleted
            && raw.uid == self.uid
            && raw.version < self.version
            && Some(raw.version) > known;
        if !is_wanted {
            return false;
        }
        let Ok(object) = Object::try_from(raw) else {
            return false;
        };
        self.in_force = Some(object);
        true
    }
}

fn object_id(raw: &raw::Object) -> Result<Id, Code> {
    let kind = object::parse_kind(&raw.kind).map_err(|error| error.code)?;
    object::check_name(&raw.name).map_err(|error| error.code)?;
    let name = raw.name.clone();
    Ok(Id { kind, name })
}

fn tombstone(id: &Id, entry: &Entry) -> raw::Object {
    raw::Object {
        kind: id.kind.name().into(),
        name: id.name.clone(),
        uid: entry.uid,
        version: entry.version,
        generation: 0,
        deleted: true,
        labels: BTreeMap::new(),
        spec: raw::Spec::default(),
    }
}

/// Returns a copy of an invalid object that takes little memory and is invalid on every peer.
fn bounded_copy(raw: &raw::Object) -> raw::Object {
    let label_bytes: usize = raw.labels.iter().map(|(k, v)| k.len() + v.len()).sum();
    if raw.spec.0.len() + label_bytes <= object::SPEC_MAX_BYTES {
        return raw.clone();
    }
    raw::Object {
        kind: raw.kind.clone(),
        name: raw.name.clone(),
        uid: raw.uid,
        version: raw.version,
        generation: raw.generation,
        deleted: false,
        labels: BTreeMap::new(),
        // A JSON string is not a valid spec of any kind.
        spec: raw::Spec("\"too long\"".into()),
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} objects, {} to {}",
            self.objects,
            Place::from(self.from),
            Place::from(self.to)
        )?;
        f.write_str(if self.has_gap { ", gap" } else { "" })
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "uid {} v{}: ", self.uid, self.version)?;
        match (&self.latest, &self.in_force) {
            (Latest::Valid, _) => f.write_str("in force"),
            (Latest::Deleted, _) => f.write_str("deleted"),
            (Latest::Invalid(_, code), None) => write!(f, "{code}"),
            (Latest::Invalid(_, code), Some(valid)) => {
                write!(f, "{code}, v{} in force", valid.meta.version)
            }
        }
    }
}

impl fmt::Display for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "store {} deltas from {}",
            Place::from(self.revision),
            Place::from(self.oldest_delta_revision)
        )?;
        for (id, entry) in &self.entries {
            writeln!(f, "{id} {entry}")?;
        }
        for fault in self.rejected.values() {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}
