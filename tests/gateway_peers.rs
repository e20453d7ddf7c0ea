//! Whom notices go to.

use {
    cactusspur::gateway::notice::{Notice, Peers, Receivers, StatusNotice},
    cactusspur_core::{DurationMs, TimeMs},
    std::{collections::BTreeSet, net::SocketAddr},
};

const NOW: TimeMs = TimeMs(1_000_000);

fn address(number: usize) -> SocketAddr {
    let port = u16::try_from(7_000 + number).expect("few peers");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn hear(peers: &mut Peers, number: usize, domain: &str, now: TimeMs) {
    let status = StatusNotice {
        name: format!("entry-{number}"),
        domain: domain.to_owned(),
        ..StatusNotice::default()
    };
    let notice = Notice {
        address: Some(address(number)),
        status: Some(status),
        ..Notice::default()
    };
    peers.record_notice(address(number), &notice, now);
}

/// Peers 0 to 3 in one domain, 4 to 7 in another, 8 and 9 in a third.
fn peers() -> Peers {
    let mut peers = Peers::default();
    for (number, domain) in ["north"; 4]
        .into_iter()
        .chain(["south"; 4])
        .chain(["west"; 2])
        .enumerate()
    {
        hear(&mut peers, number, domain, NOW);
    }
    peers
}

fn addresses<N>(numbers: N) -> Vec<SocketAddr>
where
    N: IntoIterator<Item = usize>,
{
    numbers.into_iter().map(address).collect()
}

/// Pattern: many entry VMs. Only one datagram goes to a large failure domain.
#[test]
fn one_peer_passes_on_in_each_large_domain() {
    let told = peers().receivers("north", 2, NOW);
    assert_eq!(told.direct, addresses([0, 1, 2, 3, 8, 9]));
    assert_eq!(told.relays, [address(6)]);
}

#[test]
fn draws_choose_all_in_turn() {
    let peers = peers();
    let drawn = (0..40).flat_map(|draw| peers.receivers("north", draw, NOW).relays);
    assert_eq!(drawn.collect::<BTreeSet<_>>().len(), 4);
}

/// A peer that isn't heard any more passes nothing on; when few are left, each is told itself.
#[test]
fn silent_peers_pass_nothing_on() {
    let mut peers = peers();
    let later = NOW.after(DurationMs(5_000));
    for number in 4..7 {
        hear(&mut peers, number, "south", later);
    }
    let drawn = (0..40).flat_map(|draw| peers.receivers("north", draw, later).relays);
    assert!(drawn.into_iter().all(|drawn| drawn != address(7)));
    let much_later = NOW.after(DurationMs(12_000));
    hear(&mut peers, 4, "south", much_later);
    let told = peers.receivers("north", 0, much_later);
    assert!(told.relays.is_empty());
    assert!(
        addresses(4..8)
            .iter()
            .all(|south| told.direct.contains(south))
    );
}

#[test]
fn peers_of_unknown_domains_are_told_themselves() {
    let mut peers = Peers::default();
    for number in 0..5 {
        peers.add(address(number));
    }
    let told = peers.receivers("north", 0, NOW);
    let expected = Receivers {
        direct: addresses(0..5),
        relays: Vec::new(),
    };
    assert_eq!(told, expected);
}

/// Each gateway counts those before it, so that the places of all differ.
#[test]
fn gateways_agree_on_an_order() {
    let mut places = BTreeSet::new();
    for own in 0..5 {
        let mut others = Peers::default();
        for number in (0..5).filter(|number| *number != own) {
            hear(&mut others, number, "north", NOW);
        }
        places.insert(others.count_running_before(&format!("entry-{own}"), 7, NOW));
    }
    assert_eq!(places, (0..5).collect());
}
