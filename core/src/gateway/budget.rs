//! A budget for repeated sends that holds for all entry VMs together without talk between them.

use crate::{unit::TimeMs, vec_map::VecMap};

/// The part of the permitted ratio that is spent, in percent. The rest covers a repeat that falls
/// into the window after the one of its request.
const RATIO_SPENT_PERCENT: u64 = 80;
/// The part of the permitted allowance that one window may spend at once, in percent. As much
/// again flows back over a window, so that nine tenths are spent at the most.
const ALLOWANCE_SPENT_PERCENT: u64 = 45;
/// Thousandths of a send, in which balances are kept.
const MILLI: u64 = 1_000;

/// What a deployment permits in repeats of one service's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats permitted for each request, in thousandths.
    pub ratio_milli: u64,
    /// Repeats permitted beside those, over all entry VMs.
    pub allowance: u64,
    /// The window over which both are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Balance {
    milli_sends: u64,
    refilled_at_ms: TimeMs,
}

/// The budget of one entry VM, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    terms: RetryBudgetLimits,
    balances: VecMap<String, Balance>,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(terms: RetryBudgetLimits) -> Self {
        Self {
            terms,
            balances: VecMap::default(),
        }
    }

    /// Notes a caller's request for a service.
    pub fn deposit(&mut self, service: &str, entry_vms: usize, now: TimeMs) {
        let earned = self.terms.ratio_milli * RATIO_SPENT_PERCENT / 100;
        let most = self.most_milli(entry_vms) + earned;
        let balance = self.refilled(service, entry_vms, now);
        balance.milli_sends = (balance.milli_sends + earned).min(most);
    }

    /// Takes one repeat out, if there is one.
    pub fn withdraw(&mut self, service: &str, entry_vms: usize, now: TimeMs) -> bool {
        let balance = self.refilled(service, entry_vms, now);
        let Some(left) = balance.milli_sends.checked_sub(MILLI) else {
            return false;
        };
        balance.milli_sends = left;
        true
    }

    /// The repeats that are left for each service.
    pub fn remaining(&self) -> impl Iterator<Item = (String, u64)> {
        let balances = self.balances.iter();
        balances.map(|(service, balance)| (service.clone(), balance.milli_sends / MILLI))
    }

    fn most_milli(&self, entry_vms: usize) -> u64 {
        let vms = entry_vms.max(1) as u64;
        self.terms.allowance * MILLI * ALLOWANCE_SPENT_PERCENT / 100 / vms
    }

    fn refilled(&mut self, service: &str, entry_vms: usize, now: TimeMs) -> &mut Balance {
        let most = self.most_milli(entry_vms);
        let window_ms = self.terms.window_ms.max(1);
        let balance = self
            .balances
            .get_or_insert_with(service.to_owned(), || Balance {
                milli_sends: most,
                refilled_at_ms: now,
            });
        let refill = most * now.since(balance.refilled_at_ms).0 / window_ms;
        if refill > 0 {
            balance.refilled_at_ms = now;
            if balance.milli_sends < most {
                balance.milli_sends = (balance.milli_sends + refill).min(most);
            }
        }
        balance
    }
}
