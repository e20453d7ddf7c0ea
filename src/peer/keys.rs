//! The keys that seal messages between entry VMs, and which of them each other one uses.

use {
    super::PeerKey,
    cactusspur_core::VecMap,
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
};

/// A key of a [`KeyRing`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyKind {
    /// The key of the settings.
    Own,
    /// The key that all entry VMs of a deployment read from a common place.
    Common,
}

#[derive(Debug)]
struct Keys {
    own: Rc<PeerKey>,
    common: Option<Rc<PeerKey>>,
    /// The key of the last message of each peer.
    used: VecMap<SocketAddr, KeyKind>,
}

/// The keys that this process accepts. Clones share them.
#[derive(Clone, Debug)]
pub struct KeyRing(Rc<RefCell<Keys>>);

impl From<PeerKey> for KeyRing {
    fn from(own: PeerKey) -> Self {
        Self(Rc::new(RefCell::new(Keys {
            own: Rc::new(own),
            common: None,
            used: VecMap::default(),
        })))
    }
}

impl KeyRing {
    /// Adds the common key.
    pub fn set_common(&self, key: PeerKey) {
        self.0.borrow_mut().common = Some(Rc::new(key));
    }

    /// Whether the common key is known.
    #[must_use]
    pub fn has_common(&self) -> bool {
        self.0.borrow().common.is_some()
    }

    /// The key for messages to a peer: the one that it used last, or the own one.
    #[must_use]
    pub fn of(&self, peer: SocketAddr) -> Rc<PeerKey> {
        let keys = self.0.borrow();
        let common = keys
            .common
            .as_ref()
            .filter(|_| keys.used.get(&peer) == Some(&KeyKind::Common));
        Rc::clone(common.unwrap_or(&keys.own))
    }

    /// The keys with the peers that are sent messages sealed with them. A peer that was never heard is sent
    /// messages with each key.
    #[must_use]
    pub fn divide(&self, peers: Vec<SocketAddr>) -> Vec<(Rc<PeerKey>, Vec<SocketAddr>)> {
        let keys = self.0.borrow();
        let receivers = |kind: KeyKind| {
            let used = |peer: &SocketAddr| keys.used.get(peer).copied();
            let matching = peers
                .iter()
                .filter(|peer| used(peer).is_none_or(|used| used == kind));
            matching.copied().collect::<Vec<_>>()
        };
        let Some(common) = &keys.common else {
            return vec![(Rc::clone(&keys.own), peers)];
        };
        let divided = [
            (Rc::clone(&keys.own), receivers(KeyKind::Own)),
            (Rc::clone(common), receivers(KeyKind::Common)),
        ];
        let divided = divided.into_iter().filter(|row| !row.1.is_empty());
        divided.collect()
    }

    /// Opens a message with the first key that fits. Returns that key, too.
    ///
    /// # Errors
    ///
    /// The error with the own key, if no key opens the message.
    pub fn open<M, E, F>(&self, open: F) -> Result<(M, Rc<PeerKey>), E>
    where
        F: Fn(&PeerKey) -> Result<M, E>,
    {
        let keys = self.0.borrow();
        let error = match open(&keys.own) {
            Ok(message) => return Ok((message, Rc::clone(&keys.own))),
            Err(error) => error,
        };
        let common = keys.common.as_ref();
        let opened = common.and_then(|key| Some((open(key).ok()?, Rc::clone(key))));
        opened.ok_or(error)
    }

    /// Records the key of a message of a peer. Returns whether the peer used another one before.
    #[must_use]
    pub fn record_used(&self, peer: SocketAddr, key: &Rc<PeerKey>) -> bool {
        let mut keys = self.0.borrow_mut();
        let kind = if Rc::ptr_eq(&keys.own, key) {
            KeyKind::Own
        } else {
            KeyKind::Common
        };
        let earlier = keys.used.insert(peer, kind);
        earlier.is_some_and(|earlier| earlier != kind)
    }
}
