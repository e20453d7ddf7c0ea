//! Keeps requests from brittle backend servers that have no room for them.
//!
//! A brittle server fails if it has to reject more requests in a second than it names. Without a common
//! counter: each entry VM owns some of the server's slots, in a division that all compute alike, and uses
//! them freely. Beyond them it sends only while the server has been half empty for a while by the reports of
//! all. After a busy time all return to that slowly, so that they can't fill the server before they hear of
//! each other.

use {
    super::cached::rendezvous_score,
    crate::{
        id::WorkerId,
        unit::{DurationMs, TimeMs},
    },
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, str::FromStr},
};

/// The highest tolerance that is told apart.
const MAX_TOLERANCE: u64 = 65_536;
/// How long a rejection counts: the second of the tolerance, and the time until others hear of it.
const REJECTION_WINDOW_MS: DurationMs = DurationMs(1_200);
/// How long only owned slots are used after the server was busy, or rejected a request when it was not calm. Doubles if it is busy
/// again when others are used.
pub const OWNED_ONLY_MS: DurationMs = DurationMs(2_000);
/// The most doublings of it.
const MAX_DOUBLINGS: u32 = 3;
/// The time without a busy one after which the next one counts as the first.
const QUIET_MS: DurationMs = DurationMs(20_000);
/// Beyond its own slots an entry VM leaves one in this many places free for their owners.
const RESERVE_DIVISOR: u64 = 2;
/// A server is busy if on average one in this many of its places is taken, or it fills up by chance.
const BUSY_DIVISOR: u64 = 2;
/// A rejection while fewer than one in this many places are taken is a matter of chance.
const CALM_DIVISOR: u64 = 3;
/// The time constant of the average.
const AVERAGE_MS: DurationMs = DurationMs(400);
/// That of the average whose chance variation is small.
const SLOW_AVERAGE_MS: DurationMs = DurationMs(2_000);
/// After this time in which other slots were used the time between two requests beyond the share halves.
const INTERVAL_HALVES_MS: DurationMs = DurationMs(2_000);
/// The most halvings.
const MAX_HALVINGS: u64 = 16;
/// The most slots that are divided.
const MAX_SLOTS: u64 = 65_536;
/// Averages are held in thousandths of a request.
const MILLI: u64 = 1_000;
/// How long it takes until others know of more slots that an entry VM owns.
pub const SHARE_SETTLES_MS: DurationMs = DurationMs(2_000);
/// The time after which a server that had requests waiting is assumed to run one more at once.
const PLACES_GROW_MS: DurationMs = DurationMs(200);
/// About the time until a place is free again at a server that has none.
const PLACE_WAIT_MS: DurationMs = DurationMs(150);

/// The number of requests that a brittle server may reject in a second without failing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{_0} rejections/s")]
pub struct RejectionTolerance(pub u64);

/// The error of a tolerance that isn't a number of zero or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("not a number of rejections")]
pub struct RejectionToleranceError;

impl FromStr for RejectionTolerance {
    type Err = RejectionToleranceError;

    /// Parses a decimal number of rejections a second, rounded down.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_s: f64 = text.trim().parse().map_err(|_| RejectionToleranceError)?;
        if !per_s.is_finite() || per_s < 0.0 {
            return Err(RejectionToleranceError);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is positive, and huge ones saturate"
        )]
        let whole = per_s as u64;
        Ok(Self(whole.min(MAX_TOLERANCE)))
    }
}

/// What a brittle server says with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// The rejections that it tolerates.
    pub tolerance: RejectionTolerance,
    /// Whether the answer is a rejection for want of room.
    pub is_rejection: bool,
}

/// The part of an entry VM in the slots of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotShare {
    /// The entry VMs that share the slots.
    pub entry_vms: u64,
    /// The place of this one in an order that all compute alike.
    pub place: u64,
    /// The time until the others hear of a request that one of them sends.
    pub news_ms: DurationMs,
}

