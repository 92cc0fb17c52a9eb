//! Tests of the reducer: in a world of callers, servers, a store and balancers in virtual time, and
//! of its parts.

mod flow;
mod golden;
mod health;
mod hostile;
mod load;
mod patch;
mod promise;
mod table;
mod token;
mod view;
mod world;
