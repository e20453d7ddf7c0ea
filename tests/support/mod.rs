//! An in-memory platform with injected faults.

#![allow(dead_code, reason = "each test file uses a part of this module")]

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

/// The fault of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is refused.
    Refuse,
    /// The call takes effect, but its response is lost.
    LoseAnswer,
    /// The call is lost before it takes effect.
    LoseCall,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: VecMap<String, ValueRow>,
    objects: VecMap<String, Vec<u8>>,
    faults: Vec<Fault>,
    objects_down: bool,
    down: bool,
}

/// An in-memory platform. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct FakeStore(Rc<RefCell<StoreState>>);

impl FakeStore {
    /// Sets the faults of the next writes, in their order.
    pub fn fail_writes(&self, faults: &[Fault]) {
        self.0.borrow_mut().faults = faults.iter().rev().copied().collect();
    }

    /// Sets whether the object store is unreachable.
    pub fn set_objects_down(&self, down: bool) {
        self.0.borrow_mut().objects_down = down;
    }

    /// Sets whether the table service is unreachable.
    pub fn set_down(&self, down: bool) {
        self.0.borrow_mut().down = down;
    }

    /// Stores a row without conditions.
    pub fn put(&self, key: &str, value: Value) {
        let version = RowVersion(1);
        let row = ValueRow { version, value };
        self.0.borrow_mut().rows.insert(key.to_owned(), row);
    }

    /// Removes a row.
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
        let stored = state.rows.get(&key.to_owned()).cloned();
        if stored.as_ref().map(|row| row.version) != expected {
            return Ok(WriteOutcome::Conflict(stored));
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
