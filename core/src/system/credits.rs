//! Spends customers' credits: the grant that lapses first first, never a lapsed one, and of each
//! only what was drawn from its ledger or may be owed while the ledger can't be asked.

use crate::{
    core::Core,
    credit::{Allotment, Draw, Ledger, Wallet, cost},
    declaration::Class,
    id::{AttemptId, CustomerId, RequestId},
    prefix::{PIECE_TOKENS, tokens_of_bytes},
    record::{CallId, LedgerRecord, Record, RecordAnswer, RecordCall, RecordKey, Row},
    request::Request,
    system::placement::Placement,
    unit::{DurationMs, MicroCredits, Tokens},
    verdict::Cause,
};

/// The time between two tries of a draw.
const RETRY_INTERVAL_MS: DurationMs = DurationMs(500);
/// Draws in progress at the most.
const MAX_DRAWS: usize = 16;
/// The least that is drawn, in requests like the latest.
const LEAST_REQUESTS: u64 = 4;
/// The time before a lapse in which work that may wait is not held off.
const LAPSE_SOON_MS: DurationMs = DurationMs(3_600_000);

/// The most that a request may cost when `present` pieces of its prompt are cached.
fn estimate(request: &Request, present: usize, price: MicroCredits) -> MicroCredits {
    let present = Tokens(present as u64 * PIECE_TOKENS);
    let uncached = request.prompt_tokens.saturating_sub(present);
    cost(request.plus_max_answer_tokens(uncached), price)
}

/// Checks that the class and the customer's credits allow the cost. The class's limit is compared with
/// what is known to be cached; credits have to be there even if nothing is. Customers without
/// declared credits are not metered.
///
/// # Errors
///
/// Why the request can't be paid for.
pub fn check_cost(
    core: &mut Core,
    id: RequestId,
    class: &Class,
    placed: &Placement,
) -> Result<(), Cause> {
    let request = core.requests.get(&id).ok_or(Cause::Unknown)?;
    let expected = &placed.expected;
    let present = expected.cached_pieces.max(expected.imported_pieces);
    if estimate(request, present, expected.price) > class.max_cost_microcredits {
        return Err(Cause::OverCost);
    }
    let most = estimate(request, 0, expected.price);
    let customer = request.customer();
    let (entries, now) = (core.entry_vms as u64, core.now);
    let Some(wallet) = wallet(core, customer) else {
        return Ok(());
    };
    if wallet.spendable(entries, now) >= most {
        return Ok(());
    }
    draw(core, customer, most);
    Err(Cause::NoCredits)
}

/// A metered customer's wallet, as declared.
fn wallet(core: &mut Core, customer: CustomerId) -> Option<&mut Wallet> {
    let grants = &core.customers.get(&customer)?.credits;
    if grants.is_empty() {
        return None;
    }
    let wallet = core
        .credits
        .wallets
        .get_or_insert_with(customer, Wallet::default);
    wallet.declare(core.configuration.generation, grants);
    Some(wallet)
}

/// Charges a request that is sent with the most that it may cost.
pub fn reserve(core: &mut Core, id: RequestId) {
    let Some(request) = core.requests.get(&id) else {
        return;
    };
    let Some(attempt) = &request.attempt else {
        return;
    };
    if !request.charges.is_empty() {
        return;
    }
    let most = estimate(request, 0, attempt.expected.price);
    let customer = request.customer();
    let (entries, now) = (core.entry_vms as u64, core.now);
    let Some(wallet) = wallet(core, customer) else {
        return;
    };
    let charges = wallet.spend(most, entries, now);
    if let Some(request) = core.requests.get_mut(&id) {
        request.charges = charges;
    }
    draw(core, customer, most);
}

/// Settles a request that is answered. Returns its cost.
pub fn settle(core: &mut Core, id: RequestId, answer_tokens: Tokens) -> MicroCredits {
    let Some(request) = core.requests.get_mut(&id) else {
        return MicroCredits(0);
    };
    let Some(attempt) = &request.attempt else {
        return MicroCredits(0);
    };
    let computed = request.prompt_tokens.saturating_sub(request.cached_tokens);
    let actual = cost(computed + answer_tokens, attempt.expected.price);
    pay(core, id, actual);
    actual
}

