//! The platform's objects, with one revision over all of them.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;

use conf::raw::Object;
use serde::Deserialize;
use serde::Serialize;

/// Why a write was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The object does not exist.
    NotFound,
    /// The stored object has another version.
    Conflict(Box<Object>),
}

/// A watch cannot start at this revision: it is compacted, or ahead of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Objects, and the revision of the store that they were read at.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The store's era; 0 until its first restore, when it is left out.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// The store's revision.
    pub revision: u64,
    /// The objects, by kind and name.
    pub objects: Vec<Object>,
}

fn is_zero(era: &u64) -> bool {
    *era == 0
}

/// A host in the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its address.
    pub ip: IpAddr,
    /// Whether the host is about to be removed.
    #[serde(default)]
    pub leaving: bool,
    /// Address for peer datagrams of the balancer on this host, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub datagram: Option<SocketAddr>,
    /// Address for peer streams of the balancer on this host, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream: Option<SocketAddr>,
}

/// The list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// All hosts that the platform knows.
    pub hosts: Vec<Host>,
}

/// The store: live objects and tombstones.
#[derive(Clone, Debug, Default)]
pub struct Store {
    era: u64,
    revision: u64,
    compacted_revision: u64,
    last_uid: u32,
    objects: BTreeMap<(String, String), Object>,
}

impl Store {
    /// Returns the store's revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Lists the live objects, of one kind if given.
    pub fn list(&self, kind: Option<&str>) -> List {
        let wanted = |o: &&Object| !o.deleted && kind.is_none_or(|k| k == o.kind);
        List {
            era: self.era,
            revision: self.revision,
            objects: self.objects.values().filter(wanted).cloned().collect(),
        }
    }

    /// Returns a live object.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.get(&key).filter(|o| !o.deleted)
    }

    /// Creates an object (`version` 0) or replaces the stored one of that version.
    pub fn put(&mut self, mut object: Object, version: u64) -> Result<Object, WriteError> {
        let key = (object.kind.clone(), object.name.clone());
        match self.objects.get(&key) {
            Some(old) if old.deleted && version == 0 => self.create(&mut object),
            Some(old) if old.version != version || old.deleted => {
                return Err(WriteError::Conflict(Box::new(old.clone())));
            }
            Some(old) => {
                object.uid = old.uid;
                let raised = u16::from(old.spec != object.spec);
                object.generation = old.generation.wrapping_add(raised);
            }
            None if version == 0 => self.create(&mut object),
            None => return Err(WriteError::NotFound),
        }
        self.revision += 1;
        object.version = self.revision;
        object.deleted = false;
        self.objects.insert(key, object.clone());
        Ok(object)
    }

    fn create(&mut self, object: &mut Object) {
        self.last_uid += 1;
        object.uid = self.last_uid;
        object.generation = 1;
    }

    /// Deletes the stored object of that version and returns its tombstone.
    pub fn delete(&mut self, kind: &str, name: &str, version: u64) -> Result<Object, WriteError> {
        let key = (kind.to_owned(), name.to_owned());
        let stored = self.objects.get_mut(&key).filter(|o| !o.deleted);
        let object = stored.ok_or(WriteError::NotFound)?;
        if object.version != version {
            return Err(WriteError::Conflict(Box::new(object.clone())));
        }
        self.revision += 1;
        object.version = self.revision;
        object.deleted = true;
        Ok(object.clone())
    }

    /// Lists the objects that changed after `since`, in order of change, tombstones included.
    ///
    /// # Errors
    ///
    /// [`Gone`] if `since` is compacted or ahead of the store.
    pub fn changes_since(&self, since: u64) -> Result<List, Gone> {
        if since < self.compacted_revision || since > self.revision {
            return Err(Gone);
        }
        let changed = self.objects.values().filter(|o| o.version > since);
        let mut objects: Vec<Object> = changed.cloned().collect();
        objects.sort_by_key(|o| o.version);
        Ok(List {
            era: self.era,
            revision: self.revision,
            objects,
        })
    }

    /// Drops tombstones; watches can no longer start before the current revision.
    pub fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.objects.retain(|_, o| !o.deleted);
    }

    /// Restores an older state, in a new era. UIDs that were assigned since then are not reused.
    pub fn restore(&mut self, older: Store) {
        let last_uid = self.last_uid.max(older.last_uid);
        let era = self.era + 1;
        *self = Store {
            era,
            last_uid,
            ..older
        };
    }
}
