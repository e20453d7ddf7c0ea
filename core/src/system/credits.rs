//! Charges requests to customers' credits. The grant that lapses first is spent first, and a lapsed
//! grant never. Of each grant, an entry VM spends only what it has drawn from the ledger, plus a
//! bounded overdraft.

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

/// Time after which a draw without an answer is retried.
const RETRY_INTERVAL_MS: DurationMs = DurationMs(500);
/// Upper limit of draws in progress.
const MAX_DRAWS: usize = 16;
/// Least amount that is drawn, in multiples of the latest request's cost.
const MIN_DRAW_REQUESTS: u64 = 4;
/// Time before a lapse in which deferrable requests are no longer deferred.
const LAPSING_SOON_MS: DurationMs = DurationMs(3_600_000);

/// Returns the most that a request may cost when `cached_pieces` of its prompt are cached.
fn max_cost(request: &Request, cached_pieces: usize, price: MicroCredits) -> MicroCredits {
    let cached = Tokens(cached_pieces as u64 * PIECE_TOKENS);
    let uncached = request.prompt_tokens.saturating_sub(cached);
    cost(request.plus_max_answer_tokens(uncached), price)
}

/// Checks that the class and the customer's credits allow the cost. The class's limit applies to
/// the cost with what is known to be cached; the credits have to cover the cost with nothing
/// cached. Customers without declared credits are not metered.
///
/// # Errors
///
/// Returns [`Cause::OverCost`] or [`Cause::NoCredits`].
pub fn check_cost(
    core: &mut Core,
    id: RequestId,
    class: &Class,
    placed: &Placement,
) -> Result<(), Cause> {
    let request = core.requests.get(&id).ok_or(Cause::Unknown)?;
    let expected = &placed.expected;
    let cached_pieces = expected.cached_pieces.max(expected.imported_pieces);
    if max_cost(request, cached_pieces, expected.price) > class.max_cost_microcredits {
        return Err(Cause::OverCost);
    }
    let reserved = max_cost(request, 0, expected.price);
    let customer = request.customer();
    let (entry_vms, now) = (core.entry_vms as u64, core.now);
    let Some(wallet) = wallet(core, customer) else {
        return Ok(());
    };
    if wallet.spendable(entry_vms, now) >= reserved {
        return Ok(());
    }
    request_draw(core, customer, reserved);
    Err(Cause::NoCredits)
}

/// Returns a customer's wallet with the declared grants, or `None` if the customer is not metered.
fn wallet(core: &mut Core, customer: CustomerId) -> Option<&mut Wallet> {
    let grants = &core.customers.get(&customer)?.credits;
    if grants.is_empty() {
        return None;
    }
    let wallet = core
        .credits
        .wallets
        .get_or_insert_with(customer, Wallet::default);
    wallet.set_grants(core.configuration.generation, grants);
    Some(wallet)
}

/// Reserves the most that a request may cost when it is sent.
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
    let reserved = max_cost(request, 0, attempt.expected.price);
    let customer = request.customer();
    let (entry_vms, now) = (core.entry_vms as u64, core.now);
    let Some(wallet) = wallet(core, customer) else {
        return;
    };
    let charges = wallet.spend(reserved, entry_vms, now);
    if let Some(request) = core.requests.get_mut(&id) {
        request.charges = charges;
    }
    request_draw(core, customer, reserved);
}

/// Settles the reservation of an answered request. Returns the actual cost.
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

/// Settles the reservation of a request that ended without a complete answer. Only the part that
/// was delivered is charged.
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
    let (entry_vms, now) = (core.entry_vms as u64, core.now);
    let Some(wallet) = core.credits.wallets.get_mut(&customer) else {
        return;
    };
    let reserved = charges.iter().map(|charge| charge.amount).sum();
    if actual > reserved {
        wallet.spend(actual.saturating_sub(reserved), entry_vms, now);
    } else {
        wallet.refund(&charges, reserved.saturating_sub(actual));
    }
}

/// Whether the customer has unspent credits that lapse soon.
#[must_use]
pub fn has_credits_lapsing_soon(core: &Core, customer: CustomerId) -> bool {
    let threshold_ms = core.now.after(LAPSING_SOON_MS);
    let Some(wallet) = core.credits.wallets.get(&customer) else {
        return false;
    };
    wallet.allotments.iter().any(|allotment| {
        !allotment.is_lapsed(core.now)
            && allotment.grant.lapses_at_ms <= threshold_ms
            && allotment
                .remaining()
                .is_none_or(|remaining| remaining.0 > 0)
    })
}

/// Draws what the customer will need for the next seconds, from the grants that lapse first.
fn request_draw(core: &mut Core, customer: CustomerId, latest_cost: MicroCredits) {
    let now = core.now;
    if core
        .credits
        .retries
        .get(&customer)
        .is_some_and(|retry_at_ms| *retry_at_ms > now)
    {
        return;
    }
    let Some(wallet) = core.credits.wallets.get(&customer) else {
        return;
    };
    let min_draw = MicroCredits(latest_cost.0.saturating_mul(MIN_DRAW_REQUESTS));
    let mut wanted = wallet.recent_spending(now).max(min_draw);
    let mut new_draws = Vec::new();
    for allotment in &wallet.allotments {
        if allotment.is_lapsed(now) {
            continue;
        }
        let unspent = allotment.unspent();
        if unspent.0 >= wanted.0 / 2 && allotment.owed().0 == 0 {
            break;
        }
        wanted = wanted.saturating_sub(unspent);
        let is_spent = allotment
            .remaining()
            .is_some_and(|remaining| remaining.0 == 0);
        if is_spent && allotment.owed().0 == 0 {
            continue;
        }
        if allotment.draw.is_none() {
            new_draws.push((allotment.grant.name.clone(), wanted));
        }
        match allotment.remaining() {
            Some(remaining) if remaining < wanted => wanted = wanted.saturating_sub(remaining),
            _ => break,
        }
    }
    for (grant, wanted) in new_draws {
        start_draw(core, customer, &grant, wanted, latest_cost);
    }
}

