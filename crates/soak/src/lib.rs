//! Randomized soak test of packet forwarding: real balancer processes on loopback, with faults that
//! are injected from outside.
//!
//! A run starts the balancers of three failure domains as processes. The platform, backend
//! servers, callers and the fabric are tasks of the run. Frames between balancers, and the
//! balancers' calls to the platform, pass relays that can delay, drop, partition and stall them. A
//! fault plan drawn from the seed sends signals to processes, disturbs links, servers and the
//! platform, and changes the configuration. Loads drawn from the seed make servers slow or full.
//! Meanwhile callers send requests, and a checker compares
//! what callers and servers observe with the promises that balancers make.
//!
//! - [`run`]: a whole run, from set-up to report.
//! - [`plan`]: draws the faults of a seed.
//! - [`fault`]: injects and reverts faults.
//! - [`load`]: injects loads.
//! - [`checker`]: the promises, and the checks that detect breaches.
//! - [`world`]: state that the tasks of a run share.
//! - [`address`]: loopback addresses of a run.
//! - [`process`]: starts, signals and stops balancer processes.
//! - [`operator`]: writes the configuration and servers' entries to the platform.
//! - [`fabric`]: probes balancers and spreads callers' packets over them.
//! - [`relay`]: relays for frames between balancers and for calls to the platform.
//! - [`server`]: backend servers.
//! - [`health`]: health checks of backend servers.
//! - [`caller`]: callers and probes of routes.

pub mod address;
pub mod caller;
pub mod checker;
pub mod fabric;
pub mod fault;
pub mod health;
pub mod load;
pub mod operator;
pub mod plan;
pub mod process;
pub mod relay;
pub mod run;
pub mod server;
pub mod world;