impl SlotShare {
    /// The slots that this entry VM owns of `slots`.
    #[must_use]
    pub const fn owned(self, slots: u64) -> u64 {
        let entry_vms = if self.entry_vms == 0 {
            1
        } else {
            self.entry_vms
        };
        let rest = (self.place % entry_vms < slots % entry_vms) as u64;
        slots / entry_vms + rest
    }
}

/// What is known of the requests at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomUse {
    /// This entry VM's requests in progress.
    pub in_flight: u64,
    /// The estimated requests of all entry VMs.
    pub occupancy: u64,
}

/// How the use of a brittle server's room begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomStart {
    /// When the other entry VMs know of the slots that this one owns.
    pub settled_at_ms: TimeMs,
    /// Until when only owned slots are used; `None` if nothing speaks against using others at once.
    pub owned_only_until_ms: Option<TimeMs>,
    /// A random number that spreads requests beyond the share among entry VMs.
    pub random: u64,
}

/// An earlier share, which limits the present one until others know of that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EarlierShare {
    share: Option<SlotShare>,
    until_ms: TimeMs,
}

/// The room for requests of this entry VM at a brittle server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    tolerance: RejectionTolerance,
    slots: u64,
    /// The requests that the server runs at once, by its reports.
    places: u64,
    places_changed_at_ms: TimeMs,
    share: SlotShare,
    earlier: Option<EarlierShare>,
    /// The rejections of requests of any entry VM that still count.
    rejected_at_ms: VecDeque<TimeMs>,
    owned_only_until_ms: TimeMs,
    doublings: u32,
    next_beyond_share_at_ms: TimeMs,
    /// When the server was last busy; `None` if it was not since it has been brittle.
    busy_at_ms: Option<TimeMs>,
    average_milli: u64,
    slow_average_milli: u64,
    average_at_ms: TimeMs,
    /// The answers until requests in slots that their senders don't own have probably ended.
    unsettled_answers: u64,
    random: u64,
}

impl Room {
    /// The room at a server with `slots` whose service says that it is brittle.
    #[must_use]
    pub fn new(
        tolerance: RejectionTolerance,
        slots: u64,
        share: SlotShare,
        start: RoomStart,
        now: TimeMs,
    ) -> Self {
        let slots = slots.clamp(1, MAX_SLOTS);
        let mut room = Self {
            tolerance,
            slots,
            places: slots,
            places_changed_at_ms: now,
            share,
            earlier: Some(EarlierShare {
                share: None,
                until_ms: start.settled_at_ms,
            }),
            rejected_at_ms: VecDeque::new(),
            owned_only_until_ms: TimeMs(0),
            doublings: 0,
            next_beyond_share_at_ms: now,
            busy_at_ms: None,
            average_milli: 0,
            slow_average_milli: 0,
            average_at_ms: now,
            unsettled_answers: 0,
            random: start.random,
        };
        if let Some(until_ms) = start.owned_only_until_ms {
            room.return_slowly(until_ms, now);
        }
        room
    }

    /// The tolerance that the server's service names.
    #[must_use]
    pub const fn tolerance(&self) -> RejectionTolerance {
        self.tolerance
    }

    /// Records that the service names a tolerance again.
    pub const fn set_tolerance(&mut self, tolerance: RejectionTolerance) {
        self.tolerance = tolerance;
    }

    /// Sets this entry VM's part in the slots. A larger one counts only when others know of it.
    pub fn set_share(&mut self, share: SlotShare, now: TimeMs) {
        if share == self.share {
            return;
        }
        let has_settled = self.earlier.is_none_or(|earlier| now >= earlier.until_ms);
        if has_settled {
            self.earlier = Some(EarlierShare {
                share: Some(self.share),
                until_ms: now.after(SHARE_SETTLES_MS),
            });
        }
        self.share = share;
    }

