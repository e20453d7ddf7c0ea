//! A map stored as a vector sorted by key, with lookup by binary search.

/// A map stored as a vector of rows sorted by key.
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

    /// The value of a key, if present.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        self.search(key).ok().map(|index| &self.rows[index].1)
    }

    /// The value of a key, if present, by mutable reference.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.search(key).ok().map(|index| &mut self.rows[index].1)
    }

    /// Whether the key is present.
    #[must_use]
    pub fn contains(&self, key: &K) -> bool {
        self.search(key).is_ok()
    }

    /// Inserts a value and returns the one that it replaces, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.search(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes a key and returns its value, if present.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.search(key).ok().map(|index| self.rows.remove(index).1)
    }

    /// The value of a key, inserted from `make` when absent.
    pub fn get_or_insert_with<F>(&mut self, key: K, make: F) -> &mut V
    where
        F: FnOnce() -> V,
    {
        let index = match self.search(&key) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, (key, make()));
                index
            }
        };
        &mut self.rows[index].1
    }

    /// Retains only the rows for which `keep` returns true.
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

    /// Iterates over the rows in key order.
    #[must_use = "iterators are lazy"]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the rows in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// The row at a position in key order, if the map is that long.
    #[must_use]
    pub fn get_index(&self, position: usize) -> Option<(&K, &V)> {
        self.rows.get(position).map(|(key, value)| (key, value))
    }
}
