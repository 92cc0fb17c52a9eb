//! The byte form of a snapshot of all objects.

use std::collections::BTreeMap;

use base::prelude::*;
use conf::raw;
use wire::column;
use wire::frame::Snapshot;
use wire::frame::SnapshotKind;

use crate::feed;
use crate::feed::Feeds;

/// Separates the fields of an object. Neither names nor JSON contain it.
const SEPARATOR: char = '\u{1f}';
/// The number of fields before the labels.
const FIELDS: usize = 7;

/// The encoded objects of a state, which are encoded once for all peers that ask.
#[derive(Clone, Debug)]
pub struct Cache {
    /// The revision and newest version of each kind.
    state: Vec<(u64, u64)>,
    objects: bytes::Bytes,
}

/// Returns the snapshot of all kinds; `None` while one is missing.
pub fn encode(now: Time, feeds: &Feeds, cache: &mut Option<Cache>) -> Option<Snapshot> {
    if !feeds.are_synced() {
        return None;
    }
    let stores = || feeds.iter().map(feed::Feed::store);
    let state: Vec<(u64, u64)> = stores()
        .map(|store| (store.revision(), store.newest_version()))
        .collect();
    if cache.as_ref().is_none_or(|cache| cache.state != state) {
        let texts: Vec<String> = stores()
            .flat_map(|store| store.listing())
            .map(|object| write(&object))
            .collect();
        let objects = column::encode(texts.iter().map(String::as_str))?.into();
        *cache = Some(Cache { state, objects });
    }
    let kinds = feeds.iter().map(|feed| SnapshotKind {
        kind: feed.kind().name().to_owned(),
        upto: feed.store().revision(),
        age: feed.age(now).unwrap_or_default(),
    });
    Some(Snapshot {
        kinds: kinds.collect(),
        objects: cache.as_ref()?.objects.clone(),
    })
}

/// Returns the objects of a snapshot by kind.
///
/// # Errors
///
/// `Malformed` if a kind is missing or the bytes do not decode.
pub fn decode(snapshot: &Snapshot) -> Result<BTreeMap<String, Vec<raw::Object>>, Code> {
    let names = feed::KINDS.map(|kind| kind.name());
    let has_kind = |name| snapshot.kinds.iter().any(|kind| kind.kind == name);
    if snapshot.kinds.len() != names.len() || !names.into_iter().all(has_kind) {
        return Err(Code::Malformed);
    }
    let mut objects: BTreeMap<String, Vec<raw::Object>> = BTreeMap::new();
    for text in column::decode(&snapshot.objects)? {
        let object = read(&text).ok_or(Code::Malformed)?;
        objects.entry(object.kind.clone()).or_default().push(object);
    }
    Ok(objects)
}

fn write(object: &raw::Object) -> String {
    let raw::Object {
        kind,
        name,
        uid,
        version,
        generation,
        deleted,
        labels,
        spec,
    } = object;
    let mut text = format!(
        "{kind}{SEPARATOR}{name}{SEPARATOR}{uid}{SEPARATOR}{version}{SEPARATOR}{generation}\
         {SEPARATOR}{}{SEPARATOR}{}",
        u8::from(*deleted),
        spec.0
    );
    for (name, value) in labels {
        text.extend([SEPARATOR]);
        text.push_str(name);
        text.extend([SEPARATOR]);
        text.push_str(value);
    }
    text
}

fn read(text: &str) -> Option<raw::Object> {
    let fields: Vec<&str> = text.split(SEPARATOR).collect();
    let (head, labels) = fields.split_at_checked(FIELDS)?;
    let pairs = labels.chunks_exact(2);
    if !pairs.remainder().is_empty() {
        return None;
    }
    Some(raw::Object {
        kind: head[0].to_owned(),
        name: head[1].to_owned(),
        uid: head[2].parse().ok()?,
        version: head[3].parse().ok()?,
        generation: head[4].parse().ok()?,
        deleted: head[5] == "1",
        labels: pairs
            .map(|pair| (pair[0].to_owned(), pair[1].to_owned()))
            .collect(),
        spec: raw::Spec(head[6].to_owned()),
    })
}
