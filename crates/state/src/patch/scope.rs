//! Items of a document that a change can touch.
//!
//! A change of a few items is worked out on those alone, so that its cost does not grow with the
//! document.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use json_patch::PatchOperation;
use json_patch::jsonptr::Pointer;
use serde_json::Value;

use super::Change;
use crate::document::Document;

type Names = BTreeSet<String>;

/// Items that a change can touch.
#[derive(Debug)]
pub(super) enum Scope {
    /// Any item.
    Whole,
    /// Items by section.
    Items(BTreeMap<String, Names>),
}

impl Scope {
    /// Returns the scope of a change.
    pub(super) fn of(change: &Change) -> Self {
        let items = match change {
            Change::Merge(value) => merged_items(value),
            Change::Operations(operations) => operated_items(operations),
        };
        items.map_or(Self::Whole, Self::Items)
    }

    /// Returns the items of a document that are in scope.
    pub(super) fn select<'a>(&self, document: &'a Document) -> Cow<'a, Document> {
        let Self::Items(names) = self else {
            return Cow::Borrowed(document);
        };
        let none = Names::new();
        let of = |section| names.get(section).unwrap_or(&none);
        Cow::Owned(Document {
            data_centres: pick(&document.data_centres, of("data_centres")),
            groups: pick(&document.groups, of("groups")),
            routes: pick(&document.routes, of("routes")),
            workspaces: pick(&document.workspaces, of("workspaces")),
        })
    }

    /// Returns a document whose items in scope are those of `changed`.
    pub(super) fn replace(&self, document: &Document, changed: Document) -> Document {
        let Self::Items(names) = self else {
            return changed;
        };
        let none = Names::new();
        let of = |section| names.get(section).unwrap_or(&none);
        let mut document = document.clone();
        put(
            &mut document.data_centres,
            of("data_centres"),
            changed.data_centres,
        );
        put(&mut document.groups, of("groups"), changed.groups);
        put(&mut document.routes, of("routes"), changed.routes);
        put(
            &mut document.workspaces,
            of("workspaces"),
            changed.workspaces,
        );
        document
    }
}

fn merged_items(value: &Value) -> Option<BTreeMap<String, Names>> {
    let mut items = BTreeMap::new();
    for (section, value) in value.as_object()? {
        let names = value.as_object()?.keys().cloned().collect();
        items.insert(section.clone(), names);
    }
    Some(items)
}

fn operated_items(operations: &[PatchOperation]) -> Option<BTreeMap<String, Names>> {
    let mut items: BTreeMap<String, Names> = BTreeMap::new();
    for operation in operations {
        let from = match operation {
            PatchOperation::Move(operation) => Some(&*operation.from),
            PatchOperation::Copy(operation) => Some(&*operation.from),
            _ => None,
        };
        for pointer in from.into_iter().chain([operation.path()]) {
            let (section, name) = item_of(pointer)?;
            items.entry(section).or_default().insert(name);
        }
    }
    Some(items)
}

/// Returns the section and name of the item that a pointer leads to or into.
fn item_of(pointer: &Pointer) -> Option<(String, String)> {
    let mut tokens = pointer.tokens();
    let section = tokens.next()?.decoded().into_owned();
    let name = tokens.next()?.decoded().into_owned();
    Some((section, name))
}

fn pick<T>(items: &BTreeMap<Arc<str>, T>, names: &Names) -> BTreeMap<Arc<str>, T>
where
    T: Clone,
{
    let found = names
        .iter()
        .filter_map(|name| items.get_key_value(name.as_str()));
    found
        .map(|(name, item)| (Arc::clone(name), item.clone()))
        .collect()
}

fn put<T>(items: &mut BTreeMap<Arc<str>, T>, names: &Names, changed: BTreeMap<Arc<str>, T>) {
    for name in names {
        items.remove(name.as_str());
    }
    items.extend(changed);
}
