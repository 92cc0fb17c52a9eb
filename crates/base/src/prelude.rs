//! Types that most files import.

pub use crate::code::Code;
pub use crate::id::Incarnation;
pub use crate::id::Peer;
pub use crate::time::Span;
pub use crate::time::Time;