/// Settles a request that ended without an answer: only what its caller got is paid.
pub fn release(core: &mut Core, id: RequestId) {
    let Some(request) = core.requests.get(&id) else {
        return;
    };
    let delivered = usize::try_from(request.delivered_bytes).unwrap_or(usize::MAX);
    let used = match &request.attempt {
        Some(attempt) if delivered > 0 => cost(
            attempt.uncached_tokens + tokens_of_bytes(delivered),
            attempt.expected.price,
        ),
        _ => MicroCredits(0),
    };
    pay(core, id, used);
}

fn pay(core: &mut Core, id: RequestId, actual: MicroCredits) {
    let Some(request) = core.requests.get_mut(&id) else {
        return;
    };
    let customer = request.customer();
    let charges = std::mem::take(&mut request.charges);
    if charges.is_empty() {
        return;
    }
    let (entries, now) = (core.entry_vms as u64, core.now);
    let Some(wallet) = core.credits.wallets.get_mut(&customer) else {
        return;
    };
    let reserved = charges.iter().map(|charge| charge.amount).sum();
    if actual > reserved {
        wallet.spend(actual.saturating_sub(reserved), entries, now);
    } else {
        wallet.refund(&charges, reserved.saturating_sub(actual));
    }
}

/// Whether the customer has credits that lapse soon and are not spent.
#[must_use]
pub fn has_credits_lapsing_soon(core: &Core, customer: CustomerId) -> bool {
    let soon = core.now.after(LAPSE_SOON_MS);
    let Some(wallet) = core.credits.wallets.get(&customer) else {
        return false;
    };
    wallet.allotments.iter().any(|allotment| {
        !allotment.is_lapsed(core.now)
            && allotment.grant.lapses_at_ms <= soon
            && allotment.left().is_none_or(|left| left.0 > 0)
    })
}

/// Draws what the customer will need for some seconds, from the grants that lapse first.
fn draw(core: &mut Core, customer: CustomerId, latest: MicroCredits) {
    let now = core.now;
    if core
        .credits
        .retries
        .get(&customer)
        .is_some_and(|at| *at > now)
    {
        return;
    }
    let Some(wallet) = core.credits.wallets.get(&customer) else {
        return;
    };
    let least = MicroCredits(latest.0.saturating_mul(LEAST_REQUESTS));
    let mut wanted = wallet.recent(now).max(least);
    let mut due = Vec::new();
    for allotment in &wallet.allotments {
        if allotment.is_lapsed(now) {
            continue;
        }
        let has = allotment.available();
        if has.0 >= wanted.0 / 2 && allotment.owed().0 == 0 {
            break;
        }
        wanted = wanted.saturating_sub(has);
        let is_spent = allotment.left().is_some_and(|left| left.0 == 0);
        if is_spent && allotment.owed().0 == 0 {
            continue;
        }
        if allotment.draw.is_none() {
            due.push((allotment.grant.name.clone(), wanted));
        }
        match allotment.left() {
            Some(left) if left < wanted => wanted = wanted.saturating_sub(left),
            _ => break,
        }
    }
    for (grant, wanted) in due {
        start(core, customer, &grant, wanted, latest);
    }
}

fn start(
    core: &mut Core,
    customer: CustomerId,
    grant: &str,
    wanted: MicroCredits,
    latest: MicroCredits,
) {
    if core.credits.draws.len() >= MAX_DRAWS {
        return;
    }
    let id = core.new_attempt_id();
    let entries = core.entry_vms as u64;
    let Some(allotment) = allotment(core, customer, grant) else {
        return;
    };
    let mut draw = Draw {
        id,
        amount: None,
        wanted,
        latest,
        is_uncertain: false,
    };
    if allotment.ledger.is_some() {
        draw.amount = Some(allotment.amount_of(&draw, entries));
    }
    allotment.draw = Some(draw);
    core.credits.draws.insert(id, (customer, grant.to_owned()));
    call(core, id);
}

fn allotment<'a>(
    core: &'a mut Core,
    customer: CustomerId,
    grant: &str,
) -> Option<&'a mut Allotment> {
    let wallet = core.credits.wallets.get_mut(&customer)?;
    wallet.allotment_mut(grant)
}

