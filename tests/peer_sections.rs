//! Messages of version 2, and which versions of messages gateways speak to each other.

use {
    bytes::Bytes,
    cactusspur::{
        gateway::peer_versions::PeerVersions,
        peer::{
            Announcement, MessageError, NEWEST_VERSION, PeerKey, SECTIONS_VERSION, SealedRequest,
            Section, VERSION, open_sections, seal_sections,
        },
    },
    cactusspur_core::{DurationMs, TimeMs},
    std::net::SocketAddr,
};

const START: TimeMs = TimeMs(1_000_000);

fn key() -> PeerKey {
    PeerKey::derive("a shared key of the tests, 32 bytes or more").expect("long enough")
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn announcement(number: u16, newest_version: u8) -> Announcement {
    Announcement {
        address: address(number),
        newest_version,
        is_question: true,
    }
}

fn seconds(count: u64) -> TimeMs {
    START.after(DurationMs(count * 1_000))
}

fn sealed(announcement: &Announcement) -> Bytes {
    seal_sections(&key(), &announcement.sections()).expect("sealed")
}

/// Guards against an announcement that a build can't read since a later one says more in it.
#[test]
fn what_a_later_build_adds_to_an_announcement_is_skipped() {
    let expected = announcement(1, 7);
    let mut sections = vec![Section {
        tag: 900,
        bytes: Bytes::from_static(b"unknown"),
    }];
    sections.extend(expected.sections());
    let version = sections.iter_mut().find(|section| section.bytes[..] == [7]);
    version.expect("a version").bytes = Bytes::from_static(&[7, 3, 1]);
    let sealed = seal_sections(&key(), &sections).expect("sealed");
    let read = open_sections(&key(), &sealed).and_then(|sections| Announcement::read(&sections));
    assert_eq!(read, Ok(expected));
}

/// Guards against a datagram that is changed, cut short or badly encoded, and taken as it is or with a panic.
#[test]
fn every_changed_or_cut_announcement_is_rejected() {
    let sealed = sealed(&announcement(1, 2));
    for index in 0..sealed.len() {
        let mut changed = sealed.to_vec();
        changed[index] ^= 1;
        assert!(open_sections(&key(), &Bytes::from(changed)).is_err());
        assert!(open_sections(&key(), &sealed.slice(..index)).is_err());
    }
    let rejected = Announcement::read(&[]);
    assert_eq!(rejected, Err(MessageError::Malformed));
    let large = Section {
        tag: 1,
        bytes: vec![0; 1_200].into(),
    };
    assert_eq!(seal_sections(&key(), &[large]), Err(MessageError::Size));
}

/// Guards against an announcement that a build which reads version 1 alone takes for something else.
#[test]
fn builds_that_read_version_1_alone_drop_announcements() {
    let opened = SealedRequest::from(sealed(&announcement(1, 2))).open(&key());
    let version = SECTIONS_VERSION;
    assert_eq!(opened, Err(MessageError::Version { version }));
}

/// Guards against additions that are sent to a gateway that doesn't read them.
#[test]
fn a_gateway_speaks_version_1_to_those_that_announced_nothing_lately() {
    let mut versions = PeerVersions::default();
    let running = || (1..=3).map(address);
    versions.next_question(running(), START);
    assert_eq!(versions.common(address(1), START), VERSION);
    assert!(versions.record(&announcement(1, NEWEST_VERSION), START));
    assert!(!versions.record(&announcement(1, NEWEST_VERSION), START));
    assert!(versions.record(&announcement(2, NEWEST_VERSION + 5), START));
    assert!(versions.record(&announcement(3, 0), START));
    assert_eq!(versions.common(address(1), START), NEWEST_VERSION);
    assert_eq!(versions.common(address(2), START), NEWEST_VERSION);
    assert_eq!(versions.common(address(3), START), VERSION);
    assert_eq!(versions.common(address(4), START), VERSION);
    assert_eq!(versions.common(address(1), seconds(60)), VERSION);
    // Another build may run at the address of one that was silent.
    versions.record(&announcement(1, NEWEST_VERSION), seconds(61));
    versions.next_question([address(2)], seconds(62));
    versions.next_question(running(), seconds(63));
    assert_eq!(versions.common(address(1), seconds(63)), VERSION);
}

/// Guards against questions that grow with the fleet, and against a gateway that is never asked.
#[test]
fn one_gateway_at_a_time_is_asked_and_each_in_turn() {
    for (count, asked_in_a_minute) in [(1, 3), (5, 15), (300, 60)] {
        let mut versions = PeerVersions::default();
        let mut asked: Vec<SocketAddr> = Vec::new();
        for second in 0..60 {
            asked.extend(versions.next_question((1..=count).map(address), seconds(second)));
        }
        assert_eq!(asked.len(), asked_in_a_minute);
        asked.sort_unstable();
        asked.dedup();
        assert_eq!(asked.len(), usize::from(count).min(60));
    }
}

/// Guards against announcements that no longer count before a large fleet was asked again.
#[test]
fn an_announcement_counts_until_all_others_were_asked() {
    let mut versions = PeerVersions::default();
    for second in 0..300 {
        let asked = versions.next_question((1..=300).map(address), seconds(second));
        let asked = asked.expect("a question");
        let known = Announcement {
            address: asked,
            ..announcement(0, NEWEST_VERSION)
        };
        versions.record(&known, seconds(second));
    }
    assert_eq!(versions.common(address(1), seconds(300)), NEWEST_VERSION);
}

/// Guards against a log that fills with messages of a newer build.
#[test]
fn messages_of_unknown_versions_are_logged_now_and_then() {
    let mut versions = PeerVersions::default();
    let logged = (0..120).filter(|second| versions.should_log_unknown(seconds(*second)));
    assert_eq!(logged.count(), 2);
}
