//! Takes a stream of events apart, so that only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// The largest event, in bytes. More than that is no event stream.
const MAX_EVENT_BYTES: usize = 262_144;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// An event is larger than any should be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an event of a stream is too large")]
pub struct EventTooLarge;

/// Collects bytes of a stream until they make whole events.
#[derive(Debug, Default)]
pub struct EventReader {
    unread: BytesMut,
    searched: usize,
}

impl EventReader {
    /// Takes further bytes in.
    ///
    /// # Errors
    ///
    /// When the event that they belong to is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.unread.extend_from_slice(bytes);
        if self.unread.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Whether bytes of an event that isn't whole are left.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.unread.is_empty()
    }
}

impl Iterator for EventReader {
    type Item = StreamEvent;

    fn next(&mut self) -> Option<StreamEvent> {
        let Some(end) = find_end(&self.unread, self.searched) else {
            // The blank line may be split between two pieces.
            self.searched = self.unread.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.unread.split_to(end).freeze();
        let id = read_id(&bytes);
        Some(StreamEvent { bytes, id })
    }
}

/// The position behind the first blank line.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else {
            None
        }
    })
}

fn read_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
