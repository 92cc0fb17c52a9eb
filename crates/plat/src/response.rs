//! Types that requests return.

use std::net::IpAddr;
use std::net::SocketAddr;

use conf::object::Kind;
use conf::place::Place;
use conf::raw;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::error::Error;

/// Objects as of a revision, or the changes up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// The revision of the platform; in lists of `Source`, the number of its `conf::place::Place`.
    pub revision: u64,
    /// The objects; in the response to a watch, also tombstones.
    pub objects: Vec<raw::Object>,
    /// Entries that could not be decoded as objects. Always empty in lists of `Client`, which drops
    /// such entries.
    pub unreadable: Vec<Unreadable>,
}

/// An entry that could not be decoded as an object, or only with defaults for some fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The requested kind.
    pub kind: Kind,
    /// Name of the entry, as far as it has one.
    pub name: String,
    /// Its version, 0 if that cannot be decoded either.
    pub version: u64,
    /// Why the entry, or which of its fields, could not be decoded.
    pub reason: String,
}

/// A host in the list of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Address of the host.
    pub ip: IpAddr,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
    /// Address at which its balancer, if any, receives datagrams from peers.
    #[serde(default)]
    pub datagram: Option<SocketAddr>,
    /// Address at which its balancer, if any, accepts streams from peers.
    #[serde(default)]
    pub stream: Option<SocketAddr>,
}

/// Wire form of the list of hosts.
#[derive(Debug, Deserialize)]
pub(crate) struct Hosts {
    pub(crate) hosts: Vec<Host>,
}

/// Wire form of a list of objects. The objects are decoded one by one, so that an ill-typed one
/// does not hide the others.
#[derive(Debug, Deserialize)]
pub(crate) struct Objects {
    #[serde(default)]
    era: u64,
    revision: u64,
    objects: Vec<Value>,
}

impl Objects {
    /// Returns the objects with the places of their changes in the platform's era.
    pub(crate) fn with_places(self) -> Result<List, Error> {
        let era = self.era;
        let place = |revision| {
            let place = Place::new(era, revision).map(u64::from);
            place.ok_or_else(|| Error::Unavailable(format!("revision {revision} is out of range")))
        };
        let mut list = List::from(self);
        list.revision = place(list.revision)?;
        for object in &mut list.objects {
            object.version = place(object.version)?;
        }
        Ok(list)
    }
}

impl From<Objects> for List {
    fn from(objects: Objects) -> List {
        List {
            revision: objects.revision,
            objects: objects
                .objects
                .into_iter()
                .filter_map(decode_object)
                .collect(),
            unreadable: Vec::new(),
        }
    }
}

/// Decodes an object. An ill-typed object keeps its kind, name, uid and version, with a spec that
/// fails validation. Returns `None` if one of these four cannot be decoded either.
fn decode_object(value: Value) -> Option<raw::Object> {
    let text = |name: &str| value.get(name)?.as_str().map(str::to_string);
    let number = |name: &str| value.get(name)?.as_u64();
    let ill_typed = || {
        Some(raw::Object {
            kind: text("kind")?,
            name: text("name")?,
            uid: u32::try_from(number("uid")?).ok()?,
            version: number("version")?,
            generation: 0,
            deleted: false,
            labels: conf::label::Labels::new(),
            spec: raw::Spec("\"ill-typed\"".into()),
        })
    };
    raw::Object::deserialize(&value).ok().or_else(ill_typed)
}
