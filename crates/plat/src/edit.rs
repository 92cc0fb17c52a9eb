//! Conditional updates that are retried after conflicts and lost responses.
//!
//! An update is applied to the object as read, and written only if the stored object still has that
//! version. If it does not, the update is applied to the newer object, unless another operator
//! changed the same label or the spec. After a lost response the object is read: the write is
//! repeated only if the object is then without the change, at the version that the write required.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::time::Duration;

use base::prelude::*;
use conf::label;
use conf::object::Kind;
use conf::raw;

use crate::client::Client;
use crate::error::Error;

/// Maximum number of attempts to write one change; each conflict with another operator takes one.
pub const WRITE_ATTEMPTS_MAX: u32 = 16;
/// Maximum number of reads after a lost response.
pub const READ_ATTEMPTS_MAX: u32 = 8;
/// Delay between two reads after a lost response.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The requests to the platform that an edit makes.
pub trait Platform {
    /// Reads an object.
    fn get(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<raw::Object, Error>> + Send;

    /// Writes an object if the stored one has this version.
    fn put(
        &self,
        object: &raw::Object,
        version: u64,
    ) -> impl Future<Output = Result<raw::Object, Error>> + Send;

    /// Deletes an object if it has this version.
    fn delete(
        &self,
        kind: Kind,
        name: &str,
        version: u64,
    ) -> impl Future<Output = Result<raw::Object, Error>> + Send;

    /// Waits before a read is retried.
    fn wait_before_retry(&self) -> impl Future<Output = ()> + Send;
}

/// A change of one object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Edit {
    /// New values of labels; `None` removes the label. Other labels are left unchanged.
    pub labels: BTreeMap<String, Option<String>>,
    /// New spec; `None` leaves the spec unchanged.
    pub spec: Option<raw::Spec>,
}

/// Reason that a change was not made, or that its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another operator changed the same field, which now has this value.
    Conflict {
        /// `label NAME`, `spec` or `object`.
        field: String,
        /// Its current value; `None` when it was removed.
        current: Option<String>,
    },
    /// A request failed.
    Failed(Error),
}

impl Refusal {
    /// Returns the result code that operators see.
    pub fn code(&self) -> Code {
        match self {
            Refusal::Conflict { .. } => Code::Conflict,
            Refusal::Failed(error) => error.code(),
        }
    }
}

impl Edit {
    /// Makes an edit that changes nothing.
    pub fn new() -> Edit {
        Edit::default()
    }

    /// Sets a label, or removes it when `value` is `None`.
    pub fn with_label(mut self, name: impl Into<String>, value: Option<String>) -> Edit {
        self.labels.insert(name.into(), value);
        self
    }

    /// Replaces the spec.
    pub fn with_spec(mut self, spec: raw::Spec) -> Edit {
        self.spec = Some(spec);
        self
    }

    /// Returns a copy of the object with the change applied.
    pub fn apply(&self, base: &raw::Object) -> raw::Object {
        let mut object = base.clone();
        for (name, value) in &self.labels {
            match value {
                Some(value) => object.labels.insert(name.clone(), value.clone()),
                None => object.labels.remove(name),
            };
        }
        if let Some(spec) = &self.spec {
            object.spec = spec.clone();
        }
        object
    }

    /// Returns whether the change would leave the object as it is.
    pub fn is_applied_to(&self, object: &raw::Object) -> bool {
        let desired = self.apply(object);
        desired.labels == object.labels && desired.spec.is_equivalent(&object.spec)
    }

    /// Fails when another operator changed a field of this edit since `seen`, to a value that is
    /// neither the old nor the desired one.
    fn check_conflict(&self, seen: &raw::Object, latest: &raw::Object) -> Result<(), Refusal> {
        for (name, desired) in &self.labels {
            let current = latest.labels.get(name);
            if current != seen.labels.get(name) && current != desired.as_ref() {
                return Err(conflict(format!("label {name}"), current.cloned()));
            }
        }
        if let Some(desired) = &self.spec {
            if !latest.spec.is_equivalent(&seen.spec) && !latest.spec.is_equivalent(desired) {
                return Err(conflict("spec", Some(latest.spec.0.clone())));
            }
        }
        Ok(())
    }
}

/// Applies an edit to the object that was read as `seen`, and returns it as stored.
///
/// # Errors
///
/// `Conflict` when another operator changed the same field or recreated the object, or when a
/// response was lost and the object, changed since, does not show whether the write took effect.
/// `Failed` when a request failed or the object was deleted.
pub async fn update(
    platform: &impl Platform,
    seen: &raw::Object,
    edit: &Edit,
) -> Result<raw::Object, Refusal> {
    let mut base = seen.clone();
    let mut is_outcome_unknown = false;
    for _ in 0..WRITE_ATTEMPTS_MAX {
        if edit.is_applied_to(&base) {
            return Ok(base);
        }
        let result = platform.put(&edit.apply(&base), base.version).await;
        let latest = match result {
            Ok(stored) => return Ok(stored),
            Err(Error::Conflict(stored)) => *stored,
            Err(Error::OutcomeUnknown(reason)) => {
                is_outcome_unknown = true;
                read_back(platform, seen, reason).await?
            }
            Err(error) => return Err(Refusal::Failed(error)),
        };
        check_same_object(seen, &latest)?;
        edit.check_conflict(seen, &latest)?;
        // A write whose response was lost may still take effect during later attempts.
        if is_outcome_unknown {
            check_outcome(edit, &base, &latest)?;
        }
        base = latest;
    }
    Err(conflict(
        "object",
        Some(format!("v{}, still changing", base.version)),
    ))
}

