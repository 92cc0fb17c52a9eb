//! Retry budgets: a balancer may retry a share of its recent successes.
//!
//! While nothing succeeds, a budget runs out, so that retries add little to the load of an outage.
//! There is a budget for the whole balancer and one for each service, and a
//! retry is charged to both: a service that fails cannot spend what the successes of others add.

use std::collections::BTreeMap;
use std::fmt;

/// Cost of one retry.
const RETRY_COST: u32 = 100;

/// Credit for one success: ten successes pay for one retry.
const SUCCESS_CREDIT: u32 = 10;

/// Initial balance of a budget.
const INITIAL_BALANCE: u32 = 3 * RETRY_COST;

/// Upper bound of the balance.
const MAX_BALANCE: u32 = 10 * RETRY_COST;

/// A retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    balance: u32,
}

impl Budget {
    /// Creates a budget that allows a few retries before the first success.
    pub const fn new() -> Budget {
        Budget {
            balance: INITIAL_BALANCE,
        }
    }

    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + SUCCESS_CREDIT).min(MAX_BALANCE);
    }

    /// Charges a retry to the budget. Returns false, and charges nothing, if the balance is too
    /// low.
    pub fn try_spend(&mut self) -> bool {
        let left = self.balance.checked_sub(RETRY_COST);
        self.balance = left.unwrap_or(self.balance);
        left.is_some()
    }
}

/// The retry budgets of a balancer and of each of its services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budgets {
    balancer: Budget,
    /// Budgets by the uid of the service.
    services: BTreeMap<u32, Budget>,
}

impl Budgets {
    /// Creates budgets that each allow a few retries before the first success.
    pub fn new() -> Budgets {
        Budgets::default()
    }

    /// Records a successful request of a service.
    pub fn record_success(&mut self, service: u32) {
        self.balancer.record_success();
        self.services.entry(service).or_default().record_success();
    }

    /// Charges a retry to the budgets of the service and of the balancer. Returns false, and
    /// charges nothing, if either balance is too low.
    pub fn try_spend(&mut self, service: u32) -> bool {
        let own = self.services.entry(service).or_default();
        let allowed = own.balance >= RETRY_COST && self.balancer.balance >= RETRY_COST;
        allowed && own.try_spend() && self.balancer.try_spend()
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}

impl fmt::Display for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} retries left", self.balance / RETRY_COST)
    }
}
