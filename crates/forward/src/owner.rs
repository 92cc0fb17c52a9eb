//! Which balancer opens flows to a cold server, and which one checks a suspected one.

use base::prelude::*;
use conf::key;

use crate::cold;
use crate::state::Forwarder;

impl Forwarder {
    /// Returns whether this balancer owns a cold server, so that it alone opens flows there. The
    /// owner is the first by rendezvous hash of the balancers in the server's failure domain, or of
    /// all live balancers if that domain has none.
    pub(crate) fn is_cold_owner(&self, server: key::Server) -> bool {
        let row = self.table.server(server);
        let domain = &self.table.domain(row.domain).name;
        // `owners_in` leaves out balancers that joined a short while ago or are flapping, so that
        // ownership does not move back and forth. The fallback takes every balancer of any domain
        // that may still be running, so that there is an owner.
        let mut own = self.group.owners_in(domain).peekable();
        let first = match own.peek() {
            Some(_) => rendezvous_owner(row.identity, own),
            None => {
                let live = self.group.members().filter(|member| member.state.is_live());
                rendezvous_owner(row.identity, live)
            }
        };
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
        let live = self.group.members().filter(|member| member.state.is_live());
        let is_alone = live.count() <= 1;
        for domain in self.table.domains() {
            let name = &domain.name;
            let live = || {
                let live = self.group.members().filter(|member| member.state.is_live());
                live.map(|member| member.incarnation)
            };
            let eligible = self.group.owners_in(name).map(|member| member.incarnation);
            let mut eligible = eligible.peekable();
            let local = self.group.alive_in(name).map(|member| member.incarnation);
            // Incarnations are sorted by their start.
            let oldest = local.min().or_else(|| live().min());
            let oldest = oldest.map_or(now, Incarnation::start_time);
            match eligible.peek() {
                Some(_) => self.owners.observe(now, name, eligible, oldest, is_alone),
                None => self.owners.observe(now, name, live(), oldest, is_alone),
            }
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
        let score =
            |member: &member::Member| route::rendezvous::score(identity, member.incarnation.0);
        let own = score(self.group.local());
        // Membership alone decides here, without the hold time of owners: several balancers may
        // check a server at the same time.
        let domain_members = self.group.alive_in(&self.setting.domain);
        domain_members.filter(|member| score(member) > own).count() as u64
    }
}

fn rendezvous_owner<'a>(
    identity: u64,
    members: impl Iterator<Item = &'a member::Member>,
) -> Option<Incarnation> {
    let first = route::rendezvous::highest(identity, members.map(|member| member.incarnation.0));
    first.map(Incarnation)
}
