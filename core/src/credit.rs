//! Local allotments of customers' credit grants. An entry VM draws credits from the ledger for some
//! seconds ahead and spends them without further calls.

use crate::{
    decay::DecayingSum,
    declaration::CreditGrant,
    id::{AttemptId, CustomerId, Generation},
    record::{LedgerRecord, Row, RowVersion},
    unit::{DurationMs, MicroCredits, TimeMs, Tokens},
    vec_map::VecMap,
};

/// Time ahead for which credits are drawn, and over which spending is measured.
pub const DRAW_AHEAD_MS: DurationMs = DurationMs(10_000);
/// All entry VMs together may spend this fraction (one part in 64) of a grant before they have read
/// the ledger.
const UNREAD_DIVISOR: u64 = 64;
/// All entry VMs together may draw or overdraw this fraction (one half) of the remaining credits at
/// once.
const REMAINING_DIVISOR: u64 = 2;

/// Returns the cost of computed tokens at a price per thousand tokens, rounded up.
#[must_use]
pub const fn cost(tokens: Tokens, price: MicroCredits) -> MicroCredits {
    const PRICED_TOKENS: u64 = 1_000;
    MicroCredits(tokens.0.saturating_mul(price.0).div_ceil(PRICED_TOKENS))
}

/// The part of a request's charge that one grant pays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The grant's name.
    pub grant: String,
    /// Amount charged to the grant.
    pub amount: MicroCredits,
}

/// A withdrawal from a grant's ledger that is not settled yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw {
    /// Id of the draw, stored in the ledger's row to detect that it took effect.
    pub id: AttemptId,
    /// Amount to draw; `None` while the row is being read.
    pub amount: Option<MicroCredits>,
    /// Amount wanted for the time ahead.
    pub wanted: MicroCredits,
    /// The most that the latest request may cost, which is drawn even if little remains.
    pub latest_cost: MicroCredits,
    /// Whether an earlier attempt at this draw may have taken effect.
    pub is_uncertain: bool,
}

/// The last known state of a grant's row in the ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Version of the row; `None` if it does not exist.
    pub version: Option<RowVersion>,
    /// Amount that all entry VMs together have drawn.
    pub drawn: MicroCredits,
}

impl Ledger {
    /// Reads the state from a row and its record.
    #[must_use]
    pub fn from_row(row: Option<&Row>, record: Option<&LedgerRecord>) -> Self {
        Self {
            version: row.map(|row| row.version),
            drawn: record
                .map(|record| record.drawn_microcredits)
                .unwrap_or_default(),
        }
    }
}

/// The part of one grant that this entry VM may spend.
#[derive(Clone, Debug)]
pub struct Allotment {
    /// The declared grant.
    pub grant: CreditGrant,
    /// The ledger's row; `None` before the first answer about it.
    pub ledger: Option<Ledger>,
    /// When the table service last answered about the row.
    pub ledger_seen_at_ms: TimeMs,
    /// Whether the last call about the row got no answer.
    pub is_unanswered: bool,
    /// The draw in progress.
    pub draw: Option<Draw>,
    drawn: MicroCredits,
    spent: MicroCredits,
}

impl Allotment {
    const fn new(grant: CreditGrant) -> Self {
        Self {
            grant,
            ledger: None,
            ledger_seen_at_ms: TimeMs(0),
            is_unanswered: false,
            draw: None,
            drawn: MicroCredits(0),
            spent: MicroCredits(0),
        }
    }

    /// Whether the grant has lapsed and must not be spent.
    #[must_use]
    pub fn is_lapsed(&self, now: TimeMs) -> bool {
        now >= self.grant.lapses_at_ms
    }

    /// Amount drawn but not spent.
    #[must_use]
    pub fn unspent(&self) -> MicroCredits {
        self.drawn.saturating_sub(self.spent)
    }

    /// Amount spent but not drawn yet.
    #[must_use]
    pub fn owed(&self) -> MicroCredits {
        self.spent.saturating_sub(self.drawn)
    }

    /// Amount remaining in the ledger by its last known state; `None` before the first read.
    #[must_use]
    pub fn remaining(&self) -> Option<MicroCredits> {
        let ledger = self.ledger?;
        Some(self.grant.amount_microcredits.saturating_sub(ledger.drawn))
    }

    /// The most that each of `entry_vms` entry VMs may draw at once.
    #[must_use]
    pub fn draw_limit(&self, entry_vms: u64) -> MicroCredits {
        let remaining = self.remaining().unwrap_or_default();
        MicroCredits(remaining.0.div_ceil(REMAINING_DIVISOR * entry_vms))
    }

    /// The most that each of `entry_vms` entry VMs may owe. It is small if the row was not seen
    /// lately, unless the table service does not answer.
    #[must_use]
    pub fn overdraft_limit(&self, entry_vms: u64, now: TimeMs) -> MicroCredits {
        let unread = MicroCredits(self.grant.amount_microcredits.0 / (UNREAD_DIVISOR * entry_vms));
        let is_fresh = now.since(self.ledger_seen_at_ms) <= DRAW_AHEAD_MS;
        match self.ledger {
            None => unread,
            Some(_) if is_fresh || self.is_unanswered => self.draw_limit(entry_vms),
            Some(_) => self.draw_limit(entry_vms).min(unread),
        }
    }

