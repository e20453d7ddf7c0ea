//! The table service: conditional rows, slow, unreachable, or losing answers.

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
    /// Calls take effect long after the caller has given up.
    Late,
}

/// The rows.
#[derive(Debug, Default)]
pub struct TableModel {
    rows: VecMap<RecordKey, Row>,
    writes: u64,
}

impl TableModel {
    /// Carries a call out.
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
        let standing = self.rows.get(key);
        if standing.map(|row| row.version) != expected {
            return RecordAnswer::Conflict(standing.cloned());
        }
        self.writes += 1;
        let version = RowVersion(self.writes);
        let record = record.clone();
        self.rows.insert(key.clone(), Row { version, record });
        RecordAnswer::Written(version)
    }

    /// The row, if there is one.
    pub fn row(&self, key: &RecordKey) -> Option<&Row> {
        self.rows.get(key)
    }
}