/// Creates an object, and returns it as stored.
///
/// # Errors
///
/// `Conflict` when another operator created a different object. `Failed` when a request failed.
pub async fn create(
    platform: &impl Platform,
    object: &raw::Object,
) -> Result<raw::Object, Refusal> {
    for _ in 0..WRITE_ATTEMPTS_MAX {
        let latest = match platform.put(object, 0).await {
            Ok(stored) => return Ok(stored),
            Err(Error::Conflict(stored)) => *stored,
            Err(Error::OutcomeUnknown(reason)) => match read_back(platform, object, reason).await {
                Ok(latest) => latest,
                // The object is absent, so the write is repeated.
                Err(Refusal::Failed(Error::NotFound)) => continue,
                Err(refusal) => return Err(refusal),
            },
            Err(error) => return Err(Refusal::Failed(error)),
        };
        if !latest.deleted
            && latest.labels == object.labels
            && latest.spec.is_equivalent(&object.spec)
        {
            return Ok(latest);
        }
        return Err(conflict("object", Some(format!("v{}", latest.version))));
    }
    Err(conflict("object", None))
}

/// Deletes the object that was read as `seen`; returns the version of the deletion if it is known.
///
/// # Errors
///
/// `Conflict` when another operator changed it. `Failed` when a request failed.
pub async fn delete(platform: &impl Platform, seen: &raw::Object) -> Result<Option<u64>, Refusal> {
    let kind = parse_kind(seen)?;
    let mut is_outcome_unknown = false;
    for _ in 0..WRITE_ATTEMPTS_MAX {
        let latest = match platform.delete(kind, &seen.name, seen.version).await {
            Ok(tombstone) => return Ok(Some(tombstone.version)),
            Err(Error::Conflict(stored)) => *stored,
            Err(Error::NotFound) if is_outcome_unknown => return Ok(None),
            Err(Error::OutcomeUnknown(reason)) => match read_back(platform, seen, reason).await {
                Err(Refusal::Failed(Error::NotFound)) => return Ok(None),
                result => {
                    is_outcome_unknown = true;
                    result?
                }
            },
            Err(error) => return Err(Refusal::Failed(error)),
        };
        if latest.uid != seen.uid || latest.deleted {
            return Ok(None);
        }
        if latest.version != seen.version {
            return Err(conflict("object", Some(format!("v{}", latest.version))));
        }
    }
    Err(conflict("object", Some(format!("v{}", seen.version))))
}

/// Reads the object after a lost response, with retries while the platform is unavailable.
async fn read_back(
    platform: &impl Platform,
    object: &raw::Object,
    reason: String,
) -> Result<raw::Object, Refusal> {
    let kind = parse_kind(object)?;
    for _ in 0..READ_ATTEMPTS_MAX {
        match platform.get(kind, &object.name).await {
            Ok(latest) => return Ok(latest),
            Err(Error::Unavailable(_)) => platform.wait_before_retry().await,
            Err(error) => return Err(Refusal::Failed(error)),
        }
    }
    Err(Refusal::Failed(Error::OutcomeUnknown(reason)))
}

/// Checks that the object shows whether the write with a lost response took effect: either it has
/// the change, or its version is unchanged. Otherwise another operator may have reverted the
/// change, which must not be applied again.
fn check_outcome(edit: &Edit, base: &raw::Object, latest: &raw::Object) -> Result<(), Refusal> {
    if edit.is_applied_to(latest) || latest.version == base.version {
        return Ok(());
    }
    let current = format!("v{}, which may have undone the change", latest.version);
    Err(conflict("object", Some(current)))
}

fn check_same_object(seen: &raw::Object, latest: &raw::Object) -> Result<(), Refusal> {
    if latest.deleted {
        return Err(Refusal::Failed(Error::NotFound));
    }
    if latest.uid != seen.uid {
        let current = format!("v{}, recreated", latest.version);
        return Err(conflict("object", Some(current)));
    }
    Ok(())
}

fn parse_kind(object: &raw::Object) -> Result<Kind, Refusal> {
    conf::object::parse_kind(&object.kind)
        .map_err(|error| Refusal::Failed(Error::Refused(error.to_string())))
}

fn conflict(field: impl Into<String>, current: Option<String>) -> Refusal {
    let field = field.into();
    Refusal::Conflict { field, current }
}

impl Platform for Client {
    async fn get(&self, kind: Kind, name: &str) -> Result<raw::Object, Error> {
        Client::get(self, kind, name).await
    }

    async fn put(&self, object: &raw::Object, version: u64) -> Result<raw::Object, Error> {
        Client::put(self, object, version).await
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<raw::Object, Error> {
        Client::delete(self, kind, name, version).await
    }

    async fn wait_before_retry(&self) {
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
}

impl std::str::FromStr for Edit {
    type Err = conf::error::Error;

    /// Parses a change of one label: `name=value` sets the label, `name-` removes it.
    fn from_str(text: &str) -> Result<Edit, conf::error::Error> {
        if let Some((name, value)) = text.split_once('=') {
            label::check(name, value)?;
            return Ok(Edit::new().with_label(name, Some(value.into())));
        }
        let Some(name) = text.strip_suffix('-') else {
            let detail = format!("{text:?} is neither name=value nor name-");
            return Err(conf::error::Error::new(Code::BadLabel, detail));
        };
        label::check_name(name)?;
        Ok(Edit::new().with_label(name, None))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Failed(error) => error.fmt(f),
            Refusal::Conflict {
                field,
                current: Some(current),
            } => write!(
                f,
                "another operator changed the {field}: it is {current} now"
            ),
            Refusal::Conflict {
                field,
                current: None,
            } => write!(f, "another operator removed the {field}"),
        }
    }
}

impl std::error::Error for Refusal {}
