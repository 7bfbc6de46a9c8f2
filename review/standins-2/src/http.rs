//! HTTP/1.1 messages with a length.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// A message: the words of its first line, its headers and its body.
pub struct Message {
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let same = |(other, _): &&(String, String)| other.eq_ignore_ascii_case(name);

        self.headers.iter().find(same).map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 where the first line has none.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);

        Wire { stream, ahead: Vec::new() }
    }

    fn fill(&mut self) -> Result<()> {
        let mut part = [0; 16 << 10];

        match self.stream.read(&mut part)? {
            0 => Err(Error::new(ErrorKind::UnexpectedEof, "closed")),
            length => {
                self.ahead.extend_from_slice(&part[..length]);
                Ok(())
            }
        }
    }

    /// Reads the next message; an error if the connection ends before it is whole.
    pub fn read(&mut self) -> Result<Message> {
        let head_end = loop {
            match self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                Some(at) => break at,
                None => self.fill()?,
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..head_end]).to_string();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().split(' ').map(str::to_string).collect();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_string(), value.trim().to_string()))
        };
        let mut message =
            Message { first, headers: lines.filter_map(header).collect(), body: Vec::new() };
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);

        while self.ahead.len() < head_end + 4 + length {
            self.fill()?;
        }

        let rest = self.ahead.split_off(head_end + 4 + length);
        message.body = self.ahead.split_off(head_end + 4);
        self.ahead = rest;
        Ok(message)
    }

    /// Reads the next answer, which may come in chunks.
    pub fn read_answer(&mut self) -> Result<Message> {
        let mut answer = self.read()?;

        if answer.header("transfer-encoding").is_none() {
            return Ok(answer);
        }

        loop {
            let line_end = loop {
                match self.ahead.windows(2).position(|w| w == b"\r\n") {
                    Some(at) => break at,
                    None => self.fill()?,
                }
            };
            let line = String::from_utf8_lossy(&self.ahead[..line_end]).to_string();
            let invalid = || Error::new(ErrorKind::InvalidData, "length of a chunk");
            let length = usize::from_str_radix(&line, 16).map_err(|_| invalid())?;

            while self.ahead.len() < line_end + 2 + length + 2 {
                self.fill()?;
            }

            let from = line_end + 2;
            answer.body.extend_from_slice(&self.ahead[from..from + length]);
            self.ahead.drain(..from + length + 2);

            if length == 0 {
                return Ok(answer);
            }
        }
    }
}
