//! A timer service that sends the current time to its subscribers at their chosen periods.

use {
    cactusspur_core::{DurationMs, TimeMs},
    futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded},
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::time::sleep,
};

/// The resolution of the timer; shorter periods are not kept.
pub const RESOLUTION_MS: DurationMs = DurationMs(20);

struct Subscription {
    period_ms: DurationMs,
    due_at_ms: TimeMs,
    ticks: UnboundedSender<TimeMs>,
}

/// A handle to a running timer service. Clones share the service, which is bound to one thread.
#[derive(Clone)]
pub struct Timer {
    subscriptions: Rc<RefCell<Vec<Subscription>>>,
}

impl Timer {
    /// Starts the service on this thread's runtime.
    #[must_use]
    pub fn spawn() -> Self {
        let timer = Self {
            subscriptions: Rc::default(),
        };
        let subscriptions = Rc::clone(&timer.subscriptions);
        ntex::rt::spawn(async move {
            loop {
                sleep(Duration::from_millis(RESOLUTION_MS.0)).await;
                send_due_ticks(&mut subscriptions.borrow_mut(), now());
            }
        });
        timer
    }

    /// Sends the time every `period_ms` until the receiver is dropped. When ticks are late, the
    /// periods that were missed are skipped: one tick is sent, not one for each of them.
    #[must_use]
    pub fn subscribe(&self, period_ms: DurationMs) -> UnboundedReceiver<TimeMs> {
        let (ticks, receiver) = unbounded();
        let due_at_ms = now().after(period_ms);
        self.subscriptions.borrow_mut().push(Subscription {
            period_ms,
            due_at_ms,
            ticks,
        });
        receiver
    }
}

fn send_due_ticks(subscriptions: &mut Vec<Subscription>, now: TimeMs) {
    subscriptions.retain_mut(|subscription| {
        if subscription.due_at_ms > now {
            return !subscription.ticks.is_closed();
        }
        subscription.due_at_ms = now.after(subscription.period_ms);
        subscription.ticks.unbounded_send(now).is_ok()
    });
}

/// The current time by this machine's clock.
#[must_use]
pub fn now() -> TimeMs {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    TimeMs(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