    /// The slots that this entry VM may use at any time.
    #[must_use]
    pub fn owned(&self, now: TimeMs) -> u64 {
        let present = self.share.owned(self.places);
        match self.earlier.filter(|earlier| now < earlier.until_ms) {
            Some(earlier) => {
                let owned = earlier.share.map_or(0, |share| share.owned(self.places));
                present.min(owned)
            }
            None => present,
        }
    }

    /// Records that there may be requests at the server in slots that their senders don't own.
    pub fn expect_unowned(&mut self, requests: u64) {
        // Requests that are sent later end in between.
        self.unsettled_answers = requests + self.places / 2;
    }

    /// Records a load that the server reported.
    pub fn record_load(&mut self, running: u64, waiting: u64, now: TimeMs) {
        if waiting > 0 {
            self.expect_unowned(running + waiting);
        } else {
            self.unsettled_answers = self.unsettled_answers.saturating_sub(1);
        }
        let age_ms = now.since(self.average_at_ms);
        let load = running + waiting;
        self.average_milli = average_milli(self.average_milli, load, age_ms, AVERAGE_MS);
        self.slow_average_milli =
            average_milli(self.slow_average_milli, load, age_ms, SLOW_AVERAGE_MS);
        self.average_at_ms = now;
        let is_half_full = self.average_milli * BUSY_DIVISOR >= self.places * MILLI;
        if is_half_full || self.fills_by_chance() {
            self.close(now);
        }
        if waiting > 0 {
            self.places = running.clamp(1, self.slots);
            self.places_changed_at_ms = now;
        } else if self.places < self.slots
            && running >= self.places
            && now.since(self.places_changed_at_ms) >= PLACES_GROW_MS
        {
            self.places += 1;
            self.places_changed_at_ms = now;
        }
    }

    /// Records that the server rejected a request of any entry VM.
    pub fn record_rejection(&mut self, now: TimeMs) {
        self.expect_unowned(self.places);
        if self.average_milli * CALM_DIVISOR >= self.places * MILLI {
            self.close(now);
        }
        self.forget_old(now);
        self.rejected_at_ms.push_back(now);
        if self.rejected_at_ms.len() > self.most_rejections() {
            self.rejected_at_ms.pop_front();
        }
    }

    /// Records that a request is sent, before it counts as in flight.
    pub fn record_sent(&mut self, room_use: RoomUse, now: TimeMs) {
        if room_use.in_flight >= self.owned(now) {
            let free = self
                .limit_beyond_share()
                .saturating_sub(room_use.occupancy)
                .max(1);
            self.next_beyond_share_at_ms = now.after(self.interval_ms(free, now));
        }
    }

    /// The time from which on the next request may be sent, as far as known. A request that was rejected
    /// elsewhere may use only owned slots.
    #[must_use]
    pub fn available_at_ms(&self, room_use: RoomUse, is_retry: bool, now: TimeMs) -> TimeMs {
        if let Some(until_ms) = self.full_until_ms(now) {
            return until_ms;
        }
        if room_use.in_flight < self.owned(now) && self.is_own_slot_free(room_use.occupancy, now) {
            return now;
        }
        if is_retry || room_use.occupancy >= self.limit_beyond_share() {
            return now.after(PLACE_WAIT_MS);
        }
        self.next_beyond_share_at_ms
    }

    /// Whether the server is full now and then at its average number of requests: within three standard
    /// deviations of a Poisson distribution.
    const fn fills_by_chance(&self) -> bool {
        let spare_milli = (self.places * MILLI).saturating_sub(self.slow_average_milli);
        spare_milli.pow(2) <= 9 * MILLI * self.slow_average_milli
    }

