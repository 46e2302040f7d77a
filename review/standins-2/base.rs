//! CBOR, a small HTTP server and client, and the record of a run. Only the standard library.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A CBOR value, as far as the protocols use it.
#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<V>),
    Map(Vec<(String, V)>),
}

pub fn t(text: impl Into<String>) -> V {
    V::Text(text.into())
}

pub fn map(entries: Vec<(&str, V)>) -> V {
    V::Map(entries.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

impl V {
    pub fn get(&self, key: &str) -> &V {
        match self {
            V::Map(entries) => entries.iter().find(|(k, _)| k == key).map_or(&V::Null, |(_, v)| v),
            _ => &V::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let V::Text(text) = self { text } else { "" }
    }

    pub fn int(&self) -> u64 {
        match self {
            V::Int(number) => u64::try_from(*number).unwrap_or(0),
            _ => 0,
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            V::Int(number) => *number as f64,
            V::Float(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[V] {
        if let V::List(items) = self { items } else { &[] }
    }

    pub fn is_true(&self) -> bool {
        *self == V::Bool(true)
    }

    /// The size of the value in JSON, in which the limits are counted.
    pub fn json_size(&self) -> usize {
        match self {
            V::Null => 4,
            V::Bool(b) => if *b { 4 } else { 5 },
            V::Int(n) => n.to_string().len(),
            V::Float(n) => format!("{n:?}").len(),
            V::Text(text) => 2 + text.len(),
            V::List(items) => 2 + items.iter().map(|v| v.json_size() + 1).sum::<usize>().saturating_sub(1),
            V::Map(entries) => {
                2 + entries.iter().map(|(k, v)| k.len() + 3 + v.json_size() + 1).sum::<usize>().saturating_sub(1)
            }
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        fn head(out: &mut Vec<u8>, major: u8, number: u64) {
            let major = major << 5;
            if number < 24 {
                out.push(major | number as u8);
            } else if number < 1 << 8 {
                out.extend([major | 24, number as u8]);
            } else if number < 1 << 16 {
                out.push(major | 25);
                out.extend((number as u16).to_be_bytes());
            } else if number < 1 << 32 {
                out.push(major | 26);
                out.extend((number as u32).to_be_bytes());
            } else {
                out.push(major | 27);
                out.extend(number.to_be_bytes());
            }
        }
        match self {
            V::Null => out.push(0xf6),
            V::Bool(b) => out.push(if *b { 0xf5 } else { 0xf4 }),
            V::Int(n) if *n >= 0 => head(out, 0, *n as u64),
            V::Int(n) => head(out, 1, (-1 - *n) as u64),
            V::Float(n) => {
                out.push(0xfb);
                out.extend(n.to_be_bytes());
            }
            V::Text(text) => {
                head(out, 3, text.len() as u64);
                out.extend(text.as_bytes());
            }
            V::List(items) => {
                head(out, 4, items.len() as u64);
                items.iter().for_each(|item| item.write(out));
            }
            V::Map(entries) => {
                head(out, 5, entries.len() as u64);
                for (key, value) in entries {
                    t(key.as_str()).write(out);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut rest = bytes;
        let value = read_value(&mut rest)?;
        rest.is_empty().then_some(value)
    }
}

fn take<'a>(rest: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    if rest.len() < count {
        return None;
    }
    let (taken, left) = rest.split_at(count);
    *rest = left;
    Some(taken)
}

fn read_value(rest: &mut &[u8]) -> Option<V> {
    let first = take(rest, 1)?[0];
    let (major, minor) = (first >> 5, first & 31);
    if major == 7 {
        return match minor {
            20 => Some(V::Bool(false)),
            21 => Some(V::Bool(true)),
            22 | 23 => Some(V::Null),
            25 => {
                let bits = u16::from_be_bytes(take(rest, 2)?.try_into().ok()?);
                let (exponent, fraction) = (i32::from(bits >> 10 & 31), f64::from(bits & 1023));
                let size = match exponent {
                    0 => fraction * 2f64.powi(-24),
                    31 => f64::INFINITY,
                    _ => (1.0 + fraction / 1024.0) * 2f64.powi(exponent - 15),
                };
                Some(V::Float(if bits >> 15 == 1 { -size } else { size }))
            }
            26 => Some(V::Float(f64::from(f32::from_be_bytes(take(rest, 4)?.try_into().ok()?)))),
            27 => Some(V::Float(f64::from_be_bytes(take(rest, 8)?.try_into().ok()?))),
            _ => None,
        };
    }
    let number = match minor {
        0..=23 => u64::from(minor),
        24 => u64::from(take(rest, 1)?[0]),
        25 => u64::from(u16::from_be_bytes(take(rest, 2)?.try_into().ok()?)),
        26 => u64::from(u32::from_be_bytes(take(rest, 4)?.try_into().ok()?)),
        27 => u64::from_be_bytes(take(rest, 8)?.try_into().ok()?),
        _ => return None,
    };
    match major {
        0 => Some(V::Int(i128::from(number))),
        1 => Some(V::Int(-1 - i128::from(number))),
        3 => Some(V::Text(String::from_utf8(take(rest, usize::try_from(number).ok()?)?.to_vec()).ok()?)),
        4 => (0..number).map(|_| read_value(rest)).collect::<Option<Vec<_>>>().map(V::List),
        5 => {
            let mut entries = Vec::new();
            for _ in 0..number {
                let V::Text(key) = read_value(rest)? else { return None };
                entries.push((key, read_value(rest)?));
            }
            Some(V::Map(entries))
        }
        _ => None,
    }
}

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

/// The answer to a request; `None` if there shall be no answer.
pub type Answer = Option<(u16, V)>;

/// Reads a head and a body; returns the first line and the body.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String, Vec<u8>)> {
    let mut chunk = [0u8; 8192];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        let read = stream.read(&mut chunk).ok().filter(|read| *read > 0)?;
        buffer.extend_from_slice(&chunk[..read]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let header = |name: &str| {
        head.split("\r\n").skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    };
    let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + length {
        let read = stream.read(&mut chunk).ok().filter(|read| *read > 0)?;
        buffer.extend_from_slice(&chunk[..read]);
    }
    let body = buffer[head_end..head_end + length].to_vec();
    buffer.drain(..head_end + length);
    Some((first, head, body))
}

/// Serves requests on a free loopback port, a thread for each connection.
pub fn serve(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some((first, _, body)) = read_message(&mut stream, &mut buffer) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or_default().to_owned();
                    let target = words.next().unwrap_or_default().to_owned();
                    let Some((status, value)) = handler(Request { method, target, body }) else {
                        // No answer: the client gives the request up and closes.
                        let _ = stream.read(&mut [0u8; 64]);
                        return;
                    };
                    let body = value.encode();
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let mut out = head.into_bytes();
                    out.extend(body);
                    if stream.write_all(&out).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends a request on a new connection; `None` without a usable answer in time.
pub fn send(to: SocketAddr, method: &str, target: &str, body: Option<&V>, wait: Duration) -> Option<(u16, V)> {
    let end = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&to, wait).ok()?;
    let _ = stream.set_nodelay(true);
    let body = body.map(V::encode).unwrap_or_default();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend(body);
    stream.write_all(&out).ok()?;
    let left = end.checked_duration_since(Instant::now())?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    (Instant::now() <= end).then(|| (status, V::decode(&body).unwrap_or(V::Null)))
}

/// The record of a run: what was sent, answered and run, with seconds since its beginning.
#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record { begin: Instant::now(), file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))) }
    }

    pub fn seconds(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{:8.3} {line}", self.seconds());
        let _ = file.flush();
    }
}

/// A pseudo-random number from 0 to 1.
pub fn random() -> f64 {
    use std::hash::{BuildHasher, Hasher};
    let number = std::collections::hash_map::RandomState::new().build_hasher().finish();
    (number >> 11) as f64 / (1u64 << 53) as f64
}
