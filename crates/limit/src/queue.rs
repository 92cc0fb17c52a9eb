//! Bounded queue of requests, earliest deadline first, fair between services.
//!
//! Each service has a lane, ordered by deadline. Lanes are scheduled by start-time fair queueing: a
//! lane's start tag rises by one with each request taken from it, and the lane with the lowest tag
//! is next. A lane that was empty rejoins at the virtual time, the tag last served, so that an idle
//! service accumulates no credit. A lane holds at most `LANE_SHARE` times the free capacity, and
//! the last place is reserved for an empty lane, so that a service with a backlog leaves room for
//! others.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::item::Item;

/// Maximum length of a lane, as a multiple of the queue's free capacity.
const LANE_SHARE: usize = 3;

/// Sort key in a lane: by deadline, then by arrival.
type Position = (Time, u64);

/// The queued requests of one service.
#[derive(Clone, Debug, Default)]
struct Lane {
    /// Start tag of the lane's next request.
    tag: u64,
    items: BTreeMap<Position, Item>,
}

impl Lane {
    /// Returns the first request whose deadline has not passed.
    fn first_unexpired(&self, now: Time) -> Option<(Position, Item)> {
        let after = (Time(now.0.saturating_add(1)), 0);
        self.items
            .range(after..)
            .next()
            .map(|(position, item)| (*position, *item))
    }
}

/// A bounded queue of requests.
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    /// Number of requests pushed so far.
    arrivals: u64,
    /// Start tag of the request that was taken last.
    virtual_time: u64,
    /// Lanes by the uid of the service.
    lanes: BTreeMap<u32, Lane>,
    /// Service and position of each request, by key.
    positions: BTreeMap<u32, (u32, Position)>,
}

impl Queue {
    /// Creates an empty queue for up to `capacity` requests.
    pub fn new(capacity: usize) -> Queue {
        Queue {
            capacity,
            arrivals: 0,
            virtual_time: 0,
            lanes: BTreeMap::new(),
            positions: BTreeMap::new(),
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns whether the queue has no room for another request of `service`.
    pub fn is_full(&self, service: u32) -> bool {
        let room = self.capacity.saturating_sub(self.len());
        match self.lanes.get(&service).map_or(0, |lane| lane.items.len()) {
            0 => room == 0,
            queued => queued >= LANE_SHARE * room.saturating_sub(1),
        }
    }

    /// Returns the number of requests that would start before a new one: those of its lane with no
    /// later deadline, and from each other lane at most one more than that, since lanes take turns.
    pub fn count_ahead(&self, service: u32, deadline: Time) -> usize {
        let earlier = |lane: &Lane| lane.items.range(..=(deadline, u64::MAX)).count();
        let own = self.lanes.get(&service).map_or(0, earlier);
        let others = self.lanes.iter().filter(|(other, _)| **other != service);
        own + others
            .map(|(_, lane)| lane.items.len().min(own + 1))
            .sum::<usize>()
    }

    /// Adds a request.
    ///
    /// # Panics
    ///
    /// If a request with the same key is queued.
    pub fn push(&mut self, item: Item) {
        let position = (item.deadline, self.arrivals);
        self.arrivals += 1;
        let previous = self.positions.insert(item.key, (item.service, position));
        assert!(previous.is_none(), "keys of queued requests are unique");
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(item.service).or_default();
        if lane.items.is_empty() {
            lane.tag = lane.tag.max(virtual_time);
        }
        lane.items.insert(position, item);
    }

    /// Removes and returns the next request whose deadline has not passed. The others stay in the
    /// queue until `expire` removes them.
    pub fn pop(&mut self, now: Time) -> Option<Item> {
        let (_, _, service, item) = self
            .lanes
            .iter()
            .filter_map(|(service, lane)| {
                let (position, item) = lane.first_unexpired(now)?;
                Some((lane.tag, position, *service, item))
            })
            .min()?;
        let lane = self.lanes.get_mut(&service)?;
        self.virtual_time = lane.tag;
        lane.tag += 1;
        self.remove(item.key)
    }

    /// Removes a request.
    pub fn remove(&mut self, key: u32) -> Option<Item> {
        let (service, position) = self.positions.remove(&key)?;
        let item = self.lanes.get_mut(&service)?.items.remove(&position);
        let virtual_time = self.virtual_time;
        // An empty lane is kept only while its tag is above the virtual time that it would rejoin
        // at.
        self.lanes
            .retain(|_, lane| !lane.items.is_empty() || lane.tag > virtual_time);
        item
    }

    /// Removes the requests whose deadlines are before the time that `limit` returns for their
    /// service, earliest first.
    pub fn expire(&mut self, limit: impl Fn(u32) -> Time) -> Vec<Item> {
        let mut expired: Vec<Item> = Vec::new();
        for (service, lane) in &self.lanes {
            expired.extend(
                lane.items
                    .range(..(limit(*service), 0))
                    .map(|(_, item)| *item),
            );
        }
        expired.sort_by_key(|item| (item.deadline, item.key));
        for item in &expired {
            self.remove(item.key);
        }
        expired
    }

    /// Removes all requests, oldest first.
    pub fn drain(&mut self) -> Vec<Item> {
        let mut all: Vec<(u64, Item)> = Vec::with_capacity(self.len());
        for lane in self.lanes.values() {
            all.extend(
                lane.items
                    .iter()
                    .map(|((_, arrival), item)| (*arrival, *item)),
            );
        }
        all.sort_unstable();
        self.positions.clear();
        self.lanes.clear();
        all.into_iter().map(|(_, item)| item).collect()
    }
}
