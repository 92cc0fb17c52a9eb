//! Types that users of this crate import.

pub use base::prelude::*;

pub use crate::budget::Budget;
pub use crate::budget::Budgets;
pub use crate::gate::Gate;
pub use crate::item::Item;
pub use crate::item::Outcome;
pub use crate::item::Probe;
pub use crate::setting::Setting;
pub use crate::timeout::Diagnosis;
