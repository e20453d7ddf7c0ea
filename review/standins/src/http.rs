//! A minimal HTTP/1.1 reader and writer on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body was read.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|row| row.0 == name);
        found.next().map(|row| row.1.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with a read buffer.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a head. `None` if the connection has ended before one.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        message
                            .headers
                            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
                    }
                }
            }
        }
    }

    /// Reads the body that belongs to a head, and calls `on_piece` whenever some of it has arrived.
    pub fn body(
        &mut self,
        message: &mut Message,
        on_piece: &mut dyn FnMut(&[u8]),
    ) -> io::Result<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if chunked {
            loop {
                let Some(line) = self.line()? else {
                    return Ok(());
                };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::other("chunk size"))?;
                if size == 0 {
                    while self.line()?.is_some_and(|line| !line.is_empty()) {}
                    message.is_complete = true;
                    return Ok(());
                }
                while self.buffer.len() < size + 2 {
                    if self.fill()? == 0 {
                        return Ok(());
                    }
                }
                let piece: Vec<u8> = self.buffer.drain(..size).collect();
                self.buffer.drain(..2);
                message.body.extend_from_slice(&piece);
                on_piece(&message.body);
            }
        }
        let length: usize = message
            .header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        while message.body.len() < length {
            if self.buffer.is_empty() && self.fill()? == 0 {
                return Ok(());
            }
            let count = self.buffer.len().min(length - message.body.len());
            message.body.extend(self.buffer.drain(..count));
            on_piece(&message.body);
        }
        message.is_complete = true;
        Ok(())
    }

    /// Reads a whole request. `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message, &mut |_| ())?;
        Ok(message.is_complete.then_some(message))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed its side; reads what has arrived.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let result = self.fill();
        let _ = self.stream.set_nonblocking(false);
        match result {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// A response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A request with a length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// How an exchange of a caller ended.
#[derive(Clone, Debug)]
pub struct Answer {
    pub message: Option<Message>,
    pub error: Option<String>,
    pub took: Duration,
}

impl Answer {
    /// The status of a complete answer; 0 if there was none.
    pub fn status(&self) -> u16 {
        let message = self.message.as_ref();
        message
            .filter(|row| row.is_complete)
            .map_or(0, Message::status)
    }

    pub fn describe(&self) -> String {
        match (&self.message, &self.error) {
            (Some(message), _) if message.is_complete => format!("status {}", message.status()),
            (Some(message), error) => format!(
                "status {} and an incomplete body of {} bytes ({})",
                message.status(),
                message.body.len(),
                error.as_deref().unwrap_or("closed")
            ),
            (None, error) => format!("no answer ({})", error.as_deref().unwrap_or("closed")),
        }
    }
}

/// Sends a request and reads the answer within `limit`.
pub fn exchange(
    channel: &mut Channel,
    bytes: &[u8],
    limit: Duration,
    on_piece: &mut dyn FnMut(&[u8]),
) -> Answer {
    let started = Instant::now();
    let _ = channel.stream.set_read_timeout(Some(limit));
    let _ = channel.stream.set_write_timeout(Some(limit));
    let mut answer = Answer {
        message: None,
        error: None,
        took: Duration::ZERO,
    };
    let result = channel.send(bytes).and_then(|()| channel.head());
    match result {
        Ok(Some(mut message)) => {
            if let Err(error) = channel.body(&mut message, on_piece) {
                answer.error = Some(error.to_string());
            }
            answer.message = Some(message);
        }
        Ok(None) => {}
        Err(error) => answer.error = Some(error.to_string()),
    }
    answer.took = started.elapsed();
    answer
}
