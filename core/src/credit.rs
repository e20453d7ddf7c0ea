//! What may be spent here of customers' grants: allotments drawn from the ledger for some seconds
//! ahead.

use crate::{
    decay::DecayingSum,
    declaration::CreditGrant,
    id::{AttemptId, CustomerId, Generation},
    record::{LedgerRecord, Row, RowVersion},
    unit::{DurationMs, MicroCredits, TimeMs, Tokens},
    vec_map::VecMap,
};

/// The time ahead for which credits are drawn, and over which spending is measured.
pub const AHEAD_MS: DurationMs = DurationMs(10_000);
/// The part of a grant that an entry VM may spend before it has read the ledger, all entry VMs
/// together.
const UNREAD_PART: u64 = 64;
/// The part of what is left that an entry VM may draw or spend on trust, times all entry VMs.
const LEFT_PART: u64 = 2;

/// What a number of computed tokens costs, rounded up.
#[must_use]
pub const fn cost(tokens: Tokens, price: MicroCredits) -> MicroCredits {
    const PRICED_TOKENS: u64 = 1_000;
    MicroCredits(tokens.0.saturating_mul(price.0).div_ceil(PRICED_TOKENS))
}

/// A part of a charge, taken from one grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The grant's name.
    pub grant: String,
    /// How much.
    pub amount: MicroCredits,
}

/// A draw that is not settled yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw {
    /// Its id, which the ledger's row keeps.
    pub id: AttemptId,
    /// How much it draws; none while the row is being read.
    pub amount: Option<MicroCredits>,
    /// How much was wanted ahead.
    pub wanted: MicroCredits,
    /// What the latest request may cost: it is drawn even if little is left.
    pub latest: MicroCredits,
    /// Whether an earlier try may have taken effect.
    pub is_uncertain: bool,
}

/// What the ledger's row showed when it was last seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// The row's version, if there is a row.
    pub version: Option<RowVersion>,
    /// What all entry VMs together have drawn.
    pub drawn: MicroCredits,
}

impl Ledger {
    /// What a row shows.
    #[must_use]
    pub fn of(row: Option<&Row>, record: Option<&LedgerRecord>) -> Self {
        Self {
            version: row.map(|row| row.version),
            drawn: record
                .map(|record| record.drawn_microcredits)
                .unwrap_or_default(),
        }
    }
}

/// What may be spent here of one grant.
#[derive(Clone, Debug)]
pub struct Allotment {
    /// The grant.
    pub grant: CreditGrant,
    /// The ledger's row, once it was seen.
    pub ledger: Option<Ledger>,
    /// When it was seen last.
    pub seen_at_ms: TimeMs,
    /// Whether the last call about it was not answered.
    pub is_unanswered: bool,
    /// The draw in progress.
    pub draw: Option<Draw>,
    drawn: MicroCredits,
    spent: MicroCredits,
}

impl Allotment {
    const fn open(grant: CreditGrant) -> Self {
        Self {
            grant,
            ledger: None,
            seen_at_ms: TimeMs(0),
            is_unanswered: false,
            draw: None,
            drawn: MicroCredits(0),
            spent: MicroCredits(0),
        }
    }

    /// Whether it must not be spent any more.
    #[must_use]
    pub fn is_lapsed(&self, now: TimeMs) -> bool {
        now >= self.grant.lapses_at_ms
    }

    /// What was drawn and not spent.
    #[must_use]
    pub fn available(&self) -> MicroCredits {
        self.drawn.saturating_sub(self.spent)
    }

    /// What was spent and not drawn.
    #[must_use]
    pub fn owed(&self) -> MicroCredits {
        self.spent.saturating_sub(self.drawn)
    }

    /// What is left in the ledger, as it was last seen.
    #[must_use]
    pub fn left(&self) -> Option<MicroCredits> {
        let ledger = self.ledger?;
        Some(self.grant.amount_microcredits.saturating_sub(ledger.drawn))
    }

    /// What one of `entries` entry VMs may draw at once.
    #[must_use]
    pub fn part(&self, entries: u64) -> MicroCredits {
        let left = self.left().unwrap_or_default();
        MicroCredits(left.0.div_ceil(LEFT_PART * entries))
    }

    /// What one of `entries` entry VMs may owe: little while the row was not seen lately, unless
    /// the ledger can't be asked.
    #[must_use]
    pub fn trust(&self, entries: u64, now: TimeMs) -> MicroCredits {
        let unread = MicroCredits(self.grant.amount_microcredits.0 / (UNREAD_PART * entries));
        let is_fresh = now.since(self.seen_at_ms) <= AHEAD_MS;
        match self.ledger {
            None => unread,
            Some(_) if is_fresh || self.is_unanswered => self.part(entries),
            Some(_) => self.part(entries).min(unread),
        }
    }

