//! Deltas between versions of large objects.
//!
//! A routing holds every route, and most changes affect a single one, so a replica of the previous
//! version needs only a few bytes.

use conf::raw;
use wire::frame::Patch;

/// Returns the patch from `old` to `new`; `None` if more than the version and the spec differ.
pub fn diff(old: &raw::Object, new: &raw::Object) -> Option<Patch> {
    let updated = raw::Object {
        version: new.version,
        spec: new.spec.clone(),
        ..old.clone()
    };
    if updated != *new {
        return None;
    }
    let (from, to) = (old.spec.0.as_str(), new.spec.0.as_str());
    let prefix_len = common_len(from.bytes().zip(to.bytes()));
    let prefix_len = (0..=prefix_len)
        .rev()
        .find(|&at| from.is_char_boundary(at) && to.is_char_boundary(at))?;
    let (rest, target) = (&from[prefix_len..], &to[prefix_len..]);
    let suffix_len = common_len(rest.bytes().rev().zip(target.bytes().rev()));
    let suffix_len = (0..=suffix_len).rev().find(|&count| {
        rest.is_char_boundary(rest.len() - count) && target.is_char_boundary(target.len() - count)
    })?;
    Some(Patch {
        name: new.name.clone(),
        base_version: old.version,
        version: new.version,
        prefix_len: u32::try_from(prefix_len).ok()?,
        suffix_len: u32::try_from(suffix_len).ok()?,
        replacement: target[..target.len() - suffix_len].to_owned(),
    })
}

/// Returns the object after a patch; `None` if the patch was made for another version.
pub fn apply(old: &raw::Object, patch: &Patch) -> Option<raw::Object> {
    if old.name != patch.name || old.version != patch.base_version {
        return None;
    }
    let text = old.spec.0.as_str();
    let (prefix_len, suffix_len) = (patch.prefix_len as usize, patch.suffix_len as usize);
    let end = text.len().checked_sub(suffix_len)?;
    let (prefix, suffix) = (text.get(..prefix_len)?, text.get(end..)?);
    if prefix_len > end {
        return None;
    }
    Some(raw::Object {
        version: patch.version,
        spec: raw::Spec([prefix, &patch.replacement, suffix].concat()),
        ..old.clone()
    })
}

fn common_len(pairs: impl Iterator<Item = (u8, u8)>) -> usize {
    pairs.take_while(|(one, other)| one == other).count()
}
