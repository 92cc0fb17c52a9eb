//! Types that a driver of the reducer needs.

pub use base::prelude::*;

pub use crate::effect::Effect;
pub use crate::event::Event;
