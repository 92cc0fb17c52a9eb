//! The state as text, for operators and golden files.

use std::fmt;

use conf::key;
use conf::place::Place;

use crate::demand::Rate;
use crate::state::Forwarder;

impl fmt::Display for Forwarder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ready = if self.is_ready() {
            "ready"
        } else {
            "not ready"
        };
        let tier = self.role.tier;
        writeln!(
            f,
            "balancer {} at {}: {ready}, {tier}",
            self.group.local(),
            self.now
        )?;
        if let Some(since) = self.stopping_since {
            writeln!(f, "stopping since {since}")?;
        }
        let routing = Place::from(self.table.routing_version());
        writeln!(f, "routing {routing}: {} routes", self.table.route_count())?;
        for feed in self.feeds.iter() {
            let (kind, place) = (feed.kind(), Place::from(feed.store().revision()));
            write!(f, "{kind} {place}, ")?;
            match feed.age(self.now) {
                Some(age) => writeln!(f, "confirmed {age} ago")?,
                None => writeln!(f, "not known")?,
            }
            for fault in feed.store().faults() {
                writeln!(f, "  {fault}")?;
            }
        }
        writeln!(f, "flows {}", self.flows.len())?;
        if self.host.is_known() {
            let now = self.now;
            let above = self.host.readiness().peers_above(now);
            writeln!(f, "host {}, {above} others above", self.host.usage())?;
            for (class, share) in self.host.gate().refused_classes() {
                writeln!(f, "  host refuses {share} permille of {class}")?;
            }
            let announced = match self.host.readiness().is_withdrawn() {
                true => "not ready",
                false => "ready",
            };
            writeln!(f, "  host {announced}")?;
        }
        for domain in self.table.domains() {
            let state = if domain.out_since.is_some() {
                "out"
            } else {
                "in"
            };
            writeln!(f, "domain {} {state}", domain.name)?;
        }
        for pool in self.exchange.active() {
            self.fmt_demand(pool, f)?;
        }
        for (key, row) in self.table.servers() {
            write!(f, "{key} {row}, {} open at peers", self.loads.requests(key))?;
            let service = match row.pool {
                Some(pool) => self.speeds.service_time_in(self.now, key, pool),
                None => self.speeds.service_time(self.now, key),
            };
            let full_until = self.speeds.full_until(key);
            writeln!(f, ", service {service}, full until {full_until}")?;
        }
        for line in self.admission.lines(&self.table, self.now) {
            writeln!(f, "{line}")?;
        }
        for member in self.group.members() {
            writeln!(f, "{member}")?;
        }
        for (name, count) in self.counts.iter() {
            writeln!(f, "{name} {count}")?;
        }
        Ok(())
    }
}

impl Forwarder {
    /// Writes the demand for a pool here and in all domains, the occupancy of each domain, and the
    /// shares that spill.
    fn fmt_demand(&self, pool: key::Pool, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (now, name) = (self.now, &self.table.pool(pool).object.name);
        let own = self.demands.own_offer(now, pool).sum();
        let total = self.demands.total(now, pool);
        write!(
            f,
            "pool {name} demand here {own}, committed everywhere {}",
            total.committed
        )?;
        for (priority, rate) in total.offered.iter().enumerate() {
            if *rate > Rate::default() {
                write!(f, ", offered at priority {priority} {rate}")?;
            }
        }
        let (balancers, age) = (total.balancers, total.age);
        writeln!(f, ", known of {balancers} balancers, {age} old")?;
        let shares = self.spills.get(pool);
        for domain in self.table.domains() {
            let Some(key) = self.table.domain_key(&domain.name) else {
                continue;
            };
            if let Some(room) = self.demands.domain(now, pool, key) {
                let share = shares.map_or(0, |shares| shares.share(key));
                writeln!(
                    f,
                    "  domain {}: {room}, takes {share} permille",
                    domain.name
                )?;
            }
        }
        Ok(())
    }
}
