//! A model of the table service: conditional writes, and calls that are slow, lost or unanswered.

use cactusspur_core::{Record, RecordAnswer, RecordCall, RecordKey, Row, RowVersion, VecMap};

/// How the table service behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableMode {
    Up,
    Slow,
    /// Calls have no effect.
    Down,
    /// Calls take effect; their answers are lost.
    AnswersLost,
    /// Calls take effect long after they have timed out.
    Late,
}

/// The rows of the table service.
#[derive(Debug, Default)]
pub struct TableModel {
    rows: VecMap<RecordKey, Row>,
    writes: u64,
}

impl TableModel {
    /// Executes a call.
    pub fn apply(&mut self, call: &RecordCall) -> RecordAnswer {
        match call {
            RecordCall::Read { key } => RecordAnswer::Read(self.rows.get(key).cloned()),
            RecordCall::Write {
                key,
                expected,
                record,
            } => self.write(key, *expected, record),
        }
    }

    fn write(
        &mut self,
        key: &RecordKey,
        expected: Option<RowVersion>,
        record: &Record,
    ) -> RecordAnswer {
        let current = self.rows.get(key);
        if current.map(|row| row.version) != expected {
            return RecordAnswer::Conflict(current.cloned());
        }
        self.writes += 1;
        let version = RowVersion(self.writes);
        let record = record.clone();
        self.rows.insert(key.clone(), Row { version, record });
        RecordAnswer::Written(version)
    }

    /// The row of a key, if present.
    pub fn row(&self, key: &RecordKey) -> Option<&Row> {
        self.rows.get(key)
    }
}
