//! Lines and bodies that callers and targets exchange.

/// Returns the body of an upload, or of the answer to a request, with this `id`.
/// Both ends compute it, so that each can check what it receives.
pub fn body(id: &str, len: usize) -> Vec<u8> {
    let mut reader = blake3::Hasher::new().update(id.as_bytes()).finalize_xof();
    let mut bytes = vec![0; len];
    reader.fill(&mut bytes);
    bytes
}

/// Removes the first line from `input` and returns it, if it is complete.
pub fn take_line(input: &mut Vec<u8>) -> Option<String> {
    let end = input.iter().position(|&byte| byte == b'\n')?;
    let line = input.drain(..=end).collect::<Vec<_>>();
    Some(String::from_utf8_lossy(&line[..end]).into_owned())
}
