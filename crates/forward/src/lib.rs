//! Layer-4 forwarding with direct server return, as a reducer.
//!
//! Each packet of a flow reaches some balancer of the caller's failure domain, not always the same
//! one. The balancer forwards it to a backend server, which answers the caller directly, so a
//! balancer sees only one direction of a flow. The opening packet is assigned to a backend server
//! (`select`) and given a route token (`token`), which both ends return in every later packet. Any
//! balancer resolves the token to the same server, so balancers share no flow state.
//!
//! The crate does no I/O and uses no clock, random source or unordered iteration, so any driver can
//! run `Forwarder`. `Forwarder::handle_packet` decides on one packet, `Forwarder::step` applies
//! every other event, and both return the work for the driver as data.
//!
//! The decision on a packet:
//!
//! - `state`: the reducer, its state, readiness and the ownership of servers.
//! - `opening`: opening packets: server selection, retransmissions and refusals.
//! - `established`: packets of open flows, forwarded by route token.
//! - `admission`: refusal of new flows by urgency while capacity is short.
//! - `host`: the use of the host's link and processor.
//! - `pace`: order and delay of packets while the host's link is short.
//! - `refusal`: refused flows, whose further opening packets are refused too.
//! - `select`: load balancing: the backend server of a new flow.
//! - `speed`: service times of backend servers, from their answers.
//! - `answer`: recognition of rejected requests by the size of their answers.
//! - `health`: passive failure detection of backend servers, confirmed by health checks.
//! - `owner`: which balancer opens flows to a cold server, and which one checks a suspected one.
//! - `check`: scheduling and results of those health checks.
//! - `cold`: slow start: the rate at which a cold backend server receives flows.
//! - `mean`: exponentially smoothed values.
//! - `flow`: the bounded table of flows that this balancer opened.
//! - `token`: route tokens.
//! - `packet`: packet heads and verdicts.
//! - `codec`: the byte form of packets, implemented by the platform.
//!
//! Replicated state:
//!
//! - `table`: routes, pools and backend servers in force, indexed by dense keys.
//! - `feed`: replication of platform objects: reads, watches, updates from peers and staleness.
//! - `role`: which balancer reads the platform, and which ones distribute its updates.
//! - `startup`: whom a starting balancer asks for a snapshot, when it reads the platform itself, and
//!   whom a balancer with a snapshot serves.
//! - `snapshot`: the byte form of snapshots.
//! - `transfer`: the exchange of snapshots.
//! - `peer`: membership, and the frames that balancers exchange.
//! - `reach`: whether this balancer's own reads of the platform are answered.
//! - `contact`: the failure domains from whose balancers frames arrive.
//! - `load`: load reports of other balancers, and the sums that selection uses.
//! - `running`: the requests under way at a server, here and at peers.
//! - `retransmission`: evidence that a backend server leaves its open flows unanswered.
//! - `backlog`: opening packets whose callers may have given up.
//! - `loss`: requests that a backend server left without an answer.
//! - `report`: exchange of load reports and restart hints.
//! - `rate`: estimators of the rates of events.
//! - `demand`: demand for each pool, here, at peers and in other failure domains.
//! - `pressure`: the taken slots of the own failure domain.
//! - `exchange`: the frames about demand and occupancy.
//! - `recipient`: the recipients of summaries between failure domains.
//! - `spill`: the share of new flows that other failure domains take.
//! - `patch`: deltas between versions of large objects.
//! - `read`: reads of the platform, and how objects are put in force.
//! - `tick`: timers and periodic work.
//!
//! The interface to the driver:
//!
//! - `event`, `effect`: inputs and outputs of the reducer.
//! - `note`: log records of decisions.
//! - `count`: counters.
//! - `dump`: the state as text.
//! - `observation`: what metrics record of flows, by priority and kind of route.
//! - `shortage`: the pools that were short of capacity in the last minute.
//! - `overview`: the admin page about them.
//! - `setting`: settings and their defaults.
//! - `prelude`: the types that a driver imports.

pub mod admission;
pub mod answer;
pub mod backlog;
pub mod check;
pub mod codec;
pub mod cold;
pub mod contact;
pub mod count;
pub mod demand;
pub mod effect;
pub mod event;
pub mod exchange;
pub mod feed;
pub mod flow;
pub mod health;
pub mod host;
pub mod load;
pub mod loss;
pub mod note;
pub mod observation;
pub mod overview;
mod owner;
pub mod pace;
pub mod packet;
pub mod patch;
pub mod prelude;
pub mod pressure;
pub mod rate;
pub mod reach;
pub mod recipient;
pub mod refusal;
pub mod retransmission;
pub mod role;
pub mod running;
pub mod select;
pub mod setting;
pub mod shortage;
pub mod snapshot;
pub mod speed;
pub mod spill;
pub mod startup;
pub mod state;
pub mod table;
pub mod tick;
pub mod token;

mod dump;
mod established;
mod mean;
mod opening;
mod peer;
mod read;
mod report;
mod transfer;

pub use state::Forwarder;
