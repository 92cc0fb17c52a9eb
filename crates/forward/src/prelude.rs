//! The types that a driver of the reducer imports.

pub use crate::codec::Codec;
pub use crate::effect::Effect;
pub use crate::event::Event;
pub use crate::packet::Flags;
pub use crate::packet::Head;
pub use crate::packet::Target;
pub use crate::packet::Verdict;
pub use crate::setting::Setting;
pub use crate::state::Forwarder;
pub use crate::token::Token;
