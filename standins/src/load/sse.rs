//! Reading a stream of server-sent events.

use {
    ntex::{client::ClientResponse, http::Payload},
    std::collections::VecDeque,
};

const DATA: &[u8] = b"data:";

/// The data lines of a response as they come.
pub(crate) struct DataLines {
    payload: Payload,
    pending: Vec<u8>,
    lines: VecDeque<Vec<u8>>,
}

impl DataLines {
    pub(crate) fn open(response: &ClientResponse) -> Self {
        Self {
            payload: response.take_payload(),
            pending: Vec::new(),
            lines: VecDeque::new(),
        }
    }

    /// The next data line, or none when the stream has ended or broken.
    pub(crate) async fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(line) = self.lines.pop_front() {
                return Some(line);
            }
            let part = self.payload.recv().await?.ok()?;
            self.pending.extend_from_slice(&part);
            self.split();
        }
    }

    /// Reads to the end of the stream, so that its connection can be used again.
    pub(crate) async fn drain(&mut self) {
        while matches!(self.payload.recv().await, Some(Ok(_))) {}
    }

    fn split(&mut self) {
        let Some(end) = self.pending.iter().rposition(|byte| *byte == b'\n') else {
            return;
        };
        let whole: Vec<u8> = self.pending.drain(..=end).collect();
        let lines = whole
            .split(|byte| *byte == b'\n')
            .filter_map(|line| line.strip_prefix(DATA))
            .map(|line| line.trim_ascii().to_vec());
        self.lines.extend(lines);
    }
}
