//! Tests of the configuration crate.

mod era;
mod label;
mod make;
mod object;
mod place;
mod store;
mod table;
