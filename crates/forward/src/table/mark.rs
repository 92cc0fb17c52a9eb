//! Which of several backend servers a mark in route tokens stands for.

use std::collections::HashMap;

use conf::key;
use cranelift_entity::PrimaryMap;

use crate::table::row::Row;
use crate::token::Mark;

/// Assigns each mark to a server, and shadows the others that share it.
///
/// The server whose entry was created first keeps the mark, since it may have open flows. Every
/// balancer knows that order, so that all resolve a token to the same server. `keys` are ordered by
/// name, which decides between entries that were created together.
pub(super) fn assign(
    servers: &mut PrimaryMap<key::Server, Row>,
    keys: impl Iterator<Item = key::Server>,
) -> HashMap<Mark, key::Server> {
    let mut marks: HashMap<Mark, key::Server> = HashMap::new();
    for key in keys {
        let (mark, uid) = (servers[key].mark, servers[key].uid);
        let holder = marks.get(&mark).copied();
        let is_shadowed = holder.is_some_and(|holder| servers[holder].uid <= uid);
        servers[key].is_shadowed = is_shadowed;
        if !is_shadowed {
            marks.insert(mark, key);
            if let Some(holder) = holder {
                servers[holder].is_shadowed = true;
            }
        }
    }
    marks
}
