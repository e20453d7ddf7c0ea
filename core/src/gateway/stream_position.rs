//! Which event of a stream comes next, whichever servers send it.
//!
//! Ids increase over the whole stream, and a server that resumes it goes on behind the last one. Only they
//! tell what the caller has.

use derive_more::{Display, Error};

/// Why an event isn't the next one of its server's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum OutOfOrder {
    /// Other events of the stream have ids.
    #[display("an event without an id in a stream that has ids")]
    NoId,
    /// The id doesn't exceed that of the event before it.
    #[display("the ids of the events do not increase")]
    NotIncreasing,
}

/// Where a stream stands over all servers that send it, by the ids of its events.
#[derive(Clone, Copy, Debug)]
pub struct StreamPosition {
    /// The id of the last event that the caller has.
    last_event: Option<u64>,
    /// The id of the last event of the server that sends now.
    last_of_server: Option<u64>,
    has_unnumbered: bool,
}

/// What the position of a stream says of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPlace {
    /// The caller gets it.
    Next,
    /// The caller has it.
    Repeated,
}

impl StreamPosition {
    /// The position behind the event with the id `last_event`, or before the first one.
    #[must_use]
    pub const fn after(last_event: Option<u64>) -> Self {
        Self {
            last_event,
            last_of_server: None,
            has_unnumbered: false,
        }
    }

    /// The id of the last event that the caller has.
    #[must_use]
    pub const fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether another server can be told where to go on.
    #[must_use]
    pub const fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Whether the server that sends now has sent less than the caller has, so that its end isn't the stream's.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.last_of_server.is_some() && self.last_of_server < self.last_event
    }

    /// Another server goes on with the stream.
    pub const fn change_server(&mut self) {
        self.last_of_server = None;
    }

    /// Advances to an event, and says whether the caller gets it.
    ///
    /// # Errors
    ///
    /// When the event can't belong to the stream.
    pub fn advance(&mut self, id: Option<u64>) -> Result<EventPlace, OutOfOrder> {
        let Some(id) = id else {
            if self.last_event.is_some() {
                return Err(OutOfOrder::NoId);
            }
            self.has_unnumbered = true;
            return Ok(EventPlace::Next);
        };
        if self.last_of_server.is_some_and(|last| id <= last) {
            return Err(OutOfOrder::NotIncreasing);
        }
        self.last_of_server = Some(id);
        if self.last_event.is_some_and(|last| id <= last) {
            return Ok(EventPlace::Repeated);
        }
        self.last_event = Some(id);
        Ok(EventPlace::Next)
    }
}
