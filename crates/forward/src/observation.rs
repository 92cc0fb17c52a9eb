//! What metrics record of flows, by priority and kind of their route.

use base::prelude::*;
use conf::object::Traffic;

use crate::shortage;
use crate::table::route::Route;

/// The labels of a flow. There are `shortage::PRIORITIES` times four of them, however many routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// The priority. The last one stands for all greater ones too.
    pub priority: u8,
    /// The kind of its requests.
    pub kind: Traffic,
}

/// What happened to a flow or a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The first opening packet of a flow arrived.
    Offered,
    /// The flow was refused.
    Refused,
    /// The caller acknowledged the first part of an answer. Time since the flow's opening packet for
    /// its first request, since the request's first data for the others.
    Answered(Span),
    /// The request has ended: time from the same start to the caller's last acknowledgement before
    /// its next request or the end of the flow.
    Ended(Span),
}

impl From<&Route> for Class {
    fn from(route: &Route) -> Class {
        let last = shortage::PRIORITIES as u8 - 1;
        Class {
            priority: route.priority.min(last),
            kind: route.kind,
        }
    }
}
