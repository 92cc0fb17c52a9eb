//! Which balancer opens flows to a cold server, and which one checks a suspected one.

use base::prelude::*;
use conf::key;
use member::Group;
use member::Member;

use crate::cold;
use crate::state::Forwarder;

impl Forwarder {
    /// Returns whether this balancer owns a cold server, so that it alone opens flows there. The
    /// owner is the first by rendezvous hash of the balancers in the server's failure domain, or of
    /// all live balancers if that domain has none.
    pub(crate) fn is_cold_owner(&self, server: key::Server) -> bool {
        let row = self.table.server(server);
        let owners = eligible_owners(&self.group, &self.table.domain(row.domain).name);
        let incarnations = owners.map(|member| member.incarnation.0);
        let first = route::rendezvous::highest(row.identity, incarnations).map(Incarnation);
        first == Some(self.incarnation())
    }

    /// Returns whether this balancer may open flows at a cold server: it is the owner, and the flows
    /// of an earlier owner no longer count.
    pub(crate) fn may_open_cold(&self, server: key::Server) -> bool {
        let row = self.table.server(server);
        let domain = &self.table.domain(row.domain).name;
        self.owners.may_open(self.now, domain, row.tenure) && self.is_cold_owner(server)
    }

    /// Observes which balancers may own cold servers, and since when this one does.
    pub(crate) fn observe_owners(&mut self) {
        let now = self.now;
        self.owners.start_observation(now);
        let is_alone = live_members(&self.group).nth(1).is_none();
        for domain in self.table.domains() {
            let name = &domain.name;
            let owners = eligible_owners(&self.group, name).map(|member| member.incarnation);
            // Incarnations are ordered by their start, and members by their incarnation.
            let oldest = self.group.alive_in(name).next();
            let oldest = oldest.or_else(|| live_members(&self.group).next());
            let oldest = oldest.map_or(now, |member| member.incarnation.start_time());
            self.owners.observe(now, name, owners, oldest, is_alone);
        }
        let changes: Vec<(key::Server, cold::Tenure)> = self
            .table
            .servers()
            .filter_map(|(server, row)| {
                let tenure = match self.table.is_cold(server, now) {
                    true => {
                        let view = self.owners.view(&self.table.domain(row.domain).name);
                        let owns = || self.is_cold_owner(server);
                        row.tenure.observed(now, view, owns)
                    }
                    false => cold::Tenure::Unknown,
                };
                (tenure != row.tenure).then_some((server, tenure))
            })
            .collect();
        for (server, tenure) in changes {
            self.table.server_mut(server).tenure = tenure;
        }
    }

    /// Returns the place of this balancer among those of its failure domain that may check a
    /// server, by rendezvous hash. 0 is the checker.
    pub(crate) fn checker_rank(&self, server: key::Server) -> u64 {
        let identity = self.table.server(server).identity;
        let score = |member: &Member| route::rendezvous::score(identity, member.incarnation.0);
        let own = score(self.group.local());
        // Membership alone decides here, without the hold time of owners: several balancers may
        // check a server at the same time.
        let domain_members = self.group.alive_in(&self.setting.domain);
        domain_members.filter(|member| score(member) > own).count() as u64
    }
}

/// Returns the balancers that may own the cold servers of a failure domain: its own ones, or all live
/// balancers if it has none, so that there is an owner. `owners_in` leaves out balancers that joined a
/// short while ago or are flapping, so that ownership does not move back and forth.
fn eligible_owners<'a>(group: &'a Group, domain: &'a str) -> impl Iterator<Item = &'a Member> {
    let mut own = group.owners_in(domain).peekable();
    let others = own.peek().is_none().then(|| live_members(group));
    own.chain(others.into_iter().flatten())
}

fn live_members(group: &Group) -> impl Iterator<Item = &Member> {
    group.members().filter(|member| member.state.is_live())
}
