//! What a gateway believes of the stores of kept KV cache.

use {
    cactusspur::gateway::kept::{KeptBeliefs, KeptChange},
    std::net::SocketAddr,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

const QUIET: KeptChange = KeptChange {
    is_turn: false,
    is_emptied: false,
};

#[test]
fn a_store_is_used_only_while_it_answers() {
    let mut kept = KeptBeliefs::default();
    assert!(!kept.answers(address(1)), "nothing was heard of it");
    assert!(kept.note(address(1), Some(7)).is_turn);
    assert!(kept.answers(address(1)));
    assert!(!kept.answers(address(2)));
    assert_eq!(kept.note(address(1), Some(7)), QUIET);
    assert!(kept.note(address(1), None).is_turn);
    assert!(!kept.answers(address(1)));
}

#[test]
fn only_a_new_life_has_lost_what_it_held() {
    let mut kept = KeptBeliefs::default();
    assert!(!kept.note(address(1), Some(7)).is_emptied);
    assert!(!kept.note(address(1), None).is_emptied, "it may be cut off");
    assert!(!kept.note(address(1), Some(7)).is_emptied);
    kept.note(address(1), None);
    let back = kept.note(address(1), Some(8));
    assert!(back.is_emptied && back.is_turn);
}

#[test]
fn peers_are_told_only_what_was_asked_here() {
    let mut kept = KeptBeliefs::default();
    kept.note(address(1), Some(7));
    kept.note(address(2), Some(9));
    kept.set_watched(address(2), true);
    assert_eq!(kept.watched(), [(address(2), Some(9))]);
    kept.note(address(2), None);
    assert_eq!(kept.watched(), [(address(2), None)]);
    kept.set_watched(address(2), false);
    assert!(kept.watched().is_empty());
}