fn start_draw(
    core: &mut Core,
    customer: CustomerId,
    grant: &str,
    wanted: MicroCredits,
    latest_cost: MicroCredits,
) {
    if core.credits.draws.len() >= MAX_DRAWS {
        return;
    }
    let id = core.new_attempt_id();
    let entry_vms = core.entry_vms as u64;
    let Some(allotment) = allotment(core, customer, grant) else {
        return;
    };
    let mut draw = Draw {
        id,
        amount: None,
        wanted,
        latest_cost,
        is_uncertain: false,
    };
    if allotment.ledger.is_some() {
        draw.amount = Some(allotment.draw_amount(&draw, entry_vms));
    }
    allotment.draw = Some(draw);
    core.credits.draws.insert(id, (customer, grant.to_owned()));
    send_call(core, id);
}

fn allotment<'a>(
    core: &'a mut Core,
    customer: CustomerId,
    grant: &str,
) -> Option<&'a mut Allotment> {
    let wallet = core.credits.wallets.get_mut(&customer)?;
    wallet.allotment_mut(grant)
}

/// Sends the next call of a draw to the table service: a read of the ledger's row, or its update.
fn send_call(core: &mut Core, id: AttemptId) {
    let Some((customer, grant)) = core.credits.draws.get(&id).cloned() else {
        return;
    };
    let Some(allotment) = allotment(core, customer, &grant) else {
        core.credits.draws.remove(&id);
        return;
    };
    let key = RecordKey::Ledger { customer, grant };
    let amount = allotment.draw.and_then(|draw| draw.amount);
    let operation = match (amount, allotment.ledger) {
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
    core.call_table_service(id, operation);
}

/// Handles an answer of the table service. Returns `false` if the call does not belong to a draw.
pub fn handle_answer(core: &mut Core, call: CallId, answer: &RecordAnswer) -> bool {
    let Some(id) = core.calls.get(&call).copied() else {
        return false;
    };
    let Some((customer, grant)) = core.credits.draws.get(&id).cloned() else {
        return false;
    };
    core.calls.remove(&call);
    let (entry_vms, now) = (core.entry_vms as u64, core.now);
    let Some(allotment) = allotment(core, customer, &grant) else {
        core.credits.draws.remove(&id);
        return true;
    };
    allotment.is_unanswered = *answer == RecordAnswer::Unknown;
    if !allotment.is_unanswered {
        allotment.ledger_seen_at_ms = now;
    }
    match advance(allotment, id, answer, entry_vms) {
        Step::Call => send_call(core, id),
        Step::RetryLater => {
            let retry_at_ms = core.now.after(RETRY_INTERVAL_MS);
            core.credits.retries.insert(customer, retry_at_ms);
        }
        Step::End => {
            core.credits.draws.remove(&id);
        }
    }
    true
}

/// The next step of a draw.
enum Step {
    /// Send the next call.
    Call,
    /// Repeat the call after [`RETRY_INTERVAL_MS`].
    RetryLater,
    /// Remove the settled draw.
    End,
}

/// Applies an answer to the allotment's draw and returns the next step.
fn advance(
    allotment: &mut Allotment,
    id: AttemptId,
    answer: &RecordAnswer,
    entry_vms: u64,
) -> Step {
    let Some(draw) = allotment.draw.filter(|draw| draw.id == id) else {
        return Step::End;
    };
    match answer {
        RecordAnswer::Unknown => {
            allotment.draw = Some(Draw {
                is_uncertain: draw.amount.is_some(),
                ..draw
            });
            Step::RetryLater
        }
        RecordAnswer::Written(version) => {
            let amount = draw.amount.unwrap_or_default();
            let drawn = allotment.ledger.unwrap_or_default().drawn + amount;
            allotment.ledger = Some(Ledger {
                version: Some(*version),
                drawn,
            });
            allotment.add_drawn(amount);
            allotment.draw = None;
            Step::End
        }
        RecordAnswer::Read(row) | RecordAnswer::Conflict(row) => {
            let record = row.as_ref().and_then(ledger_record);
            allotment.ledger = Some(Ledger::from_row(row.as_ref(), record));
            let took_effect = record.is_some_and(|record| record.last_draw == id);
            if took_effect {
                allotment.add_drawn(draw.amount.unwrap_or_default());
            }
            if took_effect || draw.is_uncertain {
                allotment.draw = None;
                return Step::End;
            }
            recompute_draw(allotment, draw, entry_vms)
        }
    }
}

/// Recomputes the amount of a draw that certainly had no effect, for the current row.
fn recompute_draw(allotment: &mut Allotment, draw: Draw, entry_vms: u64) -> Step {
    let amount = allotment.draw_amount(&draw, entry_vms);
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

/// Retries draws whose answer was lost.
pub fn tick(core: &mut Core) {
    let now = core.now;
    let due_customers: Vec<CustomerId> = core
        .credits
        .retries
        .iter()
        .filter(|row| *row.1 <= now)
        .map(|row| *row.0)
        .collect();
    for customer in due_customers {
        core.credits.retries.remove(&customer);
        let draws: Vec<AttemptId> = core
            .credits
            .draws
            .iter()
            .filter(|row| row.1.0 == customer)
            .map(|row| *row.0)
            .collect();
        for id in draws {
            send_call(core, id);
        }
    }
}
