//! Tests of the reducer in a simulated deployment with virtual time, and of its modules.

mod admission;
mod cold;
mod demand;
mod fleet;
mod flow;
mod golden;
mod health;
mod host;
mod hostile;
mod load;
mod loss;
mod observation;
mod overload;
mod overview;
mod pace;
mod patch;
mod promise;
mod ready;
mod replication;
mod sim;
mod snapshot;
mod spill;
mod startup;
mod table;
mod token;
mod uneven;