/// Asks the table service for what the draw needs next: the row, or its change.
fn call(core: &mut Core, id: AttemptId) {
    let Some((customer, grant)) = core.credits.draws.get(&id).cloned() else {
        return;
    };
    let Some(allotment) = allotment(core, customer, &grant) else {
        core.credits.draws.remove(&id);
        return;
    };
    let key = RecordKey::Ledger { customer, grant };
    let amount = allotment.draw.and_then(|draw| draw.amount);
    let what = match (amount, allotment.ledger) {
        (Some(amount), Some(ledger)) => RecordCall::Write {
            key,
            expected: ledger.version,
            record: Record::Ledger(LedgerRecord {
                drawn_microcredits: ledger.drawn + amount,
                last_draw: id,
            }),
        },
        _ => RecordCall::Read { key },
    };
    core.call_table_service(id, what);
}

/// Takes an answer of the table service in, if it is one to a draw. Returns whether it was.
pub fn handle_answer(core: &mut Core, number: CallId, answer: &RecordAnswer) -> bool {
    let Some(id) = core.calls.get(&number).copied() else {
        return false;
    };
    let Some((customer, grant)) = core.credits.draws.get(&id).cloned() else {
        return false;
    };
    core.calls.remove(&number);
    let (entries, now) = (core.entry_vms as u64, core.now);
    let Some(allotment) = allotment(core, customer, &grant) else {
        core.credits.draws.remove(&id);
        return true;
    };
    allotment.is_unanswered = *answer == RecordAnswer::Unknown;
    if !allotment.is_unanswered {
        allotment.seen_at_ms = now;
    }
    match step(allotment, id, answer, entries) {
        Step::Call => call(core, id),
        Step::Later => {
            let at = core.now.after(RETRY_INTERVAL_MS);
            core.credits.retries.insert(customer, at);
        }
        Step::End => {
            core.credits.draws.remove(&id);
        }
    }
    true
}

/// What follows from an answer.
enum Step {
    /// The next call.
    Call,
    /// The same call again, later.
    Later,
    /// The draw is settled.
    End,
}

fn step(allotment: &mut Allotment, id: AttemptId, answer: &RecordAnswer, entries: u64) -> Step {
    let Some(draw) = allotment.draw.filter(|draw| draw.id == id) else {
        return Step::End;
    };
    match answer {
        RecordAnswer::Unknown => {
            allotment.draw = Some(Draw {
                is_uncertain: draw.amount.is_some(),
                ..draw
            });
            Step::Later
        }
        RecordAnswer::Written(version) => {
            let amount = draw.amount.unwrap_or_default();
            let drawn = allotment.ledger.unwrap_or_default().drawn + amount;
            allotment.ledger = Some(Ledger {
                version: Some(*version),
                drawn,
            });
            allotment.receive(amount);
            allotment.draw = None;
            Step::End
        }
        RecordAnswer::Read(row) | RecordAnswer::Conflict(row) => {
            let record = row.as_ref().and_then(ledger_record);
            allotment.ledger = Some(Ledger::of(row.as_ref(), record));
            let took_effect = record.is_some_and(|record| record.last_draw == id);
            if took_effect {
                allotment.receive(draw.amount.unwrap_or_default());
            }
            if took_effect || draw.is_uncertain {
                allotment.draw = None;
                return Step::End;
            }
            retarget(allotment, draw, entries)
        }
    }
}

/// Sets a draw that surely had no effect up again, for the row as it stands.
fn retarget(allotment: &mut Allotment, draw: Draw, entries: u64) -> Step {
    let amount = allotment.amount_of(&draw, entries);
    if amount.0 == 0 {
        allotment.draw = None;
        return Step::End;
    }
    allotment.draw = Some(Draw {
        amount: Some(amount),
        ..draw
    });
    Step::Call
}

const fn ledger_record(row: &Row) -> Option<&LedgerRecord> {
    match &row.record {
        Record::Ledger(record) => Some(record),
        Record::Idempotency(_) | Record::Lease(_) => None,
    }
}

/// Tries draws again whose answer was lost.
pub fn tick(core: &mut Core) {
    let now = core.now;
    let due: Vec<CustomerId> = core
        .credits
        .retries
        .iter()
        .filter(|row| *row.1 <= now)
        .map(|row| *row.0)
        .collect();
    for customer in due {
        core.credits.retries.remove(&customer);
        let draws: Vec<AttemptId> = core
            .credits
            .draws
            .iter()
            .filter(|row| row.1.0 == customer)
            .map(|row| *row.0)
            .collect();
        for id in draws {
            call(core, id);
        }
    }
}
