//! Watches whether the store of kept KV cache answers, and whether it has started anew.
//!
//! Naming a store that is down costs a request some hundred milliseconds, so it is named only
//! while it answers.

use {
    super::{Shared, clock::now, dialect::KeptState},
    cactusspur_core::{DurationMs, gateway::kept_store},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// How long the store may hold a question. Held ones cost nothing.
const HELD_MS: DurationMs = DurationMs(1_000);
/// How long it may take beside that.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_300);
/// The wait before a store that did not answer is asked again.
const RETRY: Duration = Duration::from_millis(500);
/// The least time between two questions, so that a busy store isn't asked all the time.
const PAUSE: Duration = Duration::from_millis(600);
/// The largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1_048_576;

/// Starts to watch the store, as soon as a configuration names one.
pub fn spawn(shared: &Rc<Shared>) {
    ntex::rt::spawn(watch(Rc::clone(shared)));
}

async fn watch(shared: Rc<Shared>) {
    let mut last: Option<KeptState> = None;
    loop {
        let routing = shared.state.borrow().routing.clone();
        let Some(address) = routing.and_then(|routing| routing.kept_store()) else {
            sleep(RETRY).await;
            continue;
        };
        let since = last.map_or(0, |last| last.next);
        let told = ask(&shared, address, since).await;
        note(&shared, last, told);
        match told {
            Some(_) => sleep(PAUSE).await,
            None => sleep(RETRY).await,
        }
        last = told.or(last);
    }
}

async fn ask(shared: &Shared, address: SocketAddr, since: u64) -> Option<KeptState> {
    let request = shared.dialect.ask_kept(since, HELD_MS);
    let exchange = async {
        let reply = shared.links.send(address, request).await.ok()?;
        let read = reply.read(&shared.links, MAX_ANSWER_BYTES).await;
        shared.dialect.read_kept(&read.ok()?.1)
    };
    timeout(ANSWER_LIMIT, exchange).await.ok().flatten()
}

fn note(shared: &Shared, last: Option<KeptState>, told: Option<KeptState>) {
    let mut state = shared.state.borrow_mut();
    let answers = told.is_some();
    let restarted = match (last, told) {
        (Some(last), Some(told)) => last.incarnation != told.incarnation,
        _ => false,
    };
    if restarted || !answers {
        state.cached.forget(kept_store());
    }
    if state.kept_store_answers != answers || restarted {
        tracing::info!(
            answers,
            restarted,
            at_ms = now().0,
            "store of kept KV cache"
        );
    }
    state.kept_store_answers = answers;
}
