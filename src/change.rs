//! A change of the declarations, as entries that are set and entries that are removed.
//!
//! A change travels between processes in place of the whole declarations, so that its size
//! follows what was changed and not the number of customers. Applying the change from `a` to `b`
//! to `a` gives exactly `b`, in canonical order: [`Change::between`] and [`Change::apply`].

use {
    cactusspur_core::{Class, ClassId, Customer, CustomerId, Declarations, Model, ModelId},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A declared thing that a change can set or remove by its id.
pub trait Entry: Clone + PartialEq {
    /// Its id.
    type Id: Copy + Ord + fmt::Display;
    /// The word that operators know this kind of thing by.
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

/// What a change does to the entries of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entries<T, K> {
    /// Entries that are added or replaced.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub set: Vec<T>,
    /// Entries that are removed.
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

/// A change does not belong to the declarations that it was applied to.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the change removes {kind} {id}, which is not declared")]
pub struct ChangeError {
    /// The kind of thing that it removes.
    pub kind: &'static str,
    /// The id of the thing that it removes.
    pub id: String,
}

impl Change {
    /// The change that leads from one state of the declarations to another.
    #[must_use]
    pub fn between(before: &Declarations, after: &Declarations) -> Self {
        Self {
            models: entries_between(&before.models, &after.models),
            customers: entries_between(&before.customers, &after.customers),
            classes: entries_between(&before.classes, &after.classes),
        }
    }

    /// Whether it changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.models.is_empty() && self.customers.is_empty() && self.classes.is_empty()
    }

    /// The declarations after this change, in canonical order.
    ///
    /// # Errors
    ///
    /// The change removes an entry that is not in `before`.
    pub fn apply(&self, before: &Declarations) -> Result<Declarations, ChangeError> {
        Ok(Declarations {
            models: entries_after(&before.models, &self.models)?,
            customers: entries_after(&before.customers, &self.customers)?,
            classes: entries_after(&before.classes, &self.classes)?,
        })
    }

    /// What it does to `before`, one line an entry, for operators.
    #[must_use]
    pub fn describe(&self, before: &Declarations) -> Vec<Description> {
        let mut lines = describe_entries(&before.models, &self.models);
        lines.extend(describe_entries(&before.customers, &self.customers));
        lines.extend(describe_entries(&before.classes, &self.classes));
        lines
    }
}

/// What a change does to one entry.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{action} {kind} {name}")]
pub struct Description {
    /// What is done.
    pub action: Action,
    /// The kind of thing that it is done to.
    pub kind: String,
    /// The name of the thing.
    pub name: String,
}

/// What a change does to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Adds it.
    #[display("+")]
    Add,
    /// Replaces it.
    #[display("~")]
    Replace,
    /// Removes it.
    #[display("-")]
    Remove,
}

/// Declarations in canonical order: each kind sorted by id. Equal declarations have equal bytes
/// then, whatever the order in which an operator wrote them.
#[must_use]
pub fn canonical(mut declarations: Declarations) -> Declarations {
    declarations.models.sort_by_key(Entry::entry_id);
    declarations.customers.sort_by_key(Entry::entry_id);
    declarations.classes.sort_by_key(Entry::entry_id);
    declarations
}

/// The hash of declarations: lower-case hexadecimal BLAKE3 of their canonical JSON.
///
/// # Panics
///
/// Never: declarations have no map with keys that JSON lacks.
#[must_use]
pub fn hash_declarations(declarations: &Declarations) -> String {
    let canonical = canonical(declarations.clone());
    let bytes = serde_json::to_vec(&canonical).expect("declarations can be written as JSON");
    blake3::hash(&bytes).to_hex().to_string()
}

fn sorted<T>(entries: &[T]) -> Vec<&T>
where
    T: Entry,
{
    let mut sorted: Vec<&T> = entries.iter().collect();
    sorted.sort_by_key(|entry| entry.entry_id());
    sorted
}

fn find<'a, T>(sorted: &[&'a T], id: T::Id) -> Option<&'a T>
where
    T: Entry,
{
    let at = sorted.binary_search_by_key(&id, |entry| entry.entry_id());
    at.ok().map(|at| sorted[at])
}

fn entries_between<T>(before: &[T], after: &[T]) -> Entries<T, T::Id>
where
    T: Entry,
{
    let before = sorted(before);
    let after = sorted(after);
    let set = after
        .iter()
        .filter(|entry| find(&before, entry.entry_id()) != Some(**entry))
        .map(|entry| (*entry).clone())
        .collect();
    let remove = before
        .iter()
        .map(|entry| entry.entry_id())
        .filter(|id| find(&after, *id).is_none())
        .collect();
    Entries { set, remove }
}

fn entries_after<T>(before: &[T], change: &Entries<T, T::Id>) -> Result<Vec<T>, ChangeError>
where
    T: Entry,
{
    let before = sorted(before);
    if let Some(id) = change
        .remove
        .iter()
        .find(|id| find(&before, **id).is_none())
    {
        return Err(ChangeError {
            kind: T::KIND,
            id: id.to_string(),
        });
    }
    let set = sorted(&change.set);
    let kept = before
        .iter()
        .filter(|entry| !change.remove.contains(&entry.entry_id()))
        .filter(|entry| find(&set, entry.entry_id()).is_none());
    let mut after: Vec<T> = kept.chain(&set).map(|entry| (*entry).clone()).collect();
    after.sort_by_key(Entry::entry_id);
    Ok(after)
}

fn describe_entries<T>(before: &[T], change: &Entries<T, T::Id>) -> Vec<Description>
where
    T: Entry,
{
    let before = sorted(before);
    let describe = |action, name| Description {
        action,
        kind: T::KIND.to_owned(),
        name,
    };
    let set = change.set.iter().map(|entry| {
        let known = find(&before, entry.entry_id()).is_some();
        let action = if known { Action::Replace } else { Action::Add };
        describe(action, entry.entry_name())
    });
    let removed = change.remove.iter().map(|id| {
        let name = find(&before, *id).map_or_else(|| id.to_string(), Entry::entry_name);
        describe(Action::Remove, name)
    });
    set.chain(removed).collect()
}
