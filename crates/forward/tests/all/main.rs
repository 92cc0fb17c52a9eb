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
mod overload;
mod patch;
mod promise;
mod replication;
mod sim;
mod spill;
mod startup;
mod table;
mod token;
mod uneven;
