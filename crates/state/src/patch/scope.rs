//! Items of a document that a change can read or modify.
//!
//! A change of a few items is applied to a document of only these items, so that its cost does not
//! grow with the size of the complete document.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use json_patch::PatchOperation;
use json_patch::jsonptr::Pointer;
use serde_json::Value;

use super::Change;
use crate::document::Document;

type Names = BTreeSet<String>;

/// Items of a document that a change can read or modify.
#[derive(Debug)]
pub(super) enum Scope {
    /// All items.
    Whole,
    /// Names of the items, by section.
    Items(BTreeMap<String, Names>),
}

impl Scope {
    /// Returns the scope of a change.
    pub(super) fn of(change: &Change) -> Self {
        let items = match change {
            Change::Merge(value) => items_of_merge(value),
            Change::Operations(operations) => items_of_operations(operations),
        };
        items.map_or(Self::Whole, Self::Items)
    }

    /// Returns a document with only the items in scope.
    pub(super) fn select<'a>(&self, document: &'a Document) -> Cow<'a, Document> {
        let Self::Items(sections) = self else {
            return Cow::Borrowed(document);
        };
        let none = Names::new();
        let names_in = |section| sections.get(section).unwrap_or(&none);
        Cow::Owned(Document {
            data_centres: select_items(&document.data_centres, names_in("data_centres")),
            groups: select_items(&document.groups, names_in("groups")),
            routes: select_items(&document.routes, names_in("routes")),
            workspaces: select_items(&document.workspaces, names_in("workspaces")),
        })
    }

    /// Returns a copy of `document` in which the items of `changed` replace all items in scope.
    pub(super) fn replace(&self, document: &Document, changed: Document) -> Document {
        let Self::Items(sections) = self else {
            return changed;
        };
        let none = Names::new();
        let names_in = |section| sections.get(section).unwrap_or(&none);
        let mut document = document.clone();
        replace_items(
            &mut document.data_centres,
            names_in("data_centres"),
            changed.data_centres,
        );
        replace_items(&mut document.groups, names_in("groups"), changed.groups);
        replace_items(&mut document.routes, names_in("routes"), changed.routes);
        replace_items(
            &mut document.workspaces,
            names_in("workspaces"),
            changed.workspaces,
        );
        document
    }
}

/// Returns the items that a merge patch names, or `None` if it replaces or removes whole sections.
fn items_of_merge(value: &Value) -> Option<BTreeMap<String, Names>> {
    let mut items = BTreeMap::new();
    for (section, value) in value.as_object()? {
        let names = value.as_object()?.keys().cloned().collect();
        items.insert(section.clone(), names);
    }
    Some(items)
}

/// Returns the items of all operations, or `None` if an operation is on a section or the document.
fn items_of_operations(operations: &[PatchOperation]) -> Option<BTreeMap<String, Names>> {
    let mut items: BTreeMap<String, Names> = BTreeMap::new();
    for operation in operations {
        let from = match operation {
            PatchOperation::Move(operation) => Some(&*operation.from),
            PatchOperation::Copy(operation) => Some(&*operation.from),
            _ => None,
        };
        for pointer in from.into_iter().chain([operation.path()]) {
            let (section, name) = item_at(pointer)?;
            items.entry(section).or_default().insert(name);
        }
    }
    Some(items)
}

/// Returns the section and name of the item that contains the value at `pointer`.
///
/// Returns `None` if the pointer refers to the document or to a section.
fn item_at(pointer: &Pointer) -> Option<(String, String)> {
    let mut tokens = pointer.tokens();
    let section = tokens.next()?.decoded().into_owned();
    let name = tokens.next()?.decoded().into_owned();
    Some((section, name))
}

/// Returns the items with the given names; names without an item are ignored.
fn select_items<T>(items: &BTreeMap<Arc<str>, T>, names: &Names) -> BTreeMap<Arc<str>, T>
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

/// Removes the items with the given names and adds those of `changed`.
fn replace_items<T>(
    items: &mut BTreeMap<Arc<str>, T>,
    names: &Names,
    changed: BTreeMap<Arc<str>, T>,
) {
    for name in names {
        items.remove(name.as_str());
    }
    items.extend(changed);
}
