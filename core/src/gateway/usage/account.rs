//! The use of one customer, as one entry VM knows it.

use {
    super::{Fleet, UsageCap, UsageLimits, UsageOrigin, UsageRow, UsageState},
    crate::{
        id::CustomerId,
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
};

/// The part of the overage that is added to the cap, for what shares lose.
const OVERAGE_USED: f64 = 0.25;
/// The part of the permitted excess that may be admitted without regard to shares. Both sides of a
/// network partition may spend it.
const EXCESS_UNSHARED: f64 = 0.2;
/// The part of the permitted excess by which the estimate may be overdrawn.
const EXCESS_OVERDRAWN: f64 = 0.5;
/// The part of a full bucket below which a customer counts as close to its cap.
const LOW_LEVEL: f64 = 0.75;
/// The part below which it is reported as often.
const LOW_REPORT_LEVEL: f64 = 0.9;
/// How fast the level is steered back to zero, in seconds.
const STEERING_S: f64 = 1.0;
/// The most by which the refill of stocks is scaled.
const MAX_STEERING: f64 = 2.0;
/// The time over which demand is averaged, in seconds.
const DEMAND_S: f64 = 1.0;
/// The unused refill that a stock keeps, in seconds.
const STOCK_S: f64 = 0.3;
/// How long after a refusal the stock grows to what the request needed.
const WANTED_MS: DurationMs = DurationMs(2_000);
/// The part of an equal share below which an entry VM's demand needs no report.
const MIN_REPORTED: f64 = 1.0 / 16.0;
/// The time in which reserved shares come halfway to equal ones, in seconds.
const EQUALIZING_S: f64 = 2.0;
/// The time between two reports of a customer that is close to its cap.
const LOW_REPORT_MS: DurationMs = DurationMs(60);
/// The same for other customers.
const HIGH_REPORT_MS: DurationMs = DurationMs(500);
/// The silence after which a share is reserved, for a customer that is close to its cap.
const LOW_SILENCE_MS: DurationMs = DurationMs(300);
/// The same for other customers.
const HIGH_SILENCE_MS: DurationMs = DurationMs(1_500);
/// How late the report of an entry VM may be, for such a customer, before its share is reserved.
const LATE_MS: DurationMs = DurationMs(150);
/// The demand from which on a silent entry VM's share is reserved, in that which needs a report. One that
/// stopped to report has less.
const MIN_RESERVED: f64 = 4.0;
/// How much rarer reports are where notices are merged.
const LARGE_FLEET_FACTOR: u64 = 2;
/// How much later reports arrive there.
const DIGEST_MS: DurationMs = DurationMs(100);
/// Entry VMs from which on notices are merged.
const LARGE_FLEET: usize = 97;
/// How long the share of a silent entry VM stays reserved.
const FORGET_AFTER_MS: DurationMs = DurationMs(60_000);
/// The time between two computations of the shares.
const SHARES_MS: DurationMs = DurationMs(20);
/// The longest time that a caller is told to wait.
const MAX_WAIT_S: f64 = 8.0;

#[expect(
    clippy::cast_precision_loss,
    reason = "amounts and times are far below the precision"
)]
const fn real(value: u64) -> f64 {
    value as f64
}

fn seconds(duration: DurationMs) -> f64 {
    real(duration.0) / 1_000.0
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "waits are positive and bounded"
)]
fn milliseconds(seconds: f64) -> DurationMs {
    DurationMs((seconds.clamp(0.0, MAX_WAIT_S) * 1_000.0).ceil() as u64)
}

fn count(value: usize) -> f64 {
    real(value as u64)
}

/// What all accounts of an entry VM have in common at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    limits: UsageLimits,
    known: f64,
    missing: f64,
    pace: u64,
    /// Whether the reports of others are still awaited after a start.
    is_starting: bool,
}

impl Terms {
    pub(super) fn new(limits: UsageLimits, fleet: Fleet, is_starting: bool) -> Self {
        let known = fleet.known.max(1);
        Self {
            limits,
            known: count(known),
            missing: count(known.saturating_sub(fleet.heard.max(1))),
            pace: if known >= LARGE_FLEET {
                LARGE_FLEET_FACTOR
            } else {
                1
            },
            is_starting,
        }
    }

    fn overage(&self) -> f64 {
        real(self.limits.overage_milli) / 1_000.0
    }

