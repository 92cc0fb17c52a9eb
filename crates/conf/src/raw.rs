//! Objects as encoded by the platform and between balancers. Nothing here is validated.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// An object, or the tombstone of a deleted one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// `Service`, `Server`, `Domain`, `Report` or `Routing`.
    pub kind: String,
    /// Name, unique among the objects of a kind.
    pub name: String,
    /// Assigned by the platform at creation and never reused. 0 requests a new object.
    #[serde(default)]
    pub uid: u32,
    /// Platform revision of the last change of this object, as the number of its `place::Place`.
    #[serde(default)]
    pub version: u64,
    /// Number of changes of `spec`, starting at 1.
    #[serde(default)]
    pub generation: u16,
    /// Whether this is the tombstone of an object that was deleted at `version`.
    #[serde(default)]
    pub deleted: bool,
    /// Labels.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// Fields specific to the kind: a JSON text in the binary codec between balancers, a JSON value
    /// on the platform.
    #[serde(default)]
    pub spec: Spec,
}

/// The fields of a kind, as the text of one JSON object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spec(pub String);

impl Spec {
    /// Returns whether both are the same JSON value, regardless of formatting. An empty text is an
    /// empty object.
    pub fn is_equivalent(&self, other: &Spec) -> bool {
        let value = |spec: &Spec| match spec.0.as_str() {
            "" => Some(serde_json::json!({})),
            text => serde_json::from_str(text).ok(),
        };
        self == other || value(self).is_some_and(|own| Some(own) == value(other))
    }
}

impl Serialize for Spec {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        if !to.is_human_readable() {
            return self.0.serialize(to);
        }
        let text = if self.0.is_empty() { "{}" } else { &self.0 };
        let value: serde_json::Value =
            serde_json::from_str(text).map_err(serde::ser::Error::custom)?;
        value.serialize(to)
    }
}

impl<'de> Deserialize<'de> for Spec {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Spec, D::Error> {
        if !from.is_human_readable() {
            return String::deserialize(from).map(Spec);
        }
        let value = serde_json::Value::deserialize(from)?;
        Ok(Spec(value.to_string()))
    }
}
