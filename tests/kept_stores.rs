//! What a gateway believes of the stores of kept KV cache.

use {
    cactusspur::gateway::kept_stores::{KeptStoreChange, KeptStoreStates},
    std::net::SocketAddr,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

const QUIET: KeptStoreChange = KeptStoreChange {
    is_availability_change: false,
    is_emptied: false,
};

#[test]
fn a_store_is_used_only_while_it_answers() {
    let mut kept = KeptStoreStates::default();
    assert!(!kept.is_available(address(1)), "nothing was heard of it");
    assert!(
        kept.record_answer(address(1), Some(7))
            .is_availability_change
    );
    assert!(kept.is_available(address(1)));
    assert!(!kept.is_available(address(2)));
    assert_eq!(kept.record_answer(address(1), Some(7)), QUIET);
    assert!(kept.record_answer(address(1), None).is_availability_change);
    assert!(!kept.is_available(address(1)));
}

#[test]
fn only_a_new_life_has_lost_what_it_held() {
    let mut kept = KeptStoreStates::default();
    assert!(!kept.record_answer(address(1), Some(7)).is_emptied);
    assert!(
        !kept.record_answer(address(1), None).is_emptied,
        "it may be cut off"
    );
    assert!(!kept.record_answer(address(1), Some(7)).is_emptied);
    kept.record_answer(address(1), None);
    let back = kept.record_answer(address(1), Some(8));
    assert!(back.is_emptied && back.is_availability_change);
}

#[test]
fn peers_are_told_only_what_was_asked_here() {
    let mut kept = KeptStoreStates::default();
    kept.record_answer(address(1), Some(7));
    kept.record_answer(address(2), Some(9));
    kept.set_watched(address(2), true);
    assert_eq!(kept.watched(), [(address(2), Some(9))]);
    kept.record_answer(address(2), None);
    assert_eq!(kept.watched(), [(address(2), None)]);
    kept.set_watched(address(2), false);
    assert!(kept.watched().is_empty());
}
