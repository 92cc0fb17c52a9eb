//! Text form of the table, as it appears in dumps: one definition per line, named by its table key.

use std::fmt;

use super::Table;

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "table r{} {{", self.revision)?;
        for (domain, row) in &self.domains {
            writeln!(f, "    {domain} = domain {row}")?;
        }
        for (server, row) in &self.servers {
            write!(f, "    {server} = server {row}")?;
            match row.services.as_slice() {
                [] => writeln!(f)?,
                [first, rest @ ..] => {
                    write!(f, ", serves {first}")?;
                    for other in rest {
                        write!(f, ", not {other}")?;
                    }
                    writeln!(f)?;
                }
            }
        }
        for (service, row) in &self.services {
            writeln!(f, "    {service} = service {row} {{")?;
            for server in &row.servers {
                writeln!(f, "        {server}: {}", self.servers[*server].state)?;
            }
            writeln!(f, "    }}")?;
        }
        for fault in &self.faults {
            writeln!(f, "    {fault}")?;
        }
        f.write_str("}\n")
    }
}
