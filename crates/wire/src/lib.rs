//! Wire formats: datagrams of callers, frames between balancers, and route tokens.
//!
//! - `token`: the route token, which names the backend server and the owner of a flow.
//! - `frame`: the frames that balancers exchange.
//! - `column`: a compact encoding of many similar texts.
//! - `compress`: compression of long messages.
//! - `demand`: the parts of frames about demand and occupancy of pools.
//! - `seal`: authentication and encryption of peer datagrams, and the encoding of frames.
//! - `coap`: CoAP requests of callers, and the answers to them.

pub mod coap;
pub mod column;
pub mod compress;
pub mod demand;
pub mod frame;
pub mod seal;
pub mod token;
