//! Caps on what customers use, over all entry VMs.
//!
//! Each entry VM estimates one common bucket for each customer from its own use and from what the others
//! report. While it is full enough, requests are admitted anywhere; below that, each entry VM spends only
//! its share of the refill, which follows the demand. The share of one that falls silent stays reserved.

mod account;

use {
    crate::{
        id::CustomerId,
        unit::{DurationMs, TimeMs, Tokens},
        vec_map::VecMap,
    },
    account::{Account, Terms},
    derive_more::{Display, Error, From, Into},
    serde::{Deserialize, Serialize},
};

/// A gap between events after which a process was suspended, and its estimates are worthless. Some event
/// comes every second.
const SUSPENDED_MS: DurationMs = DurationMs(2_500);
/// How long after a start reports of all others are still awaited.
const STARTING_MS: DurationMs = DurationMs(1_500);
/// Rows in one report.
const MAX_ROWS: usize = 30;
/// How long after the last refusal a customer no longer counts as being refused.
const REFUSING_MS: DurationMs = DurationMs(2_000);

/// What a customer's cap counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageUnit {
    /// Requests.
    Requests,
    /// The tokens of prompts and the most of their answers.
    Tokens {
        /// What a request without token counts costs.
        plain: Tokens,
    },
}

/// A customer's cap over all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCap {
    /// What both amounts are counted in.
    pub unit: UsageUnit,
    /// The permitted use per second.
    pub rate_per_s: u64,
    /// The permitted use in addition to that.
    pub burst: u64,
}

impl UsageCap {
    /// What a request costs, in the cap's unit. `tokens` are those of its prompt and the most of its
    /// answer; `None` if it has no counts.
    #[must_use]
    pub fn cost(&self, tokens: Option<Tokens>) -> u64 {
        match self.unit {
            UsageUnit::Requests => 1,
            UsageUnit::Tokens { plain } => tokens.unwrap_or(plain).0,
        }
    }
}

/// How far the use of all entry VMs together may exceed a cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLimits {
    /// The window over which use is counted.
    pub window_ms: DurationMs,
    /// The permitted excess, in thousandths of what a window permits.
    pub overage_milli: u64,
    /// The permitted excess in addition to that, in the unit of the cap.
    pub slack: u64,
}

/// The entry VMs that share the caps, this one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// All that may spend, silent ones too.
    pub known: usize,
    /// Those that were heard lately.
    pub heard: usize,
}

/// A short id of an entry VM in reports.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct UsageOrigin(pub u32);

/// What an entry VM used and was asked for since an epoch. A later row replaces earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The entry VM.
    pub origin: UsageOrigin,
    /// The customer.
    pub customer: CustomerId,
    /// When the counters began. Another one means that they began again.
    pub epoch: u32,
    /// What was admitted, in the unit of the customer's cap. Wraps around.
    pub used: u64,
    /// What was asked for. Wraps around.
    pub asked: u64,
}

/// A request that a customer's cap is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRequest {
    /// The customer.
    pub customer: CustomerId,
    /// Its cap.
    pub cap: UsageCap,
    /// What the request costs, in the cap's unit.
    pub cost: u64,
    /// The longest time after which the caller comes back.
    pub patience_ms: DurationMs,
}

/// Use that was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The customer.
    pub customer: CustomerId,
    /// The amount, in the unit of the customer's cap.
    pub cost: u64,
    /// Whether this ends a time in which the customer was refused.
    pub ends_refusals: bool,
}

/// The error of a request beyond its customer's cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("beyond the customer's cap, room in {retry_after_ms}")]
pub struct OverCap {
    /// When this entry VM's share has room for the request, after those that were told to come back
    /// before it.
    pub retry_after_ms: DurationMs,
    /// Whether the customer was not being refused before.
    pub begins_refusals: bool,
}

/// The state of a customer's cap at an entry VM, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageState {
    /// The customer.
    pub customer: CustomerId,
    /// The permitted use per second.
    pub rate_per_s: u64,
    /// What is left of the common bucket, as estimated; negative if it was overdrawn.
    pub level: i64,
    /// What this entry VM admitted since its account began.
    pub used: u64,
    /// This entry VM's share of the refill, in thousandths.
    pub share_milli: u64,
    /// Requests that this entry VM refused.
    pub refused: u64,
}

/// The use of all capped customers.
#[derive(Clone, Debug)]
pub struct UsageTable {
    limits: Option<UsageLimits>,
    origin: UsageOrigin,
    caps: VecMap<CustomerId, UsageCap>,
    accounts: VecMap<CustomerId, Account>,
    /// Customers that asked for something here and may have to be reported.
    active: VecMap<CustomerId, ()>,
    fleet: Fleet,
    /// When the process started, or resumed after it was suspended.
    started_at_ms: TimeMs,
    last_event_at_ms: TimeMs,
}

impl UsageTable {
    /// A table whose buckets are empty. Without limits nothing is refused.
    #[must_use]
    pub fn new(limits: Option<UsageLimits>, origin: UsageOrigin, now: TimeMs) -> Self {
        Self {
            limits,
            origin,
            caps: VecMap::default(),
            accounts: VecMap::default(),
            active: VecMap::default(),
            fleet: Fleet { known: 1, heard: 1 },
            started_at_ms: now,
            last_event_at_ms: now,
        }
    }

    /// Puts the caps of a configuration in force. A lower one lowers the level with it.
    pub fn set_caps<C>(&mut self, caps: C, now: TimeMs)
    where
        C: IntoIterator<Item = (CustomerId, UsageCap)>,
    {
        self.caps = caps.into_iter().collect();
        let caps = &self.caps;
        self.accounts
            .retain(|customer, _| caps.get(customer).is_some());
        for (customer, account) in self.accounts.iter_mut() {
            if let Some(cap) = caps.get(customer) {
                account.set_cap(*cap, now);
            }
        }
    }