    /// The factor by which a cap is raised.
    fn raise(&self) -> f64 {
        1.0 + self.overage() * OVERAGE_USED
    }

    fn rate(&self, cap: &UsageCap) -> f64 {
        real(cap.rate_per_s) * self.raise()
    }

    fn burst(&self, cap: &UsageCap) -> f64 {
        real(cap.burst) * self.raise()
    }

    /// The excess over a cap that a window permits.
    fn excess(&self, cap: &UsageCap) -> f64 {
        let permitted = real(cap.rate_per_s) * seconds(self.limits.window_ms) + real(cap.burst);
        permitted * self.overage() + real(self.limits.slack)
    }

    /// The demand that needs no report, per second.
    fn unreported(&self, cap: &UsageCap) -> f64 {
        real(cap.rate_per_s) * MIN_REPORTED / self.known
    }
}

/// What another entry VM uses.
#[derive(Clone, Copy, Debug)]
struct PeerUse {
    epoch: u32,
    used: u64,
    asked: u64,
    /// Demand per second when it was last heard.
    demand: f64,
    heard_at_ms: TimeMs,
    /// Its share of the refill when it was last heard.
    share: f64,
    /// What was assumed that it used since it fell silent.
    assumed: f64,
}

/// The counters of the last report.
#[derive(Clone, Copy, Debug)]
struct Reported {
    used: u64,
    asked: u64,
    at_ms: TimeMs,
}

/// The use of one customer.
#[derive(Clone, Debug)]
pub(super) struct Account {
    cap: UsageCap,
    epoch: u32,
    /// What is left of the common bucket, as estimated.
    level: f64,
    /// What only this entry VM spends.
    stock: f64,
    /// The part of a request's cost that the stock must hold. Drawn again after each request, so that
    /// the stocks of many entry VMs don't all suffice at the same moment.
    threshold: f64,
    random: u64,
    refilled_at_ms: TimeMs,
    /// Since when the level has been low.
    low_since_ms: Option<TimeMs>,
    /// Demand per second here.
    demand: f64,
    used: u64,
    asked: u64,
    reported: Reported,
    peers: VecMap<UsageOrigin, PeerUse>,
    /// The demand per second of the other entry VMs that are heard.
    heard_demand: f64,
    /// The share of the entry VMs that are heard.
    group_share: f64,
    /// The share of those that fell silent.
    silent_share: f64,
    /// The part of the refill that those which aren't silent spend.
    level_share: f64,
    own_share: f64,
    shared_at_ms: Option<TimeMs>,
    /// When the room that callers were told of ends.
    promised_until_ms: TimeMs,
    /// The stock that a refused request needed, and when it was refused.
    wanted: Option<(f64, TimeMs)>,
    refused: u64,
    refused_at_ms: Option<TimeMs>,
}

impl Account {
    /// The account of a customer that nobody has reported since the process started.
    pub(super) fn new(cap: UsageCap, terms: &Terms, started_at_ms: TimeMs, now: TimeMs) -> Self {
        let [a, b, c, d, ..] = now.0.to_le_bytes();
        let refilled = terms.rate(&cap) * seconds(now.since(started_at_ms));
        Self {
            cap,
            epoch: u32::from_le_bytes([a, b, c, d]),
            level: refilled.min(terms.burst(&cap)),
            stock: 0.0,
            threshold: 0.5,
            random: now.0,
            refilled_at_ms: now,
            low_since_ms: None,
            demand: 0.0,
            used: 0,
            asked: 0,
            reported: Reported {
                used: 0,
                asked: 0,
                at_ms: TimeMs(0),
            },
            peers: VecMap::default(),
            heard_demand: 0.0,
            group_share: 1.0 / terms.known,
            silent_share: 0.0,
            level_share: 1.0 / terms.known,
            own_share: 1.0 / terms.known,
            shared_at_ms: None,
            promised_until_ms: now,
            wanted: None,
            refused: 0,
            refused_at_ms: None,
        }
    }

    pub(super) fn set_cap(&mut self, cap: UsageCap, now: TimeMs) {
        if cap == self.cap {
            return;
        }
        if cap.burst < self.cap.burst && self.level > 0.0 {
            let part = real(cap.burst) / real(self.cap.burst);
            self.level *= part;
            self.stock = self.stock.min(self.stock * part);
        }
        if cap.unit != self.cap.unit {
            self.forget_level(now);
        }
        self.cap = cap;
    }

