//! Changes of the declarations, as entries that are set and entries that are removed.
//!
//! Processes exchange changes instead of whole declarations, so that the size of a message depends
//! on what was changed and not on the number of customers. Applying the change from `a` to `b`
//! ([`Change::between`]) to `a` ([`Change::apply`]) results in exactly `b`, in canonical order.

use {
    cactusspur_core::{Class, ClassId, Customer, CustomerId, Declarations, Model, ModelId},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A declared model, customer or class, which a change can set or remove by its id.
pub trait Entry: Clone + PartialEq {
    /// The type of the entry's id.
    type Id: Copy + Ord + fmt::Display;
    /// The name of this kind of entry, for operators.
    const KIND: &'static str;

    /// The id of this entry.
    fn entry_id(&self) -> Self::Id;

    /// The name of this entry, for operators.
    fn entry_name(&self) -> String;
}

impl Entry for Model {
    type Id = ModelId;
    const KIND: &'static str = "model";

    fn entry_id(&self) -> ModelId {
        self.id()
    }

    fn entry_name(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}/{adapter}", self.name),
            None => self.name.clone(),
        }
    }
}

impl Entry for Customer {
    type Id = CustomerId;
    const KIND: &'static str = "customer";

    fn entry_id(&self) -> CustomerId {
        self.id()
    }

    fn entry_name(&self) -> String {
        self.name.clone()
    }
}

impl Entry for Class {
    type Id = ClassId;
    const KIND: &'static str = "class";

    fn entry_id(&self) -> ClassId {
        self.id()
    }

    fn entry_name(&self) -> String {
        self.name.clone()
    }
}

/// The changes of the entries of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entries<T, K> {
    /// Entries that are added or replaced.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub set: Vec<T>,
    /// The ids of entries that are removed.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<K>,
}

impl<T, K> Default for Entries<T, K> {
    fn default() -> Self {
        Self {
            set: Vec::new(),
            remove: Vec::new(),
        }
    }
}

impl<T, K> Entries<T, K> {
    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.remove.is_empty()
    }
}

/// A change of the declarations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Changes of models.
    #[serde(default, skip_serializing_if = "Entries::is_empty")]
    pub models: Entries<Model, ModelId>,
    /// Changes of customers.
    #[serde(default, skip_serializing_if = "Entries::is_empty")]
    pub customers: Entries<Customer, CustomerId>,
    /// Changes of classes.
    #[serde(default, skip_serializing_if = "Entries::is_empty")]
    pub classes: Entries<Class, ClassId>,
}

/// The change doesn't fit the declarations that it was applied to.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the change removes {kind} {id}, which is not declared")]
pub struct ChangeError {
    /// The kind of the entry that isn't declared.
    pub kind: &'static str,
    /// The id of the entry that isn't declared.
    pub id: String,
}

impl Change {
    /// The change that leads from one state of the declarations to another.
    #[must_use]
    pub fn between(before: &Declarations, after: &Declarations) -> Self {
        Self {
            models: diff_entries(&before.models, &after.models),
            customers: diff_entries(&before.customers, &after.customers),
            classes: diff_entries(&before.classes, &after.classes),
        }
    }

    /// Whether the change has no effect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.models.is_empty() && self.customers.is_empty() && self.classes.is_empty()
    }

    /// The declarations after this change, in canonical order.
    ///
    /// # Errors
    ///
    /// Fails when the change removes an entry that is not in `before`.
    pub fn apply(&self, before: &Declarations) -> Result<Declarations, ChangeError> {
        Ok(Declarations {
            models: apply_to_entries(&before.models, &self.models)?,
            customers: apply_to_entries(&before.customers, &self.customers)?,
            classes: apply_to_entries(&before.classes, &self.classes)?,
        })
    }

    /// Describes the effect on `before` for operators, one line per entry.
    #[must_use]
    pub fn describe(&self, before: &Declarations) -> Vec<Description> {
        let mut lines = describe_entries(&before.models, &self.models);
        lines.extend(describe_entries(&before.customers, &self.customers));
        lines.extend(describe_entries(&before.classes, &self.classes));
        lines
    }
}

