//! What customers asked of a service lately, and what they got.

use crate::{
    decay::DecayingSum,
    unit::{DurationMs, TimeMs, Tokens},
    vec_map::VecMap,
};

/// Time constant over which asked and sent work decays.
pub(super) const TIME_CONSTANT_MS: DurationMs = DurationMs(3_000);
/// How far a customer may exceed its share before it yields, in percent of the share.
const SHARE_TOLERANCE_PERCENT: u64 = 10;
/// A customer or route that is served less than this part as often as all doesn't yield.
pub(super) const FLOOR_DIVISOR: u64 = 2;
const ONE_PERMILLE: u64 = 1_000;

/// Amounts that were asked for, and the part of them that was sent to servers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AskedAndSent {
    asked: DecayingSum,
    sent: DecayingSum,
}

impl AskedAndSent {
    pub(super) fn record_asked(&mut self, amount: u64, now: TimeMs) {
        self.asked.add(amount, now, TIME_CONSTANT_MS);
        // Both sums decay in the same steps.
        self.sent.add(0, now, TIME_CONSTANT_MS);
    }

    pub(super) fn record_sent(&mut self, amount: u64, now: TimeMs) {
        self.sent.add(amount, now, TIME_CONSTANT_MS);
    }

    pub(super) fn asked(&self, now: TimeMs) -> u64 {
        self.asked.value_at(now, TIME_CONSTANT_MS)
    }

    pub(super) fn sent(&self, now: TimeMs) -> u64 {
        self.sent.value_at(now, TIME_CONSTANT_MS)
    }

    /// The part that was sent, in thousandths.
    pub(super) fn sent_permille(&self, now: TimeMs) -> u64 {
        let asked = self.asked(now).max(1);
        (self.sent(now).saturating_mul(ONE_PERMILLE) / asked).min(ONE_PERMILLE)
    }
}

/// The recent work of each customer at one service, in tokens.
#[derive(Debug, Default)]
pub(super) struct CustomerShares {
    rows: VecMap<String, AskedAndSent>,
}

impl CustomerShares {
    /// Records a request of a customer.
    pub(super) fn record_asked(&mut self, customer: &str, work: Tokens, now: TimeMs) {
        self.row(customer).record_asked(work.0, now);
    }

    /// Records that a request of a customer was sent.
    pub(super) fn record_sent(&mut self, customer: &str, work: Tokens, now: TimeMs) {
        self.row(customer).record_sent(work.0, now);
    }

    fn row(&mut self, customer: &str) -> &mut AskedAndSent {
        self.rows
            .get_or_insert_with(customer.to_owned(), AskedAndSent::default)
    }

    /// Removes customers without recent work.
    pub(super) fn remove_idle(&mut self, now: TimeMs) {
        self.rows.retain(|_, row| row.asked(now) > 0);
    }

    /// How many times a customer's requests yield to those of others: once if it asks for more than its
    /// max-min share of what was sent lately while others ask for less than theirs, and once if it got
    /// more. Never if it is served far less often than all.
    pub(super) fn yield_steps(&self, customer: &str, now: TimeMs) -> u32 {
        let Some(row) = self.rows.get(&customer.to_owned()) else {
            return 0;
        };
        let share = self.max_min_share(now);
        let limit = share + share * SHARE_TOLERANCE_PERCENT / 100;
        if row.asked(now) <= limit {
            return 0;
        }
        let total = |amount: fn(&AskedAndSent, TimeMs) -> u64| -> u64 {
            self.rows.iter().map(|row| amount(row.1, now)).sum()
        };
        let all = total(AskedAndSent::sent) * ONE_PERMILLE / total(AskedAndSent::asked).max(1);
        if row.sent_permille(now) < all / FLOOR_DIVISOR {
            return 0;
        }
        let has_smaller = self.rows.iter().any(|row| row.1.asked(now) <= share);
        u32::from(has_smaller) + u32::from(row.sent(now) > limit)
    }

    /// The amount up to which every customer gets what it asks for, if what was sent is divided so that
    /// the least served get as much as possible.
    fn max_min_share(&self, now: TimeMs) -> u64 {
        let mut asked: Vec<u64> = self.rows.iter().map(|row| row.1.asked(now)).collect();
        asked.sort_unstable();
        let mut left: u64 = self.rows.iter().map(|row| row.1.sent(now)).sum();
        let mut customers = asked.len() as u64;
        for amount in asked {
            let equal = left / customers;
            if amount >= equal {
                return equal;
            }
            left -= amount;
            customers -= 1;
        }
        u64::MAX / 2 / SHARE_TOLERANCE_PERCENT
    }
}
