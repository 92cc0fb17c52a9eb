//! The state as text, and log lines.

use std::fmt;

use base::prelude::*;
use wire::frame::RecordKey;

use crate::effect::Effect;
use crate::effect::Note;
use crate::state::Node;

/// Creates a log line.
pub(crate) fn log(code: Code, text: String) -> Effect {
    Effect::Log(Note {
        code,
        text,
        flow: None,
        request: None,
    })
}

/// Creates a log line about one request.
pub(crate) fn log_request(code: Code, text: String, key: RecordKey) -> Effect {
    Effect::Log(Note {
        code,
        text,
        flow: Some(key.nonce),
        request: Some(key.message_id),
    })
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "node {} at {} {{", self.incarnation(), self.now)?;
        writeln!(f, "    name {}", self.setting.name)?;
        writeln!(f, "    domain {}", self.setting.domain)?;
        writeln!(f, "    ready {}", self.is_ready())?;
        writeln!(f, "    stopping {}", self.is_stopping)?;
        self.fmt_owned(f)?;
        self.fmt_outgoing(f)?;
        self.fmt_owners(f)?;
        for (run, job) in self.jobs.iter() {
            writeln!(f, "    {run} = {job}")?;
        }
        writeln!(f, "}}")?;
        writeln!(f, "{}", self.group)?;
        write!(f, "{}", self.table)
    }
}

impl Node {
    fn fmt_owned(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (server, owned) in &self.owned {
            write!(f, "    {server} owned term {}", owned.ownership.term)?;
            write!(f, " former {}", owned.former.len())?;
            write!(f, " confirmed {}", owned.is_confirmed)?;
            write!(f, " records {}", owned.records.len())?;
            writeln!(f, " {}", owned.gate)?;
        }
        Ok(())
    }

    fn fmt_outgoing(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (server, outgoing) in &self.outgoing {
            write!(f, "    {server} moved to {}", outgoing.successor)?;
            write!(f, " acknowledged {}", outgoing.is_acknowledged)?;
            write!(f, " running {}", outgoing.running.len())?;
            writeln!(f, " ended {}", outgoing.ended.len())?;
        }
        Ok(())
    }

    fn fmt_owners(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for server in self.table.servers().keys() {
            let Some(entry) = self.owners.get(server) else {
                continue;
            };
            let load = &entry.load;
            write!(f, "    {server} claimed by {}", load.ownership.owner)?;
            write!(f, " term {} seq {}", load.ownership.term, load.seq)?;
            writeln!(
                f,
                " open {} rate {} slots {}",
                load.open, load.rate, load.slots
            )?;
        }
        Ok(())
    }
}
