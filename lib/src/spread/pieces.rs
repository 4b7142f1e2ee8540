//! Splitting of a bundle's text into pieces, so that only changes are sent.

use super::{MAX_TEXT, TextError, error};
use crate::{collections::Map, message::Piece};
use snafu::{OptionExt, ensure};

/// Length in bytes from which on a piece ends with the current line, so that a
/// service with thousands of targets is not sent whole for a change of one.
pub const PIECE_BYTES: usize = 4_096;

/// The short digest of a piece, by which instances find the pieces that they
/// already hold. The whole text is checked after assembly.
pub fn short_digest(piece: &str) -> u64 {
    let hash = blake3::hash(piece.as_bytes());
    hash.as_bytes().iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte))
}

/// Splits a text at the items of an outer list, that is at the services of a
/// bundle. For any text, the concatenated pieces are the text byte for byte;
/// the position of the cuts only affects the size of a delta.
pub fn split(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut start = 0;
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        if at > start && (starts_item(line) || at - start >= PIECE_BYTES) {
            pieces.push(&text[start..at]);
            start = at;
        }
        at += line.len();
    }
    if at > start {
        pieces.push(&text[start..at]);
    }
    pieces
}

/// Whether a line starts an item of an outer list. Services are in a list that
/// is indented by nothing or two spaces.
fn starts_item(line: &str) -> bool {
    line.starts_with("- ") || line.starts_with("  - ")
}

/// The delta from `base` to `text`: runs of pieces of `base`, and the text
/// between them.
pub fn diff(base: &str, text: &str) -> Vec<Piece> {
    let old = split(base);
    let places: Map<&str, u32> = (0u32..).zip(&old).map(|(i, piece)| (*piece, i)).collect();
    let mut ops = Vec::new();
    let mut added = String::new();
    for piece in split(text) {
        if extends_run(&mut ops, &added, &old, piece) {
            continue;
        }
        match places.get(piece) {
            Some(&first) => {
                flush(&mut added, &mut ops);
                ops.push(Piece::Copy { first, count: 1 });
            }
            None => added.push_str(piece),
        }
    }
    flush(&mut added, &mut ops);
    ops
}

fn extends_run(ops: &mut [Piece], added: &str, old: &[&str], piece: &str) -> bool {
    let Some(Piece::Copy { first, count }) = ops.last_mut() else { return false };
    let follows = added.is_empty() && old.get((*first + *count) as usize) == Some(&piece);
    if follows {
        *count += 1;
    }
    follows
}

fn flush(added: &mut String, ops: &mut Vec<Piece>) {
    if !added.is_empty() {
        ops.push(Piece::Text(std::mem::take(added).into()));
    }
}

/// Rebuilds the text whose delta to `base` is `ops`.
pub fn rebuild(base: &str, ops: &[Piece]) -> Result<String, TextError> {
    let old = split(base);
    let mut text = String::with_capacity(base.len());
    for op in ops {
        match op {
            Piece::Text(added) => text.push_str(added),
            Piece::Copy { first, count } => copy(&mut text, &old, *first, *count)?,
        }
        // Otherwise a few bytes of copies could ask for any amount of memory.
        ensure!(text.len() <= MAX_TEXT, error::TooLongSnafu { bytes: text.len() });
    }
    Ok(text)
}

fn copy(text: &mut String, old: &[&str], first: u32, count: u32) -> Result<(), TextError> {
    let outside = error::OutOfRangeSnafu { first, count, pieces: old.len() };
    let end = first.checked_add(count).context(outside)?;
    let run = old.get(first as usize..end as usize).context(outside)?;
    for piece in run {
        text.push_str(piece);
    }
    Ok(())
}
