//! A platform in memory, with the faults that the tests choose.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    cactusspur::{
        configuration_log::Store,
        platform::{PlatformError, ValueRow, WriteOutcome},
    },
    cactusspur_core::{RowVersion, VecMap},
    error_stack::Report,
    serde_json::Value,
    std::{cell::RefCell, rc::Rc},
};

/// What happens to the next calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is refused.
    Refuse,
    /// The call takes effect and its answer is lost.
    LoseAnswer,
    /// The call is lost.
    LoseCall,
}

#[derive(Debug, Default)]
struct State {
    rows: VecMap<String, ValueRow>,
    objects: VecMap<String, Vec<u8>>,
    faults: Vec<Fault>,
    objects_down: bool,
    down: bool,
}

/// A platform in memory. Clones are handles of the same one.
#[derive(Clone, Debug, Default)]
pub struct FakeStore(Rc<RefCell<State>>);

impl FakeStore {
    /// Sets what happens to the next writes, the first first.
    pub fn fail_writes(&self, faults: &[Fault]) {
        self.0.borrow_mut().faults = faults.iter().rev().copied().collect();
    }

    /// Takes the object store down, or up.
    pub fn set_objects_down(&self, down: bool) {
        self.0.borrow_mut().objects_down = down;
    }

    /// Takes all of it down, or up.
    pub fn set_down(&self, down: bool) {
        self.0.borrow_mut().down = down;
    }

    /// Puts a row as it is.
    pub fn put(&self, key: &str, value: Value) {
        let version = RowVersion(1);
        let row = ValueRow { version, value };
        self.0.borrow_mut().rows.insert(key.to_owned(), row);
    }

    /// Takes a row out.
    pub fn remove(&self, key: &str) {
        self.0.borrow_mut().rows.remove(&key.to_owned());
    }
}

impl Store for FakeStore {
    async fn read_row(&self, key: &str) -> Result<Option<ValueRow>, Report<PlatformError>> {
        let state = self.0.borrow();
        if state.down {
            return Err(Report::new(PlatformError::NoAnswer));
        }
        Ok(state.rows.get(&key.to_owned()).cloned())
    }

    async fn write_row(
        &self,
        key: &str,
        expected: Option<RowVersion>,
        value: &Value,
    ) -> Result<WriteOutcome, Report<PlatformError>> {
        let mut state = self.0.borrow_mut();
        if state.down {
            return Err(Report::new(PlatformError::NoAnswer));
        }
        let fault = state.faults.pop();
        match fault {
            Some(Fault::Refuse) => return Err(Report::new(PlatformError::Refused)),
            Some(Fault::LoseCall) => return Err(Report::new(PlatformError::NoAnswer)),
            Some(Fault::LoseAnswer) | None => {}
        }
        let standing = state.rows.get(&key.to_owned()).cloned();
        if standing.as_ref().map(|row| row.version) != expected {
            return Ok(WriteOutcome::Conflict(standing));
        }
        let version = RowVersion(expected.map_or(1, |version| version.0 + 1));
        let value = value.clone();
        state
            .rows
            .insert(key.to_owned(), ValueRow { version, value });
        if fault == Some(Fault::LoseAnswer) {
            return Err(Report::new(PlatformError::NoAnswer));
        }
        Ok(WriteOutcome::Written(version))
    }

    async fn read_object(&self, key: &str) -> Result<Option<Vec<u8>>, Report<PlatformError>> {
        let state = self.0.borrow();
        if state.objects_down {
            return Err(Report::new(PlatformError::NoAnswer));
        }
        Ok(state.objects.get(&key.to_owned()).cloned())
    }

    async fn write_object(&self, key: &str, content: Vec<u8>) -> Result<(), Report<PlatformError>> {
        let mut state = self.0.borrow_mut();
        if state.objects_down {
            return Err(Report::new(PlatformError::NoAnswer));
        }
        state.objects.insert(key.to_owned(), content);
        Ok(())
    }
}
