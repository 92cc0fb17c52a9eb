//! Reads of the platform, and how the objects of the platform and of peers are put in force.

use base::prelude::*;
use conf::object::Body;
use conf::object::Kind;
use conf::place::Place;
use conf::raw;
use conf::store::Change;

use crate::count;
use crate::effect::Effect;
use crate::feed;
use crate::feed::Answer;
use crate::feed::Feed;
use crate::note::Note;
use crate::peer;
use crate::state::Forwarder;
use crate::transfer;

/// The period of resync requests to peers while the platform cannot be read.
const RESYNC_PERIOD: Span = Span::millis(300);

/// Starts the reads that are due, and publishes what is known.
pub(crate) fn start_due(state: &mut Forwarder, out: &mut Vec<Effect>) {
    let now = state.now;
    let role = state.role;
    let may_read = transfer::step(state, out);
    for feed in state.feeds.iter_mut().filter(|_| may_read) {
        if let Some(read) = feed.start_due_read(now, role) {
            state.counts.add(count::Kind::Reads);
            out.push(Effect::Read {
                kind: read.kind,
                since: read.since,
                wait: read.wait,
            });
        }
    }
    if now >= state.timers.resync && state.feeds.iter().any(Feed::is_failing) {
        state.timers.resync = now + RESYNC_PERIOD;
        peer::request_resync(state, out);
    }
    // A balancer that begins to read publishes with the answer, before the next one reads too.
    let is_due = now >= state.timers.watermark && peer::is_publisher(state);
    if is_due && peer::publish_watermarks(state, out) {
        state.timers.watermark = now + role.watermark_period;
    }
}

/// Handles the platform's answer to a read.
pub(crate) fn handle_answer(
    state: &mut Forwarder,
    kind: Kind,
    since: u64,
    upto: u64,
    objects: &[raw::Object],
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let jitter = backoff_jitter(state);
    state.reach.record_answer();
    let Some(feed) = state.feeds.get_mut(kind) else {
        return;
    };
    let (have, failures) = (feed.store().revision(), feed.failures());
    let baseline = peer::Baseline::new(feed, objects.len());
    let answer = feed.apply_answer(now, since, upto, objects);
    if failures > 0 && answer != Answer::Stale {
        out.push(Effect::Note(Note::ReadRecovered { kind, failures }));
    }
    let change = match answer {
        Answer::Applied(change) => change,
        Answer::Stale => {
            let (have, got) = (Place::from(have), Place::from(upto));
            if got.era() < have.era() {
                // Such answers may go on, which is as bad as none.
                feed.record_failure(now, false, jitter);
            }
            state.counts.add(count::Kind::StaleAnswers);
            return out.push(Effect::Note(Note::StaleAnswer { kind, have, got }));
        }
        Answer::Restored => return state.feeds.expect_revision(now, upto),
    };
    state.feeds.expect_revision(now, upto);
    apply_change(state, kind, change, None, out);
    if change.objects > 0 {
        peer::publish_changes(state, kind, &baseline, out);
    }
    transfer::answer_waiting(state, out);
}

/// Returns the number from 0 to 99 that spreads the backoff of failed reads.
fn backoff_jitter(state: &Forwarder) -> u64 {
    base::hash::pair(state.incarnation().0, state.now.0) % 100
}

/// Handles a failed read.
pub(crate) fn handle_failure(
    state: &mut Forwarder,
    kind: Kind,
    is_history_gone: bool,
    why: String,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    state.counts.add(count::Kind::ReadFailures);
    match is_history_gone {
        // That the history is gone is an answer too.
        true => state.reach.record_answer(),
        false => state.reach.record_loss(now),
    }
    let jitter = backoff_jitter(state);
    let Some(feed) = state.feeds.get_mut(kind) else {
        return;
    };
    let was_failing = feed.is_failing();
    feed.record_failure(now, is_history_gone, jitter);
    if !was_failing {
        let age = feed.age(now);
        out.push(Effect::Note(Note::ReadFailing { kind, why, age }));
        if kind == feed::HEARTBEAT_KIND && !is_history_gone {
            state.feeds.resync_watches();
        }
    }
}

/// Puts the changed objects of a feed in force.
pub(crate) fn apply_change(
    state: &mut Forwarder,
    kind: Kind,
    change: Change,
    by: Option<Incarnation>,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let Some(feed) = state.feeds.get(kind) else {
        return;
    };
    let (from, upto) = (Place::from(change.from), Place::from(change.to));
    if change.from > 0 && from.era() < upto.era() {
        // The copy from which the store was restored may be older than this balancer's announcement.
        state.timers.repeat_announcement(now);
        out.push(Effect::Note(Note::Restored {
            kind,
            from,
            upto,
            by,
        }));
    }
    // Without changes there is nothing to put in force. The objects are applied nevertheless until
    // the balancer is ready, and while the feed is empty.
    if change.objects == 0 && feed.store().objects().next().is_some() && state.was_ready {
        return;
    }
    match kind {
        Kind::Routing => {
            let routing = feed
                .store()
                .objects()
                .find_map(|object| match &object.body {
                    Body::Routing(routing) => Some((routing, object.meta.version)),
                    _ => None,
                });
            if let Some((routing, version)) = routing {
                state.table.apply_routing(routing, version);
            }
        }
        Kind::Server => {
            state.table.apply_servers(now, feed.store().objects());
        }
        Kind::Domain => state.table.apply_domains(now, feed.store().objects()),
        Kind::Service | Kind::Report => (),
    }
    if change.objects > 0 {
        out.push(Effect::Note(Note::Applied {
            kind,
            from,
            upto,
            changes: change.objects,
            faults: feed.store().faults().len(),
            by,
        }));
    }
}
