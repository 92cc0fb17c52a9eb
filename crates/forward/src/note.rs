//! Log records: decisions on flows and changes of replicated or detected state, with their inputs.

use std::fmt;

use base::prelude::*;
use conf::object::Kind;
use conf::place::Place;

use crate::admission;
use crate::flow::Basis;
use crate::flow::Id;
use crate::host::Usage;

/// A log record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The first data of a flow was forwarded to its backend server. The driver adds the request's
    /// id.
    Request {
        /// The flow.
        flow: Id,
        /// Its backend server.
        server: String,
        /// The number of servers that it was assigned to before without an answer.
        moves: u8,
        /// Time since its first opening packet.
        opened: Span,
        /// The data behind the selection of the server.
        basis: Basis,
        /// Place of the routing in force.
        routing: Place,
    },
    /// An opening packet was answered with a reset.
    Refused {
        /// The flow.
        flow: Id,
        /// The reason.
        code: Code,
        /// Place of the routing in force.
        routing: Place,
        /// Staleness of the backend servers; `None` before their first listing.
        age: Option<Span>,
    },
    /// The pool of a new flow is short of capacity, and the flow was admitted or refused by its
    /// priority's share.
    Admission {
        /// The flow.
        flow: Id,
        /// Whether it was admitted.
        is_admitted: bool,
        /// The data behind the decision.
        basis: admission::Basis,
    },
    /// An opening packet was dropped, so that the caller's retransmission is assigned to a server
    /// or refused.
    Deferred {
        /// The flow.
        flow: Id,
        /// The reason.
        code: Code,
        /// The number of this retransmission; 0 for the first opening packet.
        copies: u32,
    },
    /// A flow was moved to another server because the previous one did not answer.
    Moved {
        /// The flow.
        flow: Id,
        /// The server that did not answer.
        from: String,
        /// The server that is selected now.
        to: String,
        /// Time since its opening packet was last forwarded to the previous server.
        waited: Span,
        /// The data behind the selection of the server.
        basis: Basis,
    },
    /// A flow without an answer is assigned anew, since no route leads to its server any more.
    Rerouted {
        /// The flow.
        flow: Id,
        /// The server that it was assigned to.
        from: String,
        /// Place of the routing in force.
        routing: Place,
    },
    /// A flow expired without an answer, or idle without an end by the caller.
    Expired {
        /// The flow.
        flow: Id,
        /// The server that it was last assigned to.
        server: String,
        /// The number of servers that it was assigned to before.
        moves: u8,
        /// Whether a server had answered.
        was_open: bool,
        /// Time since its first opening packet.
        age: Span,
    },
    /// An open flow was reset because its server is unreachable.
    Reset {
        /// The flow.
        flow: Id,
        /// The server.
        server: String,
    },
    /// A backend server is suspected because it left a packet unanswered.
    Suspected {
        /// The server.
        server: String,
        /// The flow of the unanswered packet.
        flow: Id,
        /// Time since the packet was forwarded.
        waited: Span,
    },
    /// A backend server is suspected because a peer reported a suspicion.
    SuspectedByPeer {
        /// The server.
        server: String,
        /// The peer.
        by: Incarnation,
    },
    /// Servers of another failure domain are suspected because the domain seems to be partitioned
    /// from here.
    SuspectedDomain {
        /// The failure domain.
        domain: String,
        /// The number of servers that were not suspected before.
        servers: usize,
    },
    /// A backend server counts as cold because the checker of its failure domain reported that it
    /// may have restarted.
    RestartHinted {
        /// The server.
        server: String,
        /// The checker.
        by: Incarnation,
    },
    /// A suspected backend server answered, which clears the suspicion.
    Recovered {
        /// The server.
        server: String,
        /// The peer whose check succeeded; `None` for this balancer.
        by: Option<Incarnation>,
    },
    /// A backend server became slow: it takes at least twice as long as its pool. Or it no longer
    /// does.
    SlowServer {
        /// The server.
        server: String,
        /// Whether it is slow now.
        is_slow: bool,
        /// Its service time, by the answers of the last 2 s and the reports of the last second.
        service: Span,
        /// The pool's service time.
        pool: Span,
    },
    /// A suspected backend server is unreachable because repeated checks failed.
    Unreachable {
        /// The server.
        server: String,
    },
    /// A backend server's entry lapsed, so that it takes no new flows.
    Lapsed {
        /// The server.
        server: String,
        /// How long its entry was missing.
        missing: Span,
    },
    /// Objects from the platform or a peer were put in force.
    Applied {
        /// The kind of objects.
        kind: Kind,
        /// The place that was in force before.
        from: Place,
        /// The place that is in force now.
        upto: Place,
        /// The number of objects that changed.
        changes: usize,
        /// The number of objects whose latest version is invalid and not in force. The dump lists
        /// their faults.
        faults: usize,
        /// The peer that published them; `None` for the platform.
        by: Option<Incarnation>,
    },
    /// The first objects of a new era of the platform's store, which was restored from an older copy,
    /// were put in force.
    Restored {
        /// The kind of objects.
        kind: Kind,
        /// The place that was in force before.
        from: Place,
        /// The place that is in force now.
        upto: Place,
        /// The peer that published them; `None` for the platform.
        by: Option<Incarnation>,
    },
    /// An answer of the platform that is older than the local state was ignored.
    StaleAnswer {
        /// The kind of objects.
        kind: Kind,
        /// The place in force.
        have: Place,
        /// The place of the answer.
        got: Place,
    },
    /// A read failed, and the one before it did not.
    ReadFailing {
        /// The kind of the read.
        kind: Kind,
        /// The cause.
        why: String,
        /// Time since the last answer; `None` if there was none.
        age: Option<Span>,
    },
    /// A read succeeded after failures.
    ReadRecovered {
        /// The kind.
        kind: Kind,
        /// The number of failures.
        failures: u32,
    },
    /// A peer joined, or its state changed.
    Peer {
        /// The peer's name.
        name: String,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its new state.
        state: &'static str,
    },
    /// New flows of a pool started to spill to other failure domains, or stopped to.
    Spill {
        /// The pool.
        pool: String,
        /// Whether they spill now.
        is_spilling: bool,
        /// The domains that take them with their shares, in permille.
        shares: Vec<(String, u64)>,
        /// The number of slots of the own domain.
        slots: u32,
        /// The number of these that are taken.
        running: u32,
        /// The age of the oldest summary that counts.
        age: Span,
    },
    /// A failure domain was partitioned from this balancer, or the partition has healed.
    Domain {
        /// The domain.
        domain: String,
        /// `true` if none of the domain's balancers is seen, `false` if some are seen again.
        is_cut: bool,
    },
    /// The process was paused, so that its state may be stale.
    Resumed {
        /// The length of the pause.
        pause: Span,
    },
    /// The balancer's readiness changed.
    Ready {
        /// Whether it is ready.
        is_ready: bool,
        /// Place of the routing in force.
        routing: Place,
        /// The number of backend servers.
        servers: usize,
    },
    /// A planned stop began.
    Stopping {
        /// The number of flows in the table.
        flows: usize,
    },
    /// New settings are in force.
    Reloaded,
    /// A new flow was refused because the host's link or processor is short.
    HostFull {
        /// The flow.
        flow: Id,
        /// The priority of its route.
        priority: u8,
        /// Whether its route is for uploads.
        is_upload: bool,
        /// The share of such flows that is refused, in permille.
        share: u32,
        /// The use of the host.
        usage: Usage,
    },
    /// The host reports not ready because its link or processor stays full, or no longer does.
    HostReady {
        /// Whether it is ready.
        is_ready: bool,
        /// The use of the host.
        usage: Usage,
        /// The number of other hosts of the failure domain that are short.
        peers_above: usize,
    },
    /// Packets were held or dropped because the host's link is short, at most one record per second.
    Paced {
        /// The number of packets that were held since the last record.
        delayed: u64,
        /// The number of packets that were dropped since.
        dropped: u64,
        /// The use of the host.
        usage: Usage,
    },
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Request { flow, server, .. } => write!(f, "{flow}: request to {server}"),
            Note::Refused { flow, code, .. } => write!(f, "{flow}: refused, {code}"),
            Note::Admission {
                flow,
                is_admitted,
                basis,
            } => {
                let outcome = if *is_admitted { "admitted" } else { "refused" };
                write!(f, "{flow}: {outcome} under shortage, {basis}")
            }
            Note::Deferred { flow, code, copies } => {
                write!(f, "{flow}: deferred, retransmission {copies}, {code}")
            }
            Note::Moved { flow, from, to, .. } => {
                write!(f, "{flow}: {from} did not answer, moved to {to}")
            }
            Note::Rerouted { flow, from, .. } => {
                write!(f, "{flow}: {from} is no longer a server of its route")
            }
            Note::Expired { flow, server, .. } => write!(f, "{flow}: expired at {server}"),
            Note::Reset { flow, server } => write!(f, "{flow}: reset, {server} is unreachable"),
            Note::Suspected { server, flow, .. } => {
                write!(f, "{server} is suspected: no answer to {flow}")
            }
            Note::SuspectedByPeer { server, by } => {
                write!(f, "{server} is suspected, reported by {by}")
            }
            Note::SuspectedDomain { domain, servers } => {
                write!(f, "{servers} servers of {domain} are suspected with it")
            }
            Note::RestartHinted { server, by } => {
                write!(f, "{server} may have restarted, reported by {by}")
            }
            Note::Recovered { server, .. } => write!(f, "{server} answers again"),
            Note::SlowServer {
                server,
                is_slow,
                service,
                pool,
            } => {
                let state = if *is_slow { "slow" } else { "no longer slow" };
                write!(f, "{server} is {state}: {service}, its pool {pool}")
            }
            Note::Unreachable { server } => write!(f, "{server} is unreachable"),
            Note::Lapsed { server, .. } => {
                write!(f, "{server} takes no new flows: its entry lapsed")
            }
            Note::Applied { kind, upto, .. } => write!(f, "{kind} {upto} in force"),
            Note::Restored {
                kind, from, upto, ..
            } => write!(f, "{kind} {from} replaced by {upto} of a restored store"),
            Note::StaleAnswer { kind, have, got } => {
                write!(
                    f,
                    "stale answer about {kind} ignored: {got}, {have} is in force"
                )
            }
            Note::ReadFailing { kind, why, .. } => write!(f, "{kind} cannot be read: {why}"),
            Note::ReadRecovered { kind, .. } => write!(f, "{kind} can be read again"),
            Note::Peer { name, state, .. } => write!(f, "peer {name} {state}"),
            Note::Spill {
                pool,
                is_spilling,
                slots,
                running,
                ..
            } => {
                let verb = if *is_spilling { "spills" } else { "stays" };
                write!(f, "{pool} {verb}: {running} of {slots} slots taken")
            }
            Note::Domain { domain, is_cut } => match is_cut {
                true => write!(f, "{domain} is unreachable"),
                false => write!(f, "{domain} is reachable again"),
            },
            Note::Resumed { pause } => write!(f, "paused for {pause}"),
            Note::Ready { is_ready, .. } => match is_ready {
                true => f.write_str("ready"),
                false => f.write_str("not ready"),
            },
            Note::Stopping { flows } => write!(f, "stopping with {flows} flows"),
            Note::Reloaded => f.write_str("settings reloaded"),
            Note::HostFull {
                flow, share, usage, ..
            } => {
                write!(f, "{flow}: refused with {share} permille, {usage}")
            }
            Note::HostReady {
                is_ready, usage, ..
            } => {
                let state = if *is_ready { "ready" } else { "not ready" };
                write!(f, "host {state}: {usage}")
            }
            Note::Paced {
                delayed,
                dropped,
                usage,
            } => write!(f, "{delayed} packets held, {dropped} dropped, {usage}"),
        }
    }
}
