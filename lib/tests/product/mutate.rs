//! Mutations of valid texts, like those from typing errors and broken transfers.

use medlarspur_lib::document::Report;
use proptest::{prelude::*, sample::Index};

/// Change that a mutation makes at one position of a text.
#[derive(Debug, Clone)]
pub enum Edit {
    Remove,
    Insert(u8),
    Repeat(u8),
}

/// Generates any edit at any position.
pub fn edit() -> impl Strategy<Value = (Index, Edit)> {
    let edit = prop_oneof![
        Just(Edit::Remove),
        prop::sample::select(b"{}[]:-#&*!|>'\"%@`,? \n\t09az".as_slice()).prop_map(Edit::Insert),
        any::<u8>().prop_map(Edit::Insert),
        (2u8..40).prop_map(Edit::Repeat),
    ];
    (any::<Index>(), edit)
}

/// Returns the text after the edits; it may no longer be UTF-8.
pub fn mutated(text: &str, edits: &[(Index, Edit)]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for (position, edit) in edits {
        let at = position.index(bytes.len());
        match edit {
            Edit::Remove => drop(bytes.remove(at)),
            Edit::Insert(byte) => bytes.insert(at, *byte),
            Edit::Repeat(count) => {
                let piece = bytes[at..].iter().take(usize::from(*count)).copied();
                let piece: Vec<u8> = piece.collect();
                bytes.splice(at..at, piece);
            }
        }
    }
    bytes
}

/// Returns whether a report has faults, advice for each of them, and only line
/// numbers within the text, with at least one.
pub fn is_complete(report: &Report, text: &str) -> bool {
    let lines = text.lines().count().max(1);
    let located = report.problems.iter().filter_map(|problem| problem.line);
    !report.problems.is_empty()
        && located.clone().all(|line| (1..=lines + 1).contains(&line))
        && located.count() >= report.problems.len().min(1)
        && report.problems.iter().all(|problem| !problem.fault.advice().is_empty())
}
