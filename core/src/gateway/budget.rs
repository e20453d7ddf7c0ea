//! A retry budget that limits the retries of all entry VMs together without communication between
//! them.

use crate::{unit::TimeMs, vec_map::VecMap};

/// Percentage of the permitted ratio that is credited for a request. The rest covers retries that
/// fall into the window after the one of their request.
const RATIO_USED_PERCENT: u64 = 80;
/// Percentage of the permitted allowance that a full balance holds. The same amount is refilled
/// over a window, so that a window spends at most nine tenths of the allowance.
const ALLOWANCE_USED_PERCENT: u64 = 45;
/// Balances are held in thousandths of a retry.
const MILLI: u64 = 1_000;

/// The limits on retries of one service's requests over all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// The permitted retries per request, in thousandths.
    pub ratio_milli: u64,
    /// The permitted retries per window in addition to those, over all entry VMs.
    pub allowance: u64,
    /// The length of the window over which requests and retries are counted.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Balance {
    milli_retries: u64,
    refilled_at_ms: TimeMs,
}

/// The retry budget of one entry VM, with a balance for each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    balances: VecMap<String, Balance>,
}

impl RetryBudget {
    /// Creates a budget whose balances start full.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self {
            limits,
            balances: VecMap::default(),
        }
    }

    /// Credits the balance of a service for a caller's request. `entry_vms` is the number of entry
    /// VMs that share the allowance.
    pub fn deposit(&mut self, service: &str, entry_vms: usize, now: TimeMs) {
        let earned = self.limits.ratio_milli * RATIO_USED_PERCENT / 100;
        let max = self.max_refilled_milli(entry_vms) + earned;
        let balance = self.refilled(service, entry_vms, now);
        balance.milli_retries = (balance.milli_retries + earned).min(max);
    }

    /// Takes one retry from the balance of a service. Returns whether one was available.
    pub fn withdraw(&mut self, service: &str, entry_vms: usize, now: TimeMs) -> bool {
        let balance = self.refilled(service, entry_vms, now);
        let Some(remaining) = balance.milli_retries.checked_sub(MILLI) else {
            return false;
        };
        balance.milli_retries = remaining;
        true
    }

    /// The remaining retries of each service.
    pub fn remaining(&self) -> impl Iterator<Item = (String, u64)> {
        let balances = self.balances.iter();
        balances.map(|(service, balance)| (service.clone(), balance.milli_retries / MILLI))
    }

    /// The balance up to which this entry VM's share of the allowance refills, in thousandths.
    fn max_refilled_milli(&self, entry_vms: usize) -> u64 {
        let vms = entry_vms.max(1) as u64;
        self.limits.allowance * MILLI * ALLOWANCE_USED_PERCENT / 100 / vms
    }

    /// The balance of a service after the refill for the time since the last one.
    fn refilled(&mut self, service: &str, entry_vms: usize, now: TimeMs) -> &mut Balance {
        let max = self.max_refilled_milli(entry_vms);
        let window_ms = self.limits.window_ms.max(1);
        let balance = self
            .balances
            .get_or_insert_with(service.to_owned(), || Balance {
                milli_retries: max,
                refilled_at_ms: now,
            });
        let refill = max * now.since(balance.refilled_at_ms).0 / window_ms;
        if refill > 0 {
            balance.refilled_at_ms = now;
            if balance.milli_retries < max {
                balance.milli_retries = (balance.milli_retries + refill).min(max);
            }
        }
        balance
    }
}
