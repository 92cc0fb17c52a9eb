//! Requests queued or running.

use std::fmt;

use base::prelude::*;
use conf::key;
use cranelift_entity::PrimaryMap;
use wire::coap::Request;
use wire::frame::RecordKey;
use wire::frame::Relay;

use crate::effect::Run;

/// Phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting in the queue of the backend server.
    Queued,
    /// Running at the backend server.
    Running,
    /// Running at the backend server, with its cancellation requested.
    Cancelled,
}

/// One request at its owner.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) server: key::Server,
    pub(crate) service: key::Service,
    pub(crate) key: RecordKey,
    /// The newest datagram of the request, whose sender gets the answer.
    pub(crate) relay: Relay,
    pub(crate) request: Request,
    pub(crate) deadline: Time,
    /// Number of attempts that were started.
    pub(crate) attempts: u8,
    pub(crate) phase: Phase,
}

/// All jobs, by run. The identifiers of ended runs are reused.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arena {
    jobs: PrimaryMap<Run, Option<Job>>,
    free: Vec<Run>,
}

impl Arena {
    pub(crate) fn add(&mut self, job: Job) -> Run {
        match self.free.pop() {
            Some(run) => {
                self.jobs[run] = Some(job);
                run
            }
            None => self.jobs.push(Some(job)),
        }
    }

    pub(crate) fn get_mut(&mut self, run: Run) -> Option<&mut Job> {
        self.jobs.get_mut(run)?.as_mut()
    }

    /// Removes a job. A run at a backend server must have ended, or its reply would be matched to
    /// another job.
    pub(crate) fn remove(&mut self, run: Run) -> Option<Job> {
        let job = self.jobs.get_mut(run)?.take()?;
        self.free.push(run);
        Some(job)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Run, &Job)> {
        self.jobs
            .iter()
            .filter_map(|(run, job)| Some((run, job.as_ref()?)))
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let method: &str = self.request.method.into();
        write!(
            f,
            "{:?} {} flow{:014x} message {} {method} until {} try {}",
            self.phase,
            self.server,
            self.key.nonce,
            self.key.message_id,
            self.deadline,
            self.attempts
        )
    }
}
