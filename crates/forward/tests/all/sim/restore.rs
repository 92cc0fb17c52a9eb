//! Restores of the simulated store from an older copy.

use base::prelude::*;
use conf::object::Kind;
use conf::raw;

use super::store::Store;
use super::store::Write;
use super::Simulation;
use super::Task;

/// A change that a restore has undone.
#[derive(Clone, Debug)]
pub(crate) struct Lost {
    key: (Kind, String),
    /// The object; `None` if it was removed.
    object: Option<raw::Object>,
    /// The revision of the copy.
    restored: u64,
}

impl Simulation {
    /// Returns a copy of the store, for a later restore.
    pub(crate) fn copy_store(&self) -> Store {
        self.store.clone()
    }

    /// Lets the store be away for a time and come back from a copy, in a new era. The authors of the
    /// changes since the copy repeat them some time after its return.
    pub(crate) fn restore_store(&mut self, copy: &Store, away: Span, repeat_after: Span) {
        self.close_watches();
        let restored = copy.revision;
        let lost = Store {
            era: self.store.era + 1,
            revision: restored,
            objects: copy.objects.clone(),
            history: copy.history.clone(),
            history_floor: copy.history_floor,
            down_until: self.now + away,
            ..self.store.clone()
        };
        let lost = std::mem::replace(&mut self.store, lost);
        let mut keys: Vec<&(Kind, String)> = lost.objects.keys().collect();
        keys.extend(copy.objects.keys());
        keys.sort();
        keys.dedup();
        for key in keys {
            let object = lost.objects.get(key);
            if object == copy.objects.get(key) {
                continue;
            }
            let lost = Lost {
                key: key.clone(),
                object: object.cloned(),
                restored,
            };
            let wait = Span(away.0 + repeat_after.0);
            self.schedule(wait, Task::StoreWrite(Write::Repeat(lost)));
        }
    }

    /// Repeats a change, unless its object has changed since the restore.
    pub(super) fn repeat_change(&mut self, lost: Lost) {
        let Lost {
            key,
            object,
            restored,
        } = lost;
        let current = self.store.objects.get(&key);
        if current.is_some_and(|current| current.version > restored) {
            return;
        }
        match object {
            Some(object) => self.put_raw(key, object),
            None => self.remove_object(key.0, &key.1),
        }
    }
}
