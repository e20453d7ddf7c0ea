//! The known states of the KV cache stores.

use {
    cactusspur::gateway::kept_stores::{KeptStoreChange, KeptStoreStates},
    std::net::SocketAddr,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

const UNCHANGED: KeptStoreChange = KeptStoreChange {
    is_availability_change: false,
    is_emptied: false,
};

#[test]
fn a_store_is_used_only_while_it_answers() {
    let mut states = KeptStoreStates::default();
    assert!(
        !states.is_available(address(1)),
        "the store was never polled"
    );
    assert!(
        states
            .record_answer(address(1), Some(7))
            .is_availability_change
    );
    assert!(states.is_available(address(1)));
    assert!(!states.is_available(address(2)));
    assert_eq!(states.record_answer(address(1), Some(7)), UNCHANGED);
    assert!(
        states
            .record_answer(address(1), None)
            .is_availability_change
    );
    assert!(!states.is_available(address(1)));
}

#[test]
fn only_a_new_life_has_lost_what_it_held() {
    let mut states = KeptStoreStates::default();
    assert!(!states.record_answer(address(1), Some(7)).is_emptied);
    assert!(
        !states.record_answer(address(1), None).is_emptied,
        "the store may be unreachable but running"
    );
    assert!(!states.record_answer(address(1), Some(7)).is_emptied);
    states.record_answer(address(1), None);
    let change = states.record_answer(address(1), Some(8));
    assert!(change.is_emptied && change.is_availability_change);
}

#[test]
fn peers_are_told_only_what_was_asked_here() {
    let mut states = KeptStoreStates::default();
    states.record_answer(address(1), Some(7));
    states.record_answer(address(2), Some(9));
    states.set_watched(address(2), true);
    assert_eq!(states.watched(), [(address(2), Some(9))]);
    states.record_answer(address(2), None);
    assert_eq!(states.watched(), [(address(2), None)]);
    states.set_watched(address(2), false);
    assert!(states.watched().is_empty());
}
