//! The lines and bodies that callers and targets exchange.

/// The bytes that answer or fill the work `id`; both ends can compute them.
pub fn body(id: &str, len: usize) -> Vec<u8> {
    let mut reader = blake3::Hasher::new().update(id.as_bytes()).finalize_xof();
    let mut bytes = vec![0; len];
    reader.fill(&mut bytes);
    bytes
}

/// Takes the first line from what has arrived, if it is whole.
pub fn take_line(input: &mut Vec<u8>) -> Option<String> {
    let end = input.iter().position(|&byte| byte == b'\n')?;
    let line = input.drain(..=end).collect::<Vec<_>>();
    Some(String::from_utf8_lossy(&line[..end]).into_owned())
}
