//! The state as text, for operators and golden files.

use std::fmt;

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
        let routing = self.table.routing_version();
        writeln!(f, "routing r{routing}: {} routes", self.table.route_count())?;
        for feed in self.feeds.iter() {
            let (kind, revision) = (feed.kind(), feed.store().revision());
            write!(f, "{kind} r{revision}, ")?;
            match feed.age(self.now) {
                Some(age) => writeln!(f, "confirmed {age} ago")?,
                None => writeln!(f, "not known")?,
            }
            for fault in feed.store().faults() {
                writeln!(f, "  {fault}")?;
            }
        }
        writeln!(f, "flows {}", self.flows.len())?;
        for domain in self.table.domains() {
            let state = if domain.out_since.is_some() {
                "out"
            } else {
                "in"
            };
            writeln!(f, "domain {} {state}", domain.name)?;
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