    /// Whether an owned slot is free. While others may be in owned slots, owners take turns: on average as many
    /// as there are free slots may send before they hear of each other.
    fn is_own_slot_free(&self, occupancy: u64, now: TimeMs) -> bool {
        if self.unsettled_answers == 0 {
            return occupancy <= self.places;
        }
        let owners = self.share.entry_vms.clamp(1, self.places);
        let turn = WorkerId(now.0 / self.share.news_ms.0.max(1));
        let free = self.places.saturating_sub(occupancy);
        rendezvous_score(self.random, turn) % owners < free
    }

    /// Until when nothing is sent, since the server has rejected half of what it tolerates.
    fn full_until_ms(&self, now: TimeMs) -> Option<TimeMs> {
        let count = self.most_rejections();
        let oldest = self.rejected_at_ms.len().checked_sub(count)?;
        let until_ms = self.rejected_at_ms[oldest].after(REJECTION_WINDOW_MS);
        (until_ms > now).then_some(until_ms)
    }

    /// The rejections after which nothing is sent.
    fn most_rejections(&self) -> usize {
        usize::try_from(self.tolerance.0 / 2).map_or(usize::MAX, |half| half.max(1))
    }

    /// Uses only owned slots for a while, which is longer if the server is busy again soon after the last one.
    fn close(&mut self, now: TimeMs) {
        let is_open = self.owned_only_until_ms <= now;
        if is_open {
            self.expect_unowned(self.average_milli / MILLI);
        }
        let is_repeated = self
            .busy_at_ms
            .is_some_and(|busy_at_ms| now.since(busy_at_ms) < QUIET_MS);
        if is_open && is_repeated {
            self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        } else if is_open {
            self.doublings = 0;
        }
        let length_ms = DurationMs(OWNED_ONLY_MS.0 << self.doublings);
        self.return_slowly(now.after(length_ms), now);
    }

    /// Uses only owned slots until then, and others at a low rate after that.
    fn return_slowly(&mut self, owned_only_until_ms: TimeMs, now: TimeMs) {
        self.busy_at_ms = Some(now);
        self.owned_only_until_ms = self.owned_only_until_ms.max(owned_only_until_ms);
        let interval_ms = self.interval_ms(self.limit_beyond_share(), now).0;
        let spread_ms = DurationMs(self.random % (interval_ms + 1));
        self.next_beyond_share_at_ms = self
            .next_beyond_share_at_ms
            .max(owned_only_until_ms.after(spread_ms));
    }

    /// The requests at the server from which on only owned slots are used.
    const fn limit_beyond_share(&self) -> u64 {
        let reserve = self.places.div_ceil(RESERVE_DIVISOR);
        let limit = self.places.saturating_sub(reserve);
        if limit == 0 { 1 } else { limit }
    }

    /// The time between two requests beyond the share. After a busy time, all entry VMs together send `free`
    /// of them until they hear of each other's; later more.
    fn interval_ms(&self, free: u64, now: TimeMs) -> DurationMs {
        let news_ms = self.share.news_ms.0;
        if self.busy_at_ms.is_none() {
            return self.share.news_ms;
        }
        let halvings = now.since(self.owned_only_until_ms).0 / INTERVAL_HALVES_MS.0;
        let slow_ms = self.share.entry_vms.saturating_mul(news_ms) / free.max(1);
        DurationMs((slow_ms >> halvings.min(MAX_HALVINGS)).max(news_ms))
    }

    fn forget_old(&mut self, now: TimeMs) {
        while self
            .rejected_at_ms
            .front()
            .is_some_and(|at_ms| now.since(*at_ms) >= REJECTION_WINDOW_MS)
        {
            self.rejected_at_ms.pop_front();
        }
    }
}

/// The average of a load, in thousandths, when one is reported `age_ms` after the one before.
fn average_milli(known_milli: u64, load: u64, age_ms: DurationMs, over_ms: DurationMs) -> u64 {
    let age_ms = age_ms.min(over_ms).0;
    (known_milli * (over_ms.0 - age_ms) + load * MILLI * age_ms) / over_ms.0
}
