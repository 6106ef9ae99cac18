//! Endpoints: runners of models, and plain services.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::note;
use crate::path;
use crate::wire::{self, Message, name};

/// Answers a request whose head was read.
pub type Run = dyn Fn(&Endpoint, &TcpStream, Message) -> io::Result<()> + Send + Sync;

/// An endpoint that serves until the process ends.
pub struct Endpoint {
    pub id: String,
    pub addr: SocketAddr,
    pub born: u64,
    pub runs: AtomicU64,
    /// Bytes that are read at a time of a head.
    pub head_chunk: usize,
    pub run: Box<Run>,
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const i32, length: u32) -> i32;
}

/// Bounds the bytes that the kernel holds of what a peer sends.
pub fn bound_receive_buffer(socket: &impl AsRawFd, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let set = unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    assert_eq!(set, 0);
}

/// How an endpoint is started.
pub struct Config {
    pub id: String,
    /// Size of the kernel's buffer of what a peer sends, if it is not the usual one.
    pub receive_buffer: Option<i32>,
    pub head_chunk: usize,
}

impl Endpoint {
    pub fn start(
        config: Config,
        run: impl Fn(&Endpoint, &TcpStream, Message) -> io::Result<()> + Send + Sync + 'static,
    ) -> Arc<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        if let Some(bytes) = config.receive_buffer {
            bound_receive_buffer(&listener, bytes);
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let endpoint = Arc::new(Endpoint {
            id: config.id,
            addr: listener.local_addr().unwrap(),
            born: now.as_millis() as u64,
            runs: AtomicU64::new(0),
            head_chunk: config.head_chunk,
            run: Box::new(run),
        });
        let serving = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = serving.clone();
                std::thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    if path::is_cut(&stream) {
                        return path::reset(&stream);
                    }
                    // The gate may have gone.
                    if let Err(err) = endpoint.serve(&stream) {
                        note(&format!("{}: connection ended: {err}", endpoint.id));
                    }
                });
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: &TcpStream) -> io::Result<()> {
        let Ok(message) = wire::read_head(stream, Vec::new(), self.head_chunk) else {
            // A connection without a request.
            return Ok(());
        };
        let (_, target) = message.line();
        let id = &self.id;
        if target == "/healthz" {
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\n{}: {id}\r\nContent-Length: 0\r\n\r\n",
                name("instance")
            );
        }
        if target == name("report") {
            let text = format!(
                "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":1,\"waiting\":0,\"running\":1,\
                 \"born\":{}}}",
                self.born
            );
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\n{}: {id}\r\nContent-Length: {}\r\n\r\n{text}",
                name("instance"),
                text.len()
            );
        }
        if message.field(name("target")) != Some(id) {
            return self.refuse(stream, &message, "421 Misdirected Request");
        }
        (self.run)(self, stream, message)
    }

    /// Says that a request did not run.
    pub fn refuse(&self, mut stream: &TcpStream, message: &Message, line: &str) -> io::Result<()> {
        write!(
            stream,
            "HTTP/1.1 {line}\r\n{}: {}\r\n{}: {}\r\n{}: 1\r\nContent-Length: 0\r\n\r\n",
            name("attempt"),
            message.field(name("attempt")).unwrap_or(""),
            name("instance"),
            self.id,
            name("not_executed"),
        )
    }

    /// Returns the head of a success, without its framing and its end.
    pub fn success(&self, message: &Message) -> String {
        let id = message.field(name("attempt")).unwrap_or("");
        note(&format!("{} runs {id}", self.id));
        format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: {id}\r\n",
            name("attempt"),
            name("seal")
        )
    }
}
