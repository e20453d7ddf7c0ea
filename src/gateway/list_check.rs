//! Confirms with the store that the list of servers and the record of their versions are current.
//!
//! A gateway that was suspended or cut off for a moment can't tell by itself that its list is old: what waits
//! in its sockets looks as fresh as ever. Only an answer to a call that was made since then shows it.

use {
    super::{
        Shared,
        clock::now,
        store::{MetadataStore, StoreError},
        store_polls::StoreCall,
        version_records, watch,
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::{sleep, timeout},
    },
};

/// The least time between two checks. Those who ask meanwhile get the answer of the next one.
const CHECK_SPACING: Duration = Duration::from_millis(20);

/// How much longer than a poll a check may take, as after this many failures: a busy gateway or a slow store
/// answers late, and a caller loses its stream otherwise.
const PATIENCE: u32 = 2;

/// Where a check is asked for.
pub type ListChecks = mpsc::UnboundedSender<oneshot::Sender<bool>>;
/// Those who wait for a check.
pub type AwaitedChecks = mpsc::UnboundedReceiver<oneshot::Sender<bool>>;

/// Starts the task that makes the checks.
pub fn spawn<S>(shared: &Rc<Shared>, store: &Rc<S>, awaited: AwaitedChecks)
where
    S: MetadataStore,
{
    ntex::rt::spawn(answer_checks(Rc::clone(shared), Rc::clone(store), awaited));
}

/// Makes the local list of servers and the record of their versions as new as the store's at some moment after
/// the call. Returns whether the store answered in time.
pub async fn confirm(shared: &Shared) -> bool {
    let (sender, answer) = oneshot::channel();
    if shared.list_checks.send(sender).is_err() {
        return false;
    }
    answer.await.unwrap_or(false)
}

async fn answer_checks<S>(shared: Rc<Shared>, store: Rc<S>, mut awaited: AwaitedChecks)
where
    S: MetadataStore,
{
    while let Some(first) = awaited.recv().await {
        let mut waiting = vec![first];
        while let Ok(next) = awaited.try_recv() {
            waiting.push(next);
        }
        let is_current = check(&shared, store.as_ref()).await;
        tracing::info!(
            is_current,
            waiting = waiting.len(),
            "list of servers checked"
        );
        metrics::counter!("cactusspur_list_checks_total").increment(1);
        for sender in waiting {
            // The caller may have left.
            let _ = sender.send(is_current);
        }
        sleep(CHECK_SPACING).await;
    }
}

async fn check<S>(shared: &Rc<Shared>, store: &S) -> bool
where
    S: MetadataStore,
{
    let limit_ms = shared
        .state
        .borrow()
        .store_polls
        .times()
        .answer_ms(PATIENCE);
    let reads = async {
        let (list, records) = tokio::join!(
            read_list(shared, store),
            version_records::read(shared, store)
        );
        list.and(records.map(|_| ()))
    };
    match timeout(Duration::from_millis(limit_ms.0), reads).await {
        Ok(Ok(())) => {
            shared.state.borrow_mut().record_store_success(now());
            true
        }
        Ok(Err(error)) => {
            tracing::info!(%error, "the list of servers can't be checked");
            false
        }
        Err(_) => {
            tracing::info!(
                limit_ms = limit_ms.0,
                "the store did not answer a check in time"
            );
            false
        }
    }
}

async fn read_list<S>(shared: &Rc<Shared>, store: &S) -> Result<(), StoreError>
where
    S: MetadataStore,
{
    let call = StoreCall::at_once(shared.state.borrow().store_polls.times(), PATIENCE);
    let table = shared.protocol.servers_table();
    watch::poll(shared, store, table, call).await.map(|_| ())
}