    /// Returns the amount of a draw: what is owed, plus the wanted amount up to the draw limit,
    /// which leaves credits for other entry VMs, but at least the cost of the latest request.
    #[must_use]
    pub fn draw_amount(&self, draw: &Draw, entry_vms: u64) -> MicroCredits {
        let remaining = self.remaining().unwrap_or_default();
        let ahead = draw.wanted.min(self.draw_limit(entry_vms));
        self.owed() + ahead.max(draw.latest_cost).min(remaining)
    }

    /// Amount that may be spent now: the unspent credits plus the overdraft limit.
    #[must_use]
    pub fn spendable(&self, entry_vms: u64, now: TimeMs) -> MicroCredits {
        if self.is_lapsed(now) {
            return MicroCredits(0);
        }
        (self.drawn + self.overdraft_limit(entry_vms, now)).saturating_sub(self.spent)
    }

    /// Spends an amount, which may exceed what was drawn.
    pub fn spend(&mut self, amount: MicroCredits) {
        self.spent += amount;
    }

    /// Returns an unused part of a charge.
    pub fn refund(&mut self, amount: MicroCredits) {
        self.spent = self.spent.saturating_sub(amount);
    }

    /// Adds the amount of a draw that took effect.
    pub fn add_drawn(&mut self, amount: MicroCredits) {
        self.drawn += amount;
    }
}

/// The allotments of one customer.
#[derive(Clone, Debug, Default)]
pub struct Wallet {
    generation: Generation,
    /// Allotments in the order in which their grants lapse.
    pub allotments: Vec<Allotment>,
    spending: DecayingSum,
}

impl Wallet {
    /// Applies the declared grants of a configuration. Known grants keep their state.
    pub fn set_grants(&mut self, generation: Generation, grants: &[CreditGrant]) {
        if self.generation == generation {
            return;
        }
        self.generation = generation;
        let mut known = std::mem::take(&mut self.allotments);
        for grant in grants {
            let index = known
                .iter()
                .position(|allotment| allotment.grant.name == grant.name);
            let mut allotment = match index {
                Some(index) => known.swap_remove(index),
                None => Allotment::new(grant.clone()),
            };
            allotment.grant = grant.clone();
            self.allotments.push(allotment);
        }
        self.allotments
            .sort_by_key(|allotment| allotment.grant.lapses_at_ms);
    }

    /// Amount that may be spent now from all grants.
    #[must_use]
    pub fn spendable(&self, entry_vms: u64, now: TimeMs) -> MicroCredits {
        let allotments = self.allotments.iter();
        allotments
            .map(|allotment| allotment.spendable(entry_vms, now))
            .sum()
    }

    /// Spends from the grants that lapse first. What exceeds the spendable amount is not charged.
    pub fn spend(&mut self, amount: MicroCredits, entry_vms: u64, now: TimeMs) -> Vec<Charge> {
        self.spending.add(amount.0, now, DRAW_AHEAD_MS);
        let mut remaining = amount;
        let mut charges = Vec::new();
        for allotment in &mut self.allotments {
            let covered = allotment.spendable(entry_vms, now).min(remaining);
            if covered.0 == 0 {
                continue;
            }
            remaining = remaining.saturating_sub(covered);
            allotment.spend(covered);
            charges.push(Charge {
                grant: allotment.grant.name.clone(),
                amount: covered,
            });
        }
        charges
    }

    /// Refunds `unused`, to the grants that lapse last first.
    pub fn refund(&mut self, charges: &[Charge], mut unused: MicroCredits) {
        for charge in charges.iter().rev() {
            let refunded = charge.amount.min(unused);
            unused = unused.saturating_sub(refunded);
            if let Some(allotment) = self.allotment_mut(&charge.grant) {
                allotment.refund(refunded);
            }
        }
    }

    /// Returns the allotment of a grant by name.
    pub fn allotment_mut(&mut self, grant: &str) -> Option<&mut Allotment> {
        let mut allotments = self.allotments.iter_mut();
        allotments.find(|allotment| allotment.grant.name == grant)
    }

    /// Amount spent over about the last [`DRAW_AHEAD_MS`].
    #[must_use]
    pub fn recent_spending(&self, now: TimeMs) -> MicroCredits {
        MicroCredits(self.spending.value_at(now, DRAW_AHEAD_MS))
    }
}

/// The wallets of customers that have sent requests, and the draws in progress.
#[derive(Debug, Default)]
pub struct Credits {
    /// Wallets by customer.
    pub wallets: VecMap<CustomerId, Wallet>,
    /// Customer and grant of each draw in progress.
    pub draws: VecMap<AttemptId, (CustomerId, String)>,
    /// When a customer's unanswered draws are retried.
    pub retries: VecMap<CustomerId, TimeMs>,
}