    /// Empties the bucket.
    pub(super) fn forget_level(&mut self, now: TimeMs) {
        self.level = self.level.min(0.0);
        self.stock = self.stock.min(0.0);
        self.refilled_at_ms = now;
        self.low_since_ms = Some(now);
    }

    /// Records that a request asks for an amount.
    pub(super) fn ask(&mut self, cost: u64, terms: &Terms, now: TimeMs) {
        self.refill(terms, now);
        self.asked = self.asked.wrapping_add(cost);
        self.demand += real(cost) / DEMAND_S;
        self.own_share = self.share_of(self.demand, terms);
        self.stock = self.stock.min(self.largest_stock(now));
    }

    /// Whether a request may be admitted here now.
    pub(super) fn admits(&self, cost: u64, terms: &Terms) -> bool {
        let burst = terms.burst(&self.cap);
        let needed = real(cost).min(burst);
        let excess = terms.excess(&self.cap);
        if self.level >= needed && self.level - needed >= self.floor(terms) {
            return true;
        }
        self.level > -excess * EXCESS_OVERDRAWN && self.stock >= needed * self.threshold
    }

    /// The level below which only stocks are spent.
    fn floor(&self, terms: &Terms) -> f64 {
        if terms.is_starting && terms.known > 1.0 {
            return f64::INFINITY;
        }
        let unshared = terms.excess(&self.cap) * EXCESS_UNSHARED * self.group_share;
        let shared = (terms.burst(&self.cap) - unshared).max(0.0);
        shared * (1.0 - self.own_share)
    }

    pub(super) fn spend(&mut self, cost: u64) {
        self.used = self.used.wrapping_add(cost);
        self.level -= real(cost);
        self.stock -= real(cost);
        self.wanted = None;
        self.draw_threshold();
    }

    pub(super) fn refund(&mut self, cost: u64) {
        self.used = self.used.wrapping_sub(cost);
        self.level += real(cost);
        self.stock += real(cost);
    }

    fn draw_threshold(&mut self) {
        // SplitMix64.
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        self.threshold = real((mixed ^ (mixed >> 31)) >> 32) / real(1 << 32);
    }

    /// The time until this entry VM's share has room for a refused request.
    pub(super) fn promise(
        &mut self,
        cost: u64,
        patience_ms: DurationMs,
        terms: &Terms,
        now: TimeMs,
    ) -> DurationMs {
        let needed = real(cost).min(terms.burst(&self.cap));
        self.wanted = Some((needed * self.threshold, now));
        let rate = self.refill_rate(terms, 1.0 / MAX_STEERING);
        let first_ms = milliseconds((needed * self.threshold - self.stock).max(0.0) / rate);
        let start_ms = self.promised_until_ms.max(now.after(first_ms));
        let wait_ms = start_ms.since(now);
        if wait_ms <= patience_ms {
            self.promised_until_ms = start_ms.after(milliseconds(needed / rate));
        }
        wait_ms
    }

    /// Records a refusal. Returns whether the customer was not being refused before.
    pub(super) fn record_refusal(&mut self, now: TimeMs) -> bool {
        self.refused += 1;
        self.refused_at_ms.replace(now).is_none()
    }

    /// Returns whether the customer was being refused and has not been for a while.
    pub(super) fn end_refusals(&mut self, after_ms: DurationMs, now: TimeMs) -> bool {
        let has_ended = self
            .refused_at_ms
            .is_some_and(|at_ms| now.since(at_ms) >= after_ms);
        if has_ended {
            self.refused_at_ms = None;
        }
        has_ended
    }

    /// What flows into the stock per second. The steering is at least `min_steering`.
    fn refill_rate(&self, terms: &Terms, min_steering: f64) -> f64 {
        let rate = terms.rate(&self.cap).max(f64::MIN_POSITIVE);
        let steering = 1.0 + self.level / (rate * STEERING_S);
        rate * self.own_share * steering.clamp(min_steering, MAX_STEERING)
    }

    /// The own part of the level and of the refill of a moment, or what a request that was refused a
    /// short time ago needs.
    fn largest_stock(&self, now: TimeMs) -> f64 {
        let refill = real(self.cap.rate_per_s) * STOCK_S;
        let part = self.own_share * (self.level.max(0.0) + refill);
        match self.wanted {
            Some((amount, at_ms)) if now.since(at_ms) < WANTED_MS => part.max(amount),
            _ => part,
        }
    }

