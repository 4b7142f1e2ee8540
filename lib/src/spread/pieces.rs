//! The text of a bundle in pieces, so that only what changed is sent.

use super::{MAX_TEXT, Refusal, error};
use crate::{collections::Map, message::Piece};
use snafu::{OptionExt, ensure};

/// A piece is cut after this many bytes at the end of a line, so that a
/// service with thousands of targets doesn't travel whole for one of them.
pub const PIECE_BYTES: usize = 4_096;

/// The short digest of a piece: enough to tell which pieces are held already.
/// What is put together by it is checked as a whole afterwards.
pub fn short_digest(piece: &str) -> u64 {
    let hash = blake3::hash(piece.as_bytes());
    hash.as_bytes().iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte))
}

/// Splits a text where an item of an outer list begins: at the services of a
/// bundle. Put together, the pieces are the text to the last byte, whatever
/// the text is; the place of the cuts matters only for the size of a change.
pub fn split(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut start = 0;
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        if at > start && (opens_item(line) || at - start >= PIECE_BYTES) {
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

/// Services stand in a list that is indented by nothing or two blanks.
fn opens_item(line: &str) -> bool {
    line.starts_with("- ") || line.starts_with("  - ")
}

/// The difference from `base` to `text`: runs of the pieces of `base`, and
/// the text between them.
pub fn diff(base: &str, text: &str) -> Vec<Piece> {
    let old = split(base);
    let places: Map<&str, u32> = (0u32..).zip(&old).map(|(i, piece)| (*piece, i)).collect();
    let mut ops = Vec::new();
    let mut fresh = String::new();
    for piece in split(text) {
        if extends_run(&mut ops, &fresh, &old, piece) {
            continue;
        }
        match places.get(piece) {
            Some(&first) => {
                flush(&mut fresh, &mut ops);
                ops.push(Piece::Copy { first, count: 1 });
            }
            None => fresh.push_str(piece),
        }
    }
    flush(&mut fresh, &mut ops);
    ops
}

fn extends_run(ops: &mut [Piece], fresh: &str, old: &[&str], piece: &str) -> bool {
    let Some(Piece::Copy { first, count }) = ops.last_mut() else { return false };
    let follows = fresh.is_empty() && old.get((*first + *count) as usize) == Some(&piece);
    if follows {
        *count += 1;
    }
    follows
}

fn flush(fresh: &mut String, ops: &mut Vec<Piece>) {
    if !fresh.is_empty() {
        ops.push(Piece::Text(std::mem::take(fresh).into()));
    }
}

/// Puts the text together that `ops` describe as the difference to `base`.
pub fn rebuild(base: &str, ops: &[Piece]) -> Result<String, Refusal> {
    let old = split(base);
    let mut text = String::with_capacity(base.len());
    for op in ops {
        match op {
            Piece::Text(fresh) => text.push_str(fresh),
            Piece::Copy { first, count } => copy(&mut text, &old, *first, *count)?,
        }
        // A few bytes of copies could otherwise ask for any amount of memory.
        ensure!(text.len() <= MAX_TEXT, error::TooLongSnafu { bytes: text.len() });
    }
    Ok(text)
}

fn copy(text: &mut String, old: &[&str], first: u32, count: u32) -> Result<(), Refusal> {
    let outside = error::OutOfRangeSnafu { first, count, pieces: old.len() };
    let end = first.checked_add(count).context(outside)?;
    let run = old.get(first as usize..end as usize).context(outside)?;
    for piece in run {
        text.push_str(piece);
    }
    Ok(())
}