    /// How much a draw takes: what is owed, and of the wanted as much as leaves some for other
    /// entry VMs, but at least the latest request's.
    #[must_use]
    pub fn amount_of(&self, draw: &Draw, entries: u64) -> MicroCredits {
        let left = self.left().unwrap_or_default();
        let ahead = draw.wanted.min(self.part(entries));
        self.owed() + ahead.max(draw.latest).min(left)
    }

    /// What may be spent now: what was drawn, and as much on trust as one entry VM may owe.
    #[must_use]
    pub fn spendable(&self, entries: u64, now: TimeMs) -> MicroCredits {
        if self.is_lapsed(now) {
            return MicroCredits(0);
        }
        (self.drawn + self.trust(entries, now)).saturating_sub(self.spent)
    }

    /// Spends.
    pub fn spend(&mut self, amount: MicroCredits) {
        self.spent += amount;
    }

    /// Takes back what was charged and not used.
    pub fn refund(&mut self, amount: MicroCredits) {
        self.spent = self.spent.saturating_sub(amount);
    }

    /// Takes in that a draw took effect.
    pub fn receive(&mut self, amount: MicroCredits) {
        self.drawn += amount;
    }
}

/// A customer's allotments, the one that lapses first first.
#[derive(Clone, Debug, Default)]
pub struct Wallet {
    generation: Generation,
    /// The allotments.
    pub allotments: Vec<Allotment>,
    spending: DecayingSum,
}

impl Wallet {
    /// Takes the declared grants in; what is known of them stays.
    pub fn declare(&mut self, generation: Generation, grants: &[CreditGrant]) {
        if self.generation == generation {
            return;
        }
        self.generation = generation;
        let mut known = std::mem::take(&mut self.allotments);
        for grant in grants {
            let at = known.iter().position(|one| one.grant.name == grant.name);
            let mut allotment = match at {
                Some(at) => known.swap_remove(at),
                None => Allotment::open(grant.clone()),
            };
            allotment.grant = grant.clone();
            self.allotments.push(allotment);
        }
        self.allotments
            .sort_by_key(|allotment| allotment.grant.lapses_at_ms);
    }

    /// What may be spent now.
    #[must_use]
    pub fn spendable(&self, entries: u64, now: TimeMs) -> MicroCredits {
        let allotments = self.allotments.iter();
        allotments
            .map(|allotment| allotment.spendable(entries, now))
            .sum()
    }

    /// Spends from the grants that lapse first; what they don't have isn't charged.
    pub fn spend(&mut self, amount: MicroCredits, entries: u64, now: TimeMs) -> Vec<Charge> {
        self.spending.add(amount.0, now, AHEAD_MS);
        let mut rest = amount;
        let mut charges = Vec::new();
        for allotment in &mut self.allotments {
            let part = allotment.spendable(entries, now).min(rest);
            if part.0 == 0 {
                continue;
            }
            rest = rest.saturating_sub(part);
            allotment.spend(part);
            charges.push(Charge {
                grant: allotment.grant.name.clone(),
                amount: part,
            });
        }
        charges
    }

    /// Takes `unused` back, from the grants that lapse last.
    pub fn refund(&mut self, charges: &[Charge], mut unused: MicroCredits) {
        for charge in charges.iter().rev() {
            let part = charge.amount.min(unused);
            unused = unused.saturating_sub(part);
            if let Some(allotment) = self.allotment_mut(&charge.grant) {
                allotment.refund(part);
            }
        }
    }

    /// The allotment of a grant.
    pub fn allotment_mut(&mut self, grant: &str) -> Option<&mut Allotment> {
        let mut allotments = self.allotments.iter_mut();
        allotments.find(|allotment| allotment.grant.name == grant)
    }

    /// What was spent lately, about that of [`AHEAD_MS`].
    #[must_use]
    pub fn recent(&self, now: TimeMs) -> MicroCredits {
        MicroCredits(self.spending.value_at(now, AHEAD_MS))
    }
}

/// The wallets of the customers that have sent requests.
#[derive(Debug, Default)]
pub struct Credits {
    /// The wallets.
    pub wallets: VecMap<CustomerId, Wallet>,
    /// The draws in progress, with their customer and grant.
    pub draws: VecMap<AttemptId, (CustomerId, String)>,
    /// When a customer's draws are tried again.
    pub retries: VecMap<CustomerId, TimeMs>,
}