/// The effect of a change on one entry, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{action} {kind} {name}")]
pub struct Description {
    /// What happens to the entry.
    pub action: Action,
    /// The kind of the entry.
    pub kind: String,
    /// The name of the entry.
    pub name: String,
}

/// What happens to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The entry is added.
    #[display("+")]
    Add,
    /// The entry is replaced.
    #[display("~")]
    Replace,
    /// The entry is removed.
    #[display("-")]
    Remove,
}

/// Sorts declarations into canonical order: each kind by id. Equal declarations then have equal
/// bytes, in whatever order an operator wrote them.
#[must_use]
pub fn canonical(mut declarations: Declarations) -> Declarations {
    declarations.models.sort_by_key(Entry::entry_id);
    declarations.customers.sort_by_key(Entry::entry_id);
    declarations.classes.sort_by_key(Entry::entry_id);
    declarations
}

/// Hashes declarations: lower-case hexadecimal BLAKE3 of their canonical JSON.
///
/// # Panics
///
/// Never: declarations contain no map whose keys JSON can't represent.
#[must_use]
pub fn hash_declarations(declarations: &Declarations) -> String {
    let canonical = canonical(declarations.clone());
    let bytes = serde_json::to_vec(&canonical).expect("declarations can be written as JSON");
    blake3::hash(&bytes).to_hex().to_string()
}

fn sort_by_id<T>(entries: &[T]) -> Vec<&T>
where
    T: Entry,
{
    let mut sorted: Vec<&T> = entries.iter().collect();
    sorted.sort_by_key(|entry| entry.entry_id());
    sorted
}

fn find_by_id<'a, T>(sorted: &[&'a T], id: T::Id) -> Option<&'a T>
where
    T: Entry,
{
    let index = sorted.binary_search_by_key(&id, |entry| entry.entry_id());
    index.ok().map(|index| sorted[index])
}

fn diff_entries<T>(before: &[T], after: &[T]) -> Entries<T, T::Id>
where
    T: Entry,
{
    let before = sort_by_id(before);
    let after = sort_by_id(after);
    let set = after
        .iter()
        .filter(|entry| find_by_id(&before, entry.entry_id()) != Some(**entry))
        .map(|entry| (*entry).clone())
        .collect();
    let remove = before
        .iter()
        .map(|entry| entry.entry_id())
        .filter(|id| find_by_id(&after, *id).is_none())
        .collect();
    Entries { set, remove }
}

fn apply_to_entries<T>(before: &[T], change: &Entries<T, T::Id>) -> Result<Vec<T>, ChangeError>
where
    T: Entry,
{
    let before = sort_by_id(before);
    if let Some(id) = change
        .remove
        .iter()
        .find(|id| find_by_id(&before, **id).is_none())
    {
        return Err(ChangeError {
            kind: T::KIND,
            id: id.to_string(),
        });
    }
    let set = sort_by_id(&change.set);
    let unchanged = before
        .iter()
        .filter(|entry| !change.remove.contains(&entry.entry_id()))
        .filter(|entry| find_by_id(&set, entry.entry_id()).is_none());
    let mut after: Vec<T> = unchanged
        .chain(&set)
        .map(|entry| (*entry).clone())
        .collect();
    after.sort_by_key(Entry::entry_id);
    Ok(after)
}

fn describe_entries<T>(before: &[T], change: &Entries<T, T::Id>) -> Vec<Description>
where
    T: Entry,
{
    let before = sort_by_id(before);
    let describe = |action, name| Description {
        action,
        kind: T::KIND.to_owned(),
        name,
    };
    let set = change.set.iter().map(|entry| {
        let is_known = find_by_id(&before, entry.entry_id()).is_some();
        let action = if is_known {
            Action::Replace
        } else {
            Action::Add
        };
        describe(action, entry.entry_name())
    });
    let removed = change.remove.iter().map(|id| {
        let name = find_by_id(&before, *id).map_or_else(|| id.to_string(), Entry::entry_name);
        describe(Action::Remove, name)
    });
    set.chain(removed).collect()
}
