//! Short notices of the gateways that poll the store: that they still do, and what they know.
//!
//! A change is announced to the failure domain, and to some gateways of each other one: a domain whose own
//! poller has failed gets it from there.

use {
    super::{
        Shared,
        clock::now,
        notice::{Notice, StatusNotice},
        watch::Source,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Gateways of each other failure domain that are told of a change.
const RECEIVERS_PER_DOMAIN: usize = 2;
/// Gateways of other failure domains that are sent each short notice.
const MAX_REMOTE_RECEIVERS: usize = 3;

/// Starts the task that sends short notices while this gateway polls the store.
pub fn spawn(shared: &Rc<Shared>) {
    ntex::rt::spawn(send_periodically(Rc::clone(shared)));
}

async fn send_periodically(shared: Rc<Shared>) {
    let period_ms = shared
        .state
        .borrow()
        .store_polls
        .times()
        .heartbeat_period_ms();
    loop {
        sleep(Duration::from_millis(period_ms.0)).await;
        let is_polling = shared.state.borrow().watch_duty.is_polling();
        metrics::gauge!("cactusspur_store_poller").set(if is_polling { 1.0 } else { 0.0 });
        if is_polling {
            send(&shared);
        }
    }
}

/// Tells the failure domain, and a few gateways of others, whether this gateway polls the store and what it
/// knows.
pub fn send(shared: &Shared) {
    let now = now();
    let state = shared.state.borrow();
    let own = state.peers.own();
    let versions = state.replica.newest_versions();
    let earlier_versions = shared.peers.exchange_versions(versions.clone());
    // In a large fleet members get a change from each other, which takes a moment.
    let is_large_fleet = state.peers.is_large_fleet(now);
    let status = StatusNotice {
        name: own.name.clone(),
        domain: own.domain.clone(),
        store_age_ms: state.poll_age_ms(now),
        newest_versions: if is_large_fleet {
            earlier_versions
        } else {
            versions
        },
        is_stopping: shared.is_stopping(),
        out_of_reach: state.reach.lost_keys(),
        ..StatusNotice::default()
    };
    let notice = Notice {
        address: Some(own.address),
        decode_heavy_requests: state.decode_heavy_requests,
        status: Some(status),
        ..Notice::default()
    };
    let mut receivers: Vec<SocketAddr> = state.peers.domain_addresses().collect();
    let mut remote = state.peers.remote_receivers(1, rand::random(), now);
    while remote.len() > MAX_REMOTE_RECEIVERS {
        remote.swap_remove(rand::random_range(0..remote.len()));
    }
    receivers.extend(remote);
    drop(state);
    shared.peers.send_to(notice, receivers.iter());
}

/// Announces that a table has changed: in this failure domain to all gateways, or in a large fleet to those
/// that this gateway hands tables to; and to some of each other domain if the store told the change. They
/// pull it, so that not all of them call the store.
pub fn announce_change(shared: &Shared, source: Source) {
    let now = now();
    let state = shared.state.borrow();
    let mut receivers: Vec<SocketAddr> = if state.peers.is_large_fleet(now) {
        state.peers.children(source != Source::Domain, now)
    } else {
        state.peers.domain_addresses().collect()
    };
    if source == Source::Store {
        let remote = state
            .peers
            .remote_receivers(RECEIVERS_PER_DOMAIN, rand::random(), now);
        receivers.extend(remote);
    }
    drop(state);
    shared.peers.announce_to(shared, &receivers);
}
