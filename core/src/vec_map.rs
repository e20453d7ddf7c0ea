//! A table of entities: a vector sorted by key, searched by bisection.

/// Rows sorted by key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VecMap<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for VecMap<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K, V> FromIterator<(K, V)> for VecMap<K, V>
where
    K: Ord,
{
    fn from_iter<I>(rows: I) -> Self
    where
        I: IntoIterator<Item = (K, V)>,
    {
        let mut rows: Vec<(K, V)> = rows.into_iter().collect();
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        rows.dedup_by(|later, earlier| later.0 == earlier.0);
        Self { rows }
    }
}

impl<K, V> VecMap<K, V>
where
    K: Ord,
{
    fn search(&self, key: &K) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.0.cmp(key))
    }

    /// The row with this key.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        self.search(key).ok().map(|at| &self.rows[at].1)
    }

    /// The row with this key, to change.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.search(key).ok().map(|at| &mut self.rows[at].1)
    }

    /// Whether there is a row with this key.
    #[must_use]
    pub fn contains(&self, key: &K) -> bool {
        self.search(key).is_ok()
    }

    /// Puts a row in and gives back the one that it replaces.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.search(&key) {
            Ok(at) => Some(std::mem::replace(&mut self.rows[at].1, value)),
            Err(at) => {
                self.rows.insert(at, (key, value));
                None
            }
        }
    }

    /// Takes a row out.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.search(key).ok().map(|at| self.rows.remove(at).1)
    }

    /// The row with this key, made by `make` when there is none.
    pub fn get_or_insert_with<F>(&mut self, key: K, make: F) -> &mut V
    where
        F: FnOnce() -> V,
    {
        let at = match self.search(&key) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, (key, make()));
                at
            }
        };
        &mut self.rows[at].1
    }

    /// Keeps only the rows that `keep` accepts.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&K, &mut V) -> bool,
    {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }
}

impl<K, V> VecMap<K, V> {
    /// The number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The rows in the order of their keys.
    #[must_use = "iterators are lazy"]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// The rows in the order of their keys, to change.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// The row at a position in the order of the keys.
    #[must_use]
    pub fn get_index(&self, position: usize) -> Option<(&K, &V)> {
        self.rows.get(position).map(|(key, value)| (key, value))
    }
}
