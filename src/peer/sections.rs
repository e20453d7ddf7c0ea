//! Messages of version 2: a sealed list of sections, each with a tag and a length.
//!
//! Messages of version 1 are `bincode` and can't change. What a build has to say beyond them goes into
//! sections: a reader skips those whose tags it doesn't know. Builds that read version 1 alone drop
//! messages of other versions.
//!
//! A sealed message consists of the version byte, 32 bytes of keyed BLAKE3 over the version and the body,
//! and the body: for each section a tag and a length of two bytes, most significant first, and the bytes.

use {
    super::{MessageError, PeerKey, message::keyed_hash},
    bytes::{Buf, BufMut, Bytes, BytesMut},
    std::net::SocketAddr,
};

/// The version of messages that consist of sections.
pub const SECTIONS_VERSION: u8 = 2;
/// The newest version of messages that this build reads. It reads all from 1 on.
pub const NEWEST_VERSION: u8 = SECTIONS_VERSION;
/// The maximum size of a sealed message, so that it fits into a packet.
pub const MAX_SECTIONS_BYTES: usize = 1_200;
const HEADER_BYTES: usize = 1 + blake3::OUT_LEN;
const SECTION_HEADER_BYTES: usize = 4;

const ADDRESS_TAG: u16 = 1;
const NEWEST_VERSION_TAG: u16 = 2;
const QUESTION_TAG: u16 = 3;

/// A part of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// What the part is about.
    pub tag: u16,
    /// The contents.
    pub bytes: Bytes,
}

/// Seals sections as a message.
///
/// # Errors
///
/// [`MessageError::Size`] if the sealed message is larger than allowed.
pub fn seal_sections(key: &PeerKey, sections: &[Section]) -> Result<Bytes, MessageError> {
    let mut body = BytesMut::new();
    for section in sections {
        let length = u16::try_from(section.bytes.len()).map_err(|_| MessageError::Size)?;
        body.put_u16(section.tag);
        body.put_u16(length);
        body.put_slice(&section.bytes);
    }
    if HEADER_BYTES + body.len() > MAX_SECTIONS_BYTES {
        return Err(MessageError::Size);
    }
    let mut bytes = BytesMut::with_capacity(HEADER_BYTES + body.len());
    bytes.put_u8(SECTIONS_VERSION);
    bytes.put_slice(keyed_hash(key.sections(), SECTIONS_VERSION, &body).as_bytes());
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Verifies a sealed message and returns its sections.
///
/// # Errors
///
/// The reason why the message is rejected.
pub fn open_sections(key: &PeerKey, sealed: &Bytes) -> Result<Vec<Section>, MessageError> {
    if sealed.len() > MAX_SECTIONS_BYTES {
        return Err(MessageError::Size);
    }
    let mut body = sealed.clone();
    if body.len() < HEADER_BYTES {
        return Err(MessageError::Malformed);
    }
    let version = body.get_u8();
    if version != SECTIONS_VERSION {
        return Err(MessageError::Version { version });
    }
    let hash = body.split_to(blake3::OUT_LEN);
    if keyed_hash(key.sections(), version, &body) != *hash {
        return Err(MessageError::Key);
    }
    let mut sections = Vec::new();
    while !body.is_empty() {
        if body.len() < SECTION_HEADER_BYTES {
            return Err(MessageError::Malformed);
        }
        let tag = body.get_u16();
        let length = usize::from(body.get_u16());
        if body.len() < length {
            return Err(MessageError::Malformed);
        }
        let bytes = body.split_to(length);
        sections.push(Section { tag, bytes });
    }
    Ok(sections)
}

/// Tells another gateway which messages the sender reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The address at which the sender listens for peers.
    pub address: SocketAddr,
    /// The newest version of messages that it reads, besides all earlier ones.
    pub newest_version: u8,
    /// Whether it asks for the receiver's announcement.
    pub is_question: bool,
}

impl Announcement {
    /// The sections of the message.
    #[must_use]
    pub fn sections(&self) -> Vec<Section> {
        let section = |tag, bytes| Section { tag, bytes };
        let question = section(QUESTION_TAG, Bytes::new());
        [
            section(ADDRESS_TAG, self.address.to_string().into()),
            section(
                NEWEST_VERSION_TAG,
                Bytes::copy_from_slice(&[self.newest_version]),
            ),
        ]
        .into_iter()
        .chain(self.is_question.then_some(question))
        .collect()
    }

    /// Reads the announcement in a message. Unknown sections are skipped, and so are bytes after the
    /// known ones of a section.
    ///
    /// # Errors
    ///
    /// [`MessageError::Malformed`] if the address or the version is missing.
    pub fn read(sections: &[Section]) -> Result<Self, MessageError> {
        let find = |tag| sections.iter().find(|section| section.tag == tag);
        let address = find(ADDRESS_TAG).and_then(|section| {
            let text = std::str::from_utf8(&section.bytes).ok()?;
            text.parse().ok()
        });
        let newest_version = find(NEWEST_VERSION_TAG).and_then(|section| section.bytes.first());
        Ok(Self {
            address: address.ok_or(MessageError::Malformed)?,
            newest_version: *newest_version.ok_or(MessageError::Malformed)?,
            is_question: find(QUESTION_TAG).is_some(),
        })
    }
}
