//! Tests of the reducer in a simulated deployment with virtual time, and of its modules.

mod admission;
mod demand;
mod fleet;
mod flow;
mod golden;
mod health;
mod hostile;
mod load;
mod loss;
mod observation;
mod overload;
mod overview;
mod patch;
mod promise;
mod replication;
mod sim;
mod spill;
mod table;
mod token;
mod uneven;
