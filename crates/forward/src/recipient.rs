//! Recipients of summaries: which balancer sends those of a failure domain, to which ones of other
//! domains, and how they reach the rest there.
//!
//! Within a domain, summaries pass along a tree of its balancers, so that the bandwidth of each one
//! does not grow with their number. The order in the tree differs by round.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::hash;
use base::prelude::*;
use member::Group;
use member::State;

/// The number of balancers to which each one passes a summary on. A domain of 56 balancers is five
/// steps of 0.2 ms deep.
pub const FANOUT: usize = 2;

/// Returns the balancer of a domain that sends its summaries: its reporter, or the next one while
/// that one is suspected, since a suspicion lasts longer than entries count.
pub fn reporter(group: &Group, domain: &str) -> Option<Incarnation> {
    let mut owners = group.owners_in(domain);
    let alive = owners.find(|member| member.state == State::Alive);
    let alive = alive.map(|member| member.incarnation);
    alive.or_else(|| group.reporter(domain))
}

/// Returns whether this balancer sends the summaries of its domain.
pub fn is_reporter(group: &Group) -> bool {
    let me = group.local();
    reporter(group, &me.domain) == Some(me.incarnation)
}

/// Returns the reporters of the other domains that can be reached.
pub fn other_reporters(group: &Group) -> Vec<SocketAddr> {
    let own = group.local().domain.as_str();
    let mut reporters: BTreeMap<&str, Option<SocketAddr>> = BTreeMap::new();
    for member in group.members().filter(|member| member.state.is_live()) {
        let domain = member.domain.as_str();
        if domain == own || reporters.contains_key(domain) {
            continue;
        }
        let reporter = reporter(group, domain).filter(|_| !group.is_partitioned(domain));
        let reporter = reporter.and_then(|reporter| group.get(reporter));
        reporters.insert(domain, reporter.map(|member| member.peer.datagram));
    }
    reporters.into_values().flatten().collect()
}

/// Returns the balancers to which this one passes a summary on. `is_root` says that it received the
/// summary from the other domain.
pub fn next_hops(group: &Group, round: u32, is_root: bool) -> Vec<SocketAddr> {
    let me = group.local();
    let root = match is_root {
        true => Some(me.incarnation),
        false => reporter(group, &me.domain),
    };
    let mut order: Vec<(u64, Incarnation, SocketAddr)> = group
        .alive_in(&me.domain)
        .filter(|member| Some(member.incarnation) != root && member.state == State::Alive)
        .map(|member| {
            let rank = hash::pair(member.incarnation.0, round.into());
            (rank, member.incarnation, member.peer.datagram)
        })
        .collect();
    order.sort_unstable();
    let first = match is_root {
        true => 0,
        false => {
            let place = order
                .iter()
                .position(|&(_, member, _)| member == me.incarnation);
            place.map_or(order.len(), |place| (place + 1) * FANOUT)
        }
    };
    let hops = order.into_iter().skip(first).take(FANOUT);
    hops.map(|(.., to)| to).collect()
}
