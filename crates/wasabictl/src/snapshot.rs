//! All objects as read at one revision, and validation of changes against them.

use std::collections::BTreeSet;

use base::prelude::*;
use conf::fault::Fault;
use conf::label::Selector;
use conf::object::Kind;
use conf::object::Object;
use conf::object::STATE_LABEL;
use conf::raw;
use conf::store::Store;
use conf::table::Table;
use eyre::Result;
use plat::response::List;
use plat::Client;

use crate::failure::Failure;

/// All objects at one revision of the platform.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) revision: u64,
    pub(crate) objects: Vec<raw::Object>,
}

impl Snapshot {
    pub(crate) async fn load(client: &Client) -> Result<Snapshot> {
        let List {
            revision, objects, ..
        } = client.list(None).await?;
        Ok(Snapshot { revision, objects })
    }

    pub(crate) fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &raw::Object> {
        let is_wanted = move |object: &&raw::Object| object.kind == kind.name();
        self.objects.iter().filter(is_wanted)
    }

    pub(crate) fn get(&self, kind: Kind, name: &str) -> Option<&raw::Object> {
        self.of_kind(kind).find(|object| object.name == name)
    }

    /// Returns an object, or the error `not-found`.
    pub(crate) fn require(&self, kind: Kind, name: &str) -> Result<&raw::Object> {
        let text = || format!("{kind} {name} does not exist");
        let found = self.get(kind, name);
        Ok(found.ok_or_else(|| Failure::new(Code::NotFound, text()))?)
    }

    pub(crate) fn matching(&self, kind: Kind, selector: &Selector) -> Vec<&raw::Object> {
        let found = self.of_kind(kind);
        found
            .filter(|object| selector.matches(&object.labels))
            .collect()
    }

    /// Returns the highest version of a configuration object, which any object but a report is.
    pub(crate) fn newest_configuration(&self) -> u64 {
        let is_report = |object: &&raw::Object| object.kind == Kind::Report.name();
        let versions = self.objects.iter().filter(|object| !is_report(object));
        versions.map(|object| object.version).max().unwrap_or(0)
    }

    /// Returns the objects with the changes applied. New objects get uids above all others, as the
    /// platform would assign them.
    pub(crate) fn with_changes(mut self, changed: &[raw::Object]) -> Snapshot {
        let uids = self.objects.iter().map(|object| object.uid);
        let mut uid = uids.max().unwrap_or(0);
        for object in changed {
            let existing = self
                .objects
                .iter_mut()
                .find(|old| old.kind == object.kind && old.name == object.name);
            match existing {
                Some(old) => {
                    old.labels = object.labels.clone();
                    old.spec = object.spec.clone();
                }
                None => {
                    uid += 1;
                    let object = object.clone();
                    self.objects.push(raw::Object { uid, ..object });
                }
            }
        }
        self
    }

    pub(crate) fn without_object(mut self, deleted: &raw::Object) -> Snapshot {
        self.objects
            .retain(|object| object.kind != deleted.kind || object.name != deleted.name);
        self
    }

    /// Builds the table that the balancers would derive from these objects.
    pub(crate) fn build_table(&self) -> Table {
        let mut store = Store::new();
        store.apply(&self.objects, 0, self.revision.max(1));
        let mut table = Table::new();
        table.rebuild(&store);
        table
    }

    /// Fails if a change adds the label `state` to a service, where it would have no effect.
    fn check_service_state(&self, after: &Snapshot) -> Result<()> {
        let has_state = |object: &&raw::Object| object.labels.contains_key(STATE_LABEL);
        for service in after.of_kind(Kind::Service).filter(has_state) {
            let old = self.get(Kind::Service, &service.name);
            if old.filter(has_state).is_none() {
                let text =
                    "a service has no state; set the label on its servers or a failure domain";
                return Err(Failure::new(Code::BadLabel, text).into());
            }
        }
        Ok(())
    }

    /// Returns the faults that a change introduces.
    pub(crate) fn new_faults(&self, after: &Snapshot) -> Vec<Fault> {
        let key = |fault: &Fault| (fault.kind.clone(), fault.name.clone(), fault.code);
        let old: BTreeSet<_> = self.build_table().faults().iter().map(key).collect();
        let mut faults = after.build_table().faults().to_vec();
        faults.retain(|fault| !old.contains(&key(fault)));
        faults
    }

    /// Fails if a change introduces a fault. A selector that matches no server is only a warning,
    /// and is returned.
    pub(crate) fn check_change(&self, after: &Snapshot) -> Result<Vec<Fault>> {
        self.check_service_state(after)?;
        let faults = self.new_faults(after);
        let first_error = faults.iter().find(|fault| !is_warning(fault));
        let Some(fault) = first_error else {
            return Ok(faults);
        };
        let faulty = after
            .objects
            .iter()
            .find(|object| object.kind == fault.kind && object.name == fault.name);
        // Validation of the object alone gives a more specific message than the result code.
        if let Some(Err(error)) = faulty.map(Object::try_from) {
            let context = format!("{} {}", fault.kind, fault.name);
            return Err(eyre::Report::new(error).wrap_err(context));
        }
        let meaning = fault.code.meaning();
        let text = format!("{} {}: {meaning}", fault.kind, fault.name);
        Err(Failure::new(fault.code, text).into())
    }
}

fn is_warning(fault: &Fault) -> bool {
    fault.code == Code::SelectsNothing
}