    fn refill(&mut self, terms: &Terms, now: TimeMs) {
        let passed_s = seconds(now.since(self.refilled_at_ms));
        self.refilled_at_ms = self.refilled_at_ms.max(now);
        let burst = terms.burst(&self.cap);
        let decay = (-passed_s / DEMAND_S).exp();
        if passed_s > 0.0 {
            let mean = self.demand * (1.0 - decay) * DEMAND_S / passed_s;
            self.own_share = self.share_of(mean, terms);
        }
        self.demand *= decay;
        let refilled = terms.rate(&self.cap) * self.level_share * passed_s;
        self.level = (self.level + refilled).min(burst);
        self.stock += self.refill_rate(terms, 0.0) * passed_s;
        // While much is left, the stock is the own part of it.
        if self.level >= self.floor(terms) {
            self.stock = self.stock.max(self.own_share * self.level);
        }
        if self.level >= burst * LOW_LEVEL {
            self.low_since_ms = None;
        } else if self.low_since_ms.is_none() {
            self.low_since_ms = Some(now);
        }
        self.update_shares(terms, now);
    }

    fn silence_ms(&self, terms: &Terms) -> DurationMs {
        let base_ms = match self.low_since_ms {
            Some(_) => LOW_SILENCE_MS,
            None => HIGH_SILENCE_MS,
        };
        base_ms + DurationMs(DIGEST_MS.0 * (terms.pace - 1))
    }

    /// The silence after which a share doesn't follow the demand of others any more.
    fn late_ms(&self, terms: &Terms) -> DurationMs {
        match self.low_since_ms {
            Some(_) => DurationMs(LATE_MS.0 * terms.pace),
            None => self.silence_ms(terms),
        }
    }

    /// Divides the refill among the entry VMs that are heard, by their demand, beside what is reserved
    /// for silent ones.
    fn update_shares(&mut self, terms: &Terms, now: TimeMs) {
        if self
            .shared_at_ms
            .is_some_and(|at_ms| now.since(at_ms) < SHARES_MS)
        {
            return;
        }
        let last_shared_at_ms = self.shared_at_ms.unwrap_or(now);
        let passed_s = seconds(now.since(last_shared_at_ms));
        self.shared_at_ms = Some(now);
        self.peers
            .retain(|_, peer| now.since(peer.heard_at_ms) < FORGET_AFTER_MS);
        let silence_ms = self.silence_ms(terms);
        let expected_at_ms = self.low_since_ms.unwrap_or_default();
        let equal = 1.0 / terms.known;
        let rate = terms.rate(&self.cap);
        let unreported = terms.unreported(&self.cap);
        let late_ms = self.late_ms(terms);
        let mut reserved = 0.0;
        let mut silent = 0.0;
        let mut silent_share = 0.0;
        let mut heard_demand = 0.0;
        for (_, peer) in self.peers.iter_mut() {
            let silent_ms = now.since(peer.heard_at_ms.max(expected_at_ms));
            if silent_ms < late_ms || peer.demand < unreported * MIN_RESERVED {
                heard_demand += peer.demand;
                continue;
            }
            let since_s = seconds(silent_ms.saturating_sub(silence_ms));
            let kept = (-since_s / EQUALIZING_S).exp2();
            let share = peer.share * kept + equal * (1.0 - kept);
            reserved += share;
            if silent_ms >= silence_ms {
                peer.assumed += rate * share * passed_s;
                silent_share += share;
                silent += 1.0;
            }
        }
        let unknown = (terms.missing - silent).max(0.0) * equal;
        let group_share = (1.0 - reserved - unknown).clamp(equal, 1.0);
        let silent_share: f64 = silent_share.min(1.0 - equal);
        if silent_share > self.silent_share && self.level > 0.0 {
            // The silent ones may spend their part of what is left.
            self.level *= (1.0 - silent_share) / (1.0 - self.silent_share);
        }
        self.silent_share = silent_share;
        self.level_share = (1.0 - silent_share - unknown).clamp(equal, 1.0);
        self.group_share = group_share;
        let total = (heard_demand + self.demand).max(f64::MIN_POSITIVE);
        self.heard_demand = heard_demand;
        for (_, peer) in self.peers.iter_mut() {
            // Demand that grew here since then may have grown there too.
            if peer.heard_at_ms >= last_shared_at_ms {
                peer.share = self.group_share * peer.demand / total;
            }
        }
        self.own_share = self.share_of(self.demand, terms);
    }

