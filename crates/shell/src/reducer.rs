//! Implements the event loop's `Reducer` trait for `node::Node`.

use base::prelude::*;
use node::effect::Effect;
use node::event::Event;
use node::Node;

use crate::metric::Count;
use crate::run::Reducer;

impl Reducer for Node {
    fn step(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        Node::step(self, now, event, effects);
    }

    fn dump(&self) -> String {
        self.to_string()
    }

    fn is_ready(&self) -> bool {
        Node::is_ready(self)
    }

    fn counts(&self) -> Vec<Count> {
        let counts = Node::counts(self);
        let kinds = counts.kinds().map(|(kind, n)| Count::new(kind, n));
        let codes = counts
            .codes()
            .map(|(code, n)| Count::new("results", n).with_code(code));
        let revision = Count::new("revision", Node::revision(self));
        kinds.chain(codes).chain([revision]).collect()
    }

    fn revision(&self) -> u64 {
        Node::revision(self)
    }
}