    /// Takes the cost of a request from its customer's cap.
    ///
    /// # Errors
    ///
    /// When the cap has no room for it here now.
    pub fn charge(
        &mut self,
        request: &UsageRequest,
        fleet: Fleet,
        now: TimeMs,
    ) -> Result<Charge, OverCap> {
        self.record_event(fleet, now);
        let charge = Charge {
            customer: request.customer,
            cost: request.cost,
            ends_refusals: false,
        };
        let Some(terms) = self.terms(now) else {
            return Ok(charge);
        };
        self.active.insert(request.customer, ());
        let account = self.account(request.customer, request.cap, &terms, now);
        account.set_cap(request.cap, now);
        account.ask(request.cost, &terms, now);
        if account.admits(request.cost, &terms) {
            account.spend(request.cost);
            let ends_refusals = account.end_refusals(REFUSING_MS, now);
            return Ok(Charge {
                ends_refusals,
                ..charge
            });
        }
        Err(OverCap {
            retry_after_ms: account.promise(request.cost, request.patience_ms, &terms, now),
            begins_refusals: account.record_refusal(now),
        })
    }

    /// Counts a further attempt of an admitted request, which may run beside the earlier ones.
    pub fn charge_again(&mut self, charge: &Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.customer) {
            account.spend(charge.cost);
        }
    }

    /// Returns the cost of an attempt that certainly hasn't run and won't.
    pub fn refund(&mut self, charge: &Charge) {
        if let Some(account) = self.accounts.get_mut(&charge.customer) {
            account.refund(charge.cost);
        }
    }

    /// The rows that are due to be sent to the other entry VMs.
    pub fn report(&mut self, fleet: Fleet, now: TimeMs) -> Vec<UsageRow> {
        self.record_event(fleet, now);
        let Some(terms) = self.terms(now) else {
            return Vec::new();
        };
        let accounts = &self.accounts;
        self.active.retain(|customer, ()| {
            let account = accounts.get(customer);
            account.is_some_and(|account| account.next_report_ms(&terms, now).is_some())
        });
        let active = self.active.iter();
        let mut due: Vec<(TimeMs, CustomerId)> = active
            .filter_map(|(customer, ())| {
                Some((accounts.get(customer)?.reported_at_ms(), *customer))
            })
            .collect();
        due.sort_unstable();
        let (origin, accounts) = (self.origin, &mut self.accounts);
        due.into_iter()
            .filter_map(|(_, customer)| {
                accounts
                    .get_mut(&customer)?
                    .report(origin, customer, &terms, now)
            })
            .take(MAX_ROWS)
            .collect()
    }

    /// When the next report is due; `None` while no customer asks for much here.
    #[must_use]
    pub fn next_report_ms(&self, now: TimeMs) -> Option<DurationMs> {
        let terms = self.terms(now)?;
        let active = self.active.iter();
        let waits = active.filter_map(|(customer, ())| {
            let account = self.accounts.get(customer)?;
            account.next_report_ms(&terms, now)
        });
        waits.min()
    }

    /// Takes in what other entry VMs report.
    pub fn apply(&mut self, rows: &[UsageRow], now: TimeMs) {
        self.record_event(self.fleet, now);
        let Some(terms) = self.terms(now) else {
            return;
        };
        for row in rows.iter().filter(|row| row.origin != self.origin) {
            if let Some(cap) = self.caps.get(&row.customer).copied() {
                let account = Self::account_in(
                    &mut self.accounts,
                    self.started_at_ms,
                    row.customer,
                    cap,
                    &terms,
                    now,
                );
                account.learn(row, &terms, now);
            }
        }
    }

    /// The time since the process started, or resumed after it was suspended.
    #[must_use]
    pub fn age_ms(&self, now: TimeMs) -> DurationMs {
        now.since(self.started_at_ms)
    }

    /// The customers whose use is known, for operators.
    pub fn states(&self) -> impl Iterator<Item = UsageState> {
        let accounts = self.accounts.iter();
        accounts.map(|(customer, account)| account.state(*customer))
    }

    /// Begins again like a process that starts if this one was suspended.
    fn record_event(&mut self, fleet: Fleet, now: TimeMs) {
        self.fleet = fleet;
        if now.since(self.last_event_at_ms) > SUSPENDED_MS {
            self.started_at_ms = now;
            for (_, account) in self.accounts.iter_mut() {
                account.forget_level(now);
            }
        }
        self.last_event_at_ms = now;
    }

    fn terms(&self, now: TimeMs) -> Option<Terms> {
        let is_starting = now.since(self.started_at_ms) < STARTING_MS;
        Some(Terms::new(self.limits?, self.fleet, is_starting))
    }

    fn account(
        &mut self,
        customer: CustomerId,
        cap: UsageCap,
        terms: &Terms,
        now: TimeMs,
    ) -> &mut Account {
        let started_at_ms = self.started_at_ms;
        Self::account_in(&mut self.accounts, started_at_ms, customer, cap, terms, now)
    }

    fn account_in<'a>(
        accounts: &'a mut VecMap<CustomerId, Account>,
        started_at_ms: TimeMs,
        customer: CustomerId,
        cap: UsageCap,
        terms: &Terms,
        now: TimeMs,
    ) -> &'a mut Account {
        accounts.get_or_insert_with(customer, || Account::new(cap, terms, started_at_ms, now))
    }
}