    /// The own share of the refill with a demand per second.
    fn share_of(&self, demand: f64, terms: &Terms) -> f64 {
        let total = (self.heard_demand + demand).max(f64::MIN_POSITIVE);
        let share = self.group_share * demand / total;
        if terms.is_starting {
            return share.min(1.0 / terms.known);
        }
        share
    }

    /// Takes in what another entry VM reports.
    pub(super) fn learn(&mut self, row: &UsageRow, terms: &Terms, now: TimeMs) {
        self.refill(terms, now);
        let known = self.peers.get(&row.origin).copied();
        let Some(known) = known.filter(|known| known.epoch == row.epoch) else {
            // What it used before isn't known to lie in the window, except after its restart.
            let used = known.map_or(0, |_| row.used);
            self.level -= real(used);
            let peer = PeerUse {
                epoch: row.epoch,
                used: row.used,
                asked: row.asked,
                demand: known.map_or(0.0, |known| known.demand),
                heard_at_ms: now,
                share: known.map_or(0.0, |known| known.share),
                assumed: 0.0,
            };
            self.peers.insert(row.origin, peer);
            return;
        };
        let used = difference(row.used, known.used);
        let asked = difference(row.asked, known.asked);
        if asked < 0.0 {
            // Datagrams may overtake each other.
            return;
        }
        let passed_s = seconds(now.since(known.heard_at_ms));
        let charged = if known.assumed > 0.0 {
            (used - known.assumed).max(0.0)
        } else {
            used
        };
        self.level = (self.level - charged).min(terms.burst(&self.cap));
        let peer = PeerUse {
            used: row.used,
            asked: row.asked,
            demand: known.demand * (-passed_s / DEMAND_S).exp() + asked / DEMAND_S,
            heard_at_ms: now,
            assumed: 0.0,
            ..known
        };
        self.peers.insert(row.origin, peer);
    }

    /// The row that is due, if any.
    pub(super) fn report(
        &mut self,
        origin: UsageOrigin,
        customer: CustomerId,
        terms: &Terms,
        now: TimeMs,
    ) -> Option<UsageRow> {
        if self.next_report_ms(terms, now)? > DurationMs(0) {
            return None;
        }
        self.refill(terms, now);
        self.reported = Reported {
            used: self.used,
            asked: self.asked,
            at_ms: now,
        };
        Some(UsageRow {
            origin,
            customer,
            epoch: self.epoch,
            used: self.used,
            asked: self.asked,
        })
    }

    /// When the last report was made.
    pub(super) const fn reported_at_ms(&self) -> TimeMs {
        self.reported.at_ms
    }

    /// When the next report is due; `None` if there is little to report.
    pub(super) fn next_report_ms(&self, terms: &Terms, now: TimeMs) -> Option<DurationMs> {
        let asked = difference(self.asked, self.reported.asked);
        let used = difference(self.used, self.reported.used);
        let changed = asked.max(used.abs());
        let passed_s = seconds(now.since(self.refilled_at_ms));
        let demand = self.demand * (-passed_s / DEMAND_S).exp();
        let unreported = terms.unreported(&self.cap);
        if demand < unreported && changed < unreported {
            return None;
        }
        let usual = real(self.cap.rate_per_s) * seconds(HIGH_REPORT_MS) / terms.known;
        // Others may see it as low a little earlier.
        let is_low = self.level < terms.burst(&self.cap) * LOW_REPORT_LEVEL;
        let is_urgent = is_low || changed >= usual;
        let period_ms = if is_urgent {
            LOW_REPORT_MS
        } else {
            HIGH_REPORT_MS
        };
        let due_at_ms = self
            .reported
            .at_ms
            .after(DurationMs(period_ms.0 * terms.pace));
        Some(due_at_ms.since(now))
    }

    pub(super) fn state(&self, customer: CustomerId) -> UsageState {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "huge amounts saturate"
        )]
        let (level, share_milli) = (self.level as i64, (self.own_share * 1_000.0) as u64);
        UsageState {
            customer,
            rate_per_s: self.cap.rate_per_s,
            level,
            used: self.used,
            share_milli,
            refused: self.refused,
        }
    }
}

/// The difference of two counters that wrap around. Negative if the later one is smaller.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_wrap,
    reason = "counters wrap, and their differences are small"
)]
const fn difference(later: u64, earlier: u64) -> f64 {
    later.wrapping_sub(earlier) as i64 as f64
}
