//! Caps on customers' use: admits requests, counts what may run, and reports it to the other gateways.
//!
//! What follows from the caps is decided in [`cactusspur_core::gateway::usage`].

use {
    super::{Shared, call::Call, clock::now, state::GatewayState},
    cactusspur_core::{
        Cause, CustomerId, DurationMs, Refusal, TimeMs, Verdict,
        gateway::{Charge, Fleet, OverCap, RoutingTable, UsageRequest, UsageRow},
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How long use is collected before it is reported.
const REPORT_DELAY_MS: DurationMs = DurationMs(30);
/// The part of its remaining time after which a caller doesn't come back.
const PATIENCE_DIVISOR: u64 = 3;
/// How long peers that were never heard count after a start. Later they are taken for stale addresses.
const UNHEARD_PEERS_MS: DurationMs = DurationMs(60_000);

/// The use of an admitted request. Dropping it returns the cost if no attempt may have run.
pub struct UsageMeter {
    shared: Rc<Shared>,
    charge: Charge,
    /// Whether the cost of the next attempt is paid.
    is_prepaid: Cell<bool>,
}

impl UsageMeter {
    /// Counts an attempt that is sent to a server.
    pub fn record_attempt(&self) {
        if !self.is_prepaid.replace(false) {
            let mut state = self.shared.state.borrow_mut();
            state.usage.charge_again(&self.charge);
        }
    }

    /// Takes back the cost that is paid in advance, since another gateway counts the next attempt.
    pub fn hand_over(&self) {
        if self.is_prepaid.replace(false) {
            self.shared.state.borrow_mut().usage.refund(&self.charge);
        }
    }

    /// Takes back an attempt that certainly hasn't run.
    pub fn record_not_run(&self) {
        if self.is_prepaid.replace(true) {
            self.shared.state.borrow_mut().usage.refund(&self.charge);
        }
    }
}

impl Drop for UsageMeter {
    fn drop(&mut self) {
        if self.is_prepaid.get() {
            self.shared.state.borrow_mut().usage.refund(&self.charge);
        }
    }
}

/// Admits a request under its customer's cap.
///
/// # Errors
///
/// The refusal when the cap has no room for it.
pub fn admit(shared: &Rc<Shared>, call: &Call) -> Result<(), Refusal> {
    let customer = call.customer.as_ref();
    let Some((customer, cap)) = customer.and_then(|customer| Some((customer, customer.cap?)))
    else {
        return Ok(());
    };
    let now = now();
    let request = UsageRequest {
        customer: CustomerId::from_name(&customer.name),
        cap,
        cost: cap.cost(call.head.total_tokens()),
        patience_ms: DurationMs(call.caller_deadline_ms.since(now).0 / PATIENCE_DIVISOR),
    };
    let mut state = shared.state.borrow_mut();
    let fleet = state.usage_fleet(now);
    let charged = state.usage.charge(&request, fleet, now);
    drop(state);
    report_soon(shared);
    let name = &customer.name;
    match charged {
        Ok(charge) => {
            if charge.ends_refusals {
                tracing::info!(customer = name, "a customer is below its cap again");
            }
            let meter = UsageMeter {
                shared: Rc::clone(shared),
                charge,
                is_prepaid: Cell::new(true),
            };
            call.meter_usage(meter);
            Ok(())
        }
        Err(OverCap {
            retry_after_ms,
            begins_refusals,
        }) => {
            metrics::counter!("cactusspur_usage_refused_total", "customer" => name.clone())
                .increment(1);
            if begins_refusals {
                tracing::warn!(
                    customer = name,
                    rate_per_s = cap.rate_per_s,
                    cost = request.cost,
                    retry_after_ms = retry_after_ms.0,
                    "a customer is beyond its cap"
                );
            }
            Err(Refusal {
                verdict: Verdict::NotRun,
                cause: Cause::OverCap,
                retry_after_ms,
            })
        }
    }
}

/// Schedules the next report of use, if one is due and none is scheduled.
pub fn report_soon(shared: &Rc<Shared>) {
    let wait_ms = shared.state.borrow().usage.next_report_ms(now());
    let Some(wait_ms) = wait_ms.filter(|_| !shared.is_usage_report_due.replace(true)) else {
        return;
    };
    let shared = Rc::clone(shared);
    ntex::rt::spawn(async move {
        sleep(Duration::from_millis(wait_ms.max(REPORT_DELAY_MS).0)).await;
        shared.is_usage_report_due.set(false);
        shared.peers.announce_usage(&shared);
        report_soon(&shared);
    });
}

/// Sets the gauges of customers' levels.
pub fn record_levels(shared: &Shared) {
    let state = shared.state.borrow();
    let Some(routing) = &state.routing else {
        return;
    };
    for (name, usage) in state.usage_states(routing) {
        #[expect(clippy::cast_precision_loss, reason = "a gauge")]
        metrics::gauge!("cactusspur_usage_level", "customer" => name.to_owned())
            .set(usage.level as f64);
    }
}

impl GatewayState {
    /// The gateways that share the caps.
    #[must_use]
    pub fn usage_fleet(&self, now: TimeMs) -> Fleet {
        let is_young = self.usage.age_ms(now) < UNHEARD_PEERS_MS;
        let unheard = if is_young { 0 } else { self.peers.unheard() };
        Fleet {
            known: self
                .peers
                .budget_sharers(now)
                .saturating_sub(unheard)
                .max(1),
            heard: self.peers.heard_sharers(now),
        }
    }

    /// The rows of use that are due to be reported.
    pub fn report_usage(&mut self, now: TimeMs) -> Vec<UsageRow> {
        let fleet = self.usage_fleet(now);
        self.usage.report(fleet, now)
    }

    /// Puts the caps of a configuration in force.
    pub fn apply_caps(&mut self, routing: &RoutingTable, now: TimeMs) {
        let customers = routing.customers();
        let caps = customers
            .filter_map(|customer| Some((CustomerId::from_name(&customer.name), customer.cap?)));
        self.usage.set_caps(caps, now);
    }
}
