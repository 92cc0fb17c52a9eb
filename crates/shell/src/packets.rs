//! The I/O around the reducer of packet forwarding.
//!
//! One thread runs one event loop. Packets are received and sent in batches, so that the cost of a
//! system call is shared by the packets of a batch.
//!
//! - `run`: binds the sockets and runs the event loop.
//! - `setting`: validates settings from flags, the environment and a file.
//! - `batch`: a UDP socket that receives and sends many datagrams in one system call.
//! - `fragment`: splits frames that do not fit a datagram, and reassembles them.
//! - `processor`: the processor time of the process.
//! - `source`: background tasks that call the platform and check backend servers.
//! - `trace`: log lines for the reducer's decisions.
//! - `signal`: the Unix signals that the process handles.

pub mod batch;
pub mod fragment;
pub mod processor;
pub mod queue;
pub mod run;
pub mod setting;
pub mod signal;
pub mod source;
pub mod trace;
