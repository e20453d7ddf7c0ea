//! Splits a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// The largest event, in bytes. Larger ones suggest that the body isn't an event stream.
const MAX_EVENT_BYTES: usize = 65_536;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes, including the blank line that ends it.
    pub bytes: Bytes,
    /// The number in the event's `id` field; `None` when it has no numeric id.
    pub id: Option<u64>,
}

impl StreamEvent {
    fn new(bytes: Bytes) -> Self {
        let id = read_id(&bytes);
        Self { bytes, id }
    }

    /// Whether the event consists of comments, which servers send to keep a connection open.
    #[must_use]
    pub fn is_comment(&self) -> bool {
        lines(&self.bytes).all(|line| matches!(line, [] | [b':', ..]))
    }

    /// Whether these are the lines of an event. Other bytes up to a blank line, such as the head of an error, are no
    /// part of the stream, nor is an event that they follow without a blank line.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let mut lines = lines(&self.bytes).filter(|line| !line.is_empty());
        let Some(first) = lines.next() else {
            return false;
        };
        let mut fields = lines.clone();
        let has_data = first.starts_with(b"data") || fields.any(|line| line.starts_with(b"data"));
        let all = std::iter::once(first).chain(lines.clone());
        let ids = all.filter(|line| line.starts_with(b"id:")).count();
        // A platform may put a field of its own first, with a number.
        let is_first_valid = is_field(first) || is_number_field(first);
        ids <= 1 && (self.id.is_some() || has_data) && is_first_valid && lines.all(is_field)
    }
}

/// The error of an event that exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an event of the stream exceeds the size limit")]
pub struct EventTooLarge;

/// Buffers the bytes of a stream and yields its complete events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// The number of leading bytes of the buffer that contain no end of an event.
    searched_bytes: usize,
}

impl EventReader {
    /// Appends bytes of the stream.
    ///
    /// # Errors
    ///
    /// When the buffer exceeds the size limit of an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// The next complete event, which stays in the buffer.
    #[must_use]
    pub fn peek(&self) -> Option<StreamEvent> {
        let end = find_end(&self.buffer, self.searched_bytes)?;
        let bytes = Bytes::copy_from_slice(&self.buffer[..end]);
        Some(StreamEvent::new(bytes))
    }

    /// Whether the buffer holds bytes that have not been yielded, such as those of an incomplete
    /// event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

impl Iterator for EventReader {
    type Item = StreamEvent;

    fn next(&mut self) -> Option<StreamEvent> {
        let Some(end) = find_end(&self.buffer, self.searched_bytes) else {
            // The bytes of the blank line may be split between two calls of `push`.
            self.searched_bytes = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched_bytes = 0;
        Some(StreamEvent::new(self.buffer.split_to(end).freeze()))
    }
}

/// The index after the first blank line that ends an event, searching from `from`.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|index| {
        let rest = &bytes[index..];
        if rest.starts_with(b"\n\n") {
            Some(index + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(index + 3)
        } else {
            None
        }
    })
}

/// The lines of an event without their ends.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> + Clone {
    let lines = event.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Whether a line is a comment or a field of an event stream.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next();
    matches!(name, Some(b"" | b"id" | b"event" | b"data" | b"retry"))
}

/// Whether a line is a field with a name of letters, digits and hyphens, and a number.
fn is_number_field(line: &[u8]) -> bool {
    let Some((name, value)) = std::str::from_utf8(line)
        .ok()
        .and_then(|l| l.split_once(':'))
    else {
        return false;
    };
    let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    !name.is_empty() && name.bytes().all(is_name_byte) && value.trim().parse::<u64>().is_ok()
}

/// The number in the event's `id` field.
fn read_id(event: &[u8]) -> Option<u64> {
    lines(event).find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
