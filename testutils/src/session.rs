//! State of a target's connection.

use crate::content::take_line;
use medlarspur_lib::bundle::Class;
use std::collections::VecDeque;

/// A connection of a target.
pub(crate) struct Session {
    /// Class of its work.
    pub class: Class,
    /// Received bytes that are not processed yet.
    pub input: Vec<u8>,
    /// Bytes that are not sent yet.
    pub output: VecDeque<u8>,
    /// Id of the work; `None` until the first line was received.
    pub id: Option<String>,
    /// Number of lines sent on a feed.
    pub lines: u64,
    /// Number of bytes that follow the first line; `None` until that was received.
    pub expected: Option<usize>,
    /// Whether the complete answer is queued or sent.
    pub answered: bool,
}

impl Session {
    /// Creates the state of a new connection.
    pub fn new(class: Class) -> Self {
        Self {
            class,
            input: Vec::new(),
            output: VecDeque::new(),
            id: None,
            lines: 0,
            expected: None,
            answered: false,
        }
    }

    /// Queues a line for sending.
    pub fn queue_line(&mut self, line: &str) {
        self.output.extend(line.bytes());
    }

    /// Reads the first line, `REQ id` or `UP id length`. Returns whether it was complete.
    pub fn read_header(&mut self) -> bool {
        let Some(line) = take_line(&mut self.input) else {
            return false;
        };
        let mut words = line.split(' ').skip(1);
        self.id = Some(words.next().unwrap_or_default().into());
        self.expected = Some(words.next().and_then(|word| word.parse().ok()).unwrap_or(0));
        true
    }
}
