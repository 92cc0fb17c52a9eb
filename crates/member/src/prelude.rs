//! Re-exports of the types that users of the reducer need.

pub use base::prelude::*;

pub use crate::event::Effect;
pub use crate::event::Event;
pub use crate::event::Message;
pub use crate::group::Group;
pub use crate::record::Member;
pub use crate::record::State;
pub use crate::setting::Setting;
