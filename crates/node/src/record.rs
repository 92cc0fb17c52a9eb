//! Records of accepted requests, for the detection of duplicates.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::prelude::*;
use wire::coap::Answer;
use wire::frame::Record;
use wire::frame::RecordKey;

use crate::effect::Run;
use crate::setting::EXCHANGE_LIFETIME;

/// State of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Queued or running here.
    Local(Run),
    /// Running at a former owner.
    Remote(Incarnation),
    /// Ended; duplicates get the same answer.
    Done(Answer),
}

/// The record of one request.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Hash of the request's content. A duplicate has the same; another request that reuses the
    /// key does not.
    pub(crate) digest: u64,
    /// Hash of the parts that all messages of a block-wise exchange have in common.
    pub(crate) operation: u64,
    /// When the request was accepted.
    pub(crate) since: Time,
    pub(crate) is_idempotent: bool,
    pub(crate) state: State,
}

/// The records of one backend server's requests.
///
/// Only ended idempotent requests are evicted to make room. Records of non-idempotent requests are
/// kept for the exchange lifetime, since a later duplicate could run the request again.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    entries: BTreeMap<RecordKey, Entry>,
    /// Newest request of each block-wise exchange, by flow and operation.
    exchanges: BTreeMap<(u64, u64), RecordKey>,
    /// Non-idempotent requests, oldest first.
    non_idempotent_order: VecDeque<(Time, RecordKey)>,
    /// Idempotent requests, oldest first.
    idempotent_order: VecDeque<(Time, RecordKey)>,
    max_entries: usize,
    answer_lifetime: Span,
}

impl Table {
    pub(crate) fn new(max_entries: usize, answer_lifetime: Span) -> Table {
        Table {
            entries: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            non_idempotent_order: VecDeque::new(),
            idempotent_order: VecDeque::new(),
            max_entries,
            answer_lifetime,
        }
    }

    pub(crate) fn get(&self, key: RecordKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the state of the newest request of a block-wise exchange.
    pub(crate) fn exchange_state(&self, nonce: u64, operation: u64) -> Option<&State> {
        let key = self.exchanges.get(&(nonce, operation))?;
        self.entries.get(key).map(|entry| &entry.state)
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// `TableFull` if the table holds only records that must not be evicted.
    pub(crate) fn add(&mut self, key: RecordKey, entry: Entry) -> Result<(), Code> {
        debug_assert!(
            !self.entries.contains_key(&key),
            "a request is recorded once"
        );
        while self.entries.len() >= self.max_entries {
            self.evict_idempotent()?;
        }
        let order = if entry.is_idempotent {
            &mut self.idempotent_order
        } else {
            &mut self.non_idempotent_order
        };
        order.push_back((entry.since, key));
        self.exchanges.insert((key.nonce, entry.operation), key);
        self.entries.insert(key, entry);
        Ok(())
    }

    /// Adds a record that another balancer handed over: the limit holds for new requests only.
    pub(crate) fn import(&mut self, key: RecordKey, entry: Entry) {
        let max_entries = std::mem::replace(&mut self.max_entries, usize::MAX);
        let added = self.add(key, entry);
        debug_assert!(
            added.is_ok(),
            "a table without a limit accepts every record"
        );
        self.max_entries = max_entries;
    }

    /// Evicts an idempotent request that has ended.
    fn evict_idempotent(&mut self) -> Result<(), Code> {
        let found = self
            .idempotent_order
            .iter()
            .position(|(_, key)| self.is_done(*key))
            .ok_or(Code::TableFull)?;
        if let Some((_, key)) = self.idempotent_order.remove(found) {
            self.remove(key);
        }
        Ok(())
    }

    fn is_done(&self, key: RecordKey) -> bool {
        self.entries
            .get(&key)
            .is_none_or(|entry| matches!(entry.state, State::Done(_)))
    }

    pub(crate) fn set_state(&mut self, key: RecordKey, state: State) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = state;
        }
    }

    pub(crate) fn remove(&mut self, key: RecordKey) {
        if let Some(entry) = self.entries.remove(&key) {
            let exchange = (key.nonce, entry.operation);
            if self.exchanges.get(&exchange) == Some(&key) {
                self.exchanges.remove(&exchange);
            }
        }
    }

    /// Removes the records of requests whose duplicates can no longer arrive.
    pub(crate) fn expire(&mut self, now: Time) {
        self.expire_order(now, true);
        self.expire_order(now, false);
    }

    fn expire_order(&mut self, now: Time, is_idempotent: bool) {
        loop {
            let (order, lifetime) = if is_idempotent {
                (&mut self.idempotent_order, self.answer_lifetime)
            } else {
                (&mut self.non_idempotent_order, EXCHANGE_LIFETIME)
            };
            let Some((since, key)) = order.front().copied() else {
                return;
            };
            if now.since(since) < lifetime {
                return;
            }
            order.pop_front();
            if self.is_done(key) {
                self.remove(key);
            } else {
                // Still running: checked again one lifetime later.
                let order = if is_idempotent {
                    &mut self.idempotent_order
                } else {
                    &mut self.non_idempotent_order
                };
                order.push_back((now, key));
            }
        }
    }

    /// Shifts the start of all records by a pause of the process, which does not count towards
    /// their lifetime.
    pub(crate) fn shift_ages(&mut self, gap: Span) {
        let times = self
            .non_idempotent_order
            .iter_mut()
            .chain(&mut self.idempotent_order);
        times.for_each(|(since, _)| *since += gap);
    }

    /// Returns the requests that run at former owners, with the balancer that runs each.
    pub(crate) fn running_remotely(&self) -> impl Iterator<Item = (RecordKey, Incarnation)> + '_ {
        self.entries
            .iter()
            .filter_map(|(key, entry)| match entry.state {
                State::Remote(owner) => Some((*key, owner)),
                State::Local(_) | State::Done(_) => None,
            })
    }

    /// Returns the records that the next owner needs: all but ended idempotent requests.
    pub(crate) fn export(&self, me: Incarnation) -> Vec<Record> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.is_idempotent || !matches!(entry.state, State::Done(_)))
            .map(|(key, entry)| entry.to_record(*key, me))
            .collect()
    }
}

impl Entry {
    pub(crate) fn to_record(&self, key: RecordKey, me: Incarnation) -> Record {
        Record {
            key,
            accepted_by: match self.state {
                State::Remote(at) => at,
                State::Local(_) | State::Done(_) => me,
            },
            digest: self.digest,
            accepted_at: self.since,
            is_idempotent: self.is_idempotent,
            operation: self.operation,
            answer: match &self.state {
                State::Done(answer) => Some(answer.clone()),
                State::Local(_) | State::Remote(_) => None,
            },
        }
    }

    /// Creates an entry from a record that was handed over.
    pub(crate) fn from_record(record: &Record) -> Entry {
        Entry {
            digest: record.digest,
            operation: record.operation,
            since: record.accepted_at,
            is_idempotent: record.is_idempotent,
            state: match &record.answer {
                Some(answer) => State::Done(answer.clone()),
                None => State::Remote(record.accepted_by),
            },
        }
    }
}
