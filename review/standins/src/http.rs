//! HTTP/1.1 messages over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A message: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let same = |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);

        self.headers.iter().find(same).map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: a request's target, or an answer's status.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Path of a request without its query.
    pub fn path(&self) -> &str {
        self.second().split('?').next().unwrap_or_default()
    }

    /// Value of a parameter of a request's query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.second().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));

        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }
}

/// Reads the head of a message; `None` if the peer closed or sent something else.
pub fn read_head(stream: &mut impl Read) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];

    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }

    let text = String::from_utf8(bytes).ok()?;
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_string();
    let header = |line: &str| {
        line.split_once(':').map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
    };

    Some(Message { first, headers: lines.filter_map(header).collect(), body: Vec::new() })
}

/// Reads a message whose body has a length, or that has none.
pub fn read_message(stream: &mut impl Read) -> Option<Message> {
    let mut message = read_head(stream)?;
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;

    Some(message)
}

/// Writes an answer with a body in JSON.
pub fn answer(stream: &mut impl Write, status: u16, extra: &str, body: &str) -> bool {
    let head = format!(
        "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    );

    stream.write_all((head + body).as_bytes()).is_ok()
}

/// Serves each connection of an address in a thread of its own.
pub fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    let listener = TcpListener::bind(address).expect("the address is free");

    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
}
