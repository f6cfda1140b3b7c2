//! Client of the line protocol.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub rows: Vec<String>,
    /// Receipt, or error code and text.
    pub result: Result<String, (String, String)>,
    pub state: String,
}

impl Answer {
    /// Returns whether the answer is a success with the receipt of a member.
    pub fn is_success(&self) -> bool {
        self.result.as_ref().is_ok_and(|receipt| receipt != "-")
    }

    pub fn describe(&self) -> String {
        match &self.result {
            Ok(receipt) => format!("COMPLETE {}", crate::record::short(receipt)),
            Err((code, text)) => format!("ERROR {code} {}", crate::record::short(text)),
        }
    }
}

pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Client {
    /// Opens a session. Returns the error line if it is refused.
    pub fn open(address: SocketAddr, database: &str, key: &str, limit: Duration) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&address, limit).map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(limit)).map_err(|error| error.to_string())?;
        stream.set_write_timeout(Some(limit)).map_err(|error| error.to_string())?;
        let writer = stream.try_clone().map_err(|error| error.to_string())?;
        let mut client = Self { reader: BufReader::with_capacity(64 << 10, stream), writer };
        client.send(&format!("START {database} {key}"))?;
        let line = client.line()?;
        if line.starts_with("READY") { Ok(client) } else { Err(line) }
    }

    pub fn send(&mut self, line: &str) -> Result<(), String> {
        let bytes = format!("{line}\r\n");
        self.writer.write_all(bytes.as_bytes()).map_err(|error| format!("not sent: {error}"))
    }

    pub fn line(&mut self) -> Result<String, String> {
        let mut line = Vec::new();
        let count = self.reader.read_until(b'\n', &mut line).map_err(|error| format!("no answer: {error}"))?;
        if count == 0 {
            return Err("the connection ended".into());
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
    }

    /// Sends a request and waits for the whole answer.
    pub fn query(&mut self, id: &str, text: &str) -> Result<Answer, String> {
        self.send(&format!("QUERY {id} {text}"))?;
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Some(Ok(rest.to_owned())),
                "ERROR" => {
                    let (code, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    result = Some(Err((code.to_owned(), text.to_owned())));
                }
                "READY" => {
                    let result = result.ok_or("READY without a result")?;
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(Answer { rows, result, state });
                }
                _ => return Err(format!("unexpected line: {}", crate::record::short(&line))),
            }
        }
    }

    /// Returns the stream, to read from it slowly or not at all.
    pub fn stream(&self) -> &TcpStream {
        &self.writer
    }
}
