//! Tests of the commands, run against the platform stand-in.

mod codes;
mod harness;
mod input;
mod load;
mod race;
mod session;
