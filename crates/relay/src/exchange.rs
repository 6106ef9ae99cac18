//! Client side: one request to an endpoint and its response.

use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::{Bytes, BytesMut};

use crate::body::{BodyReader, BodyStatus};
use crate::framing::Framing;
use crate::head::ResponseHead;
use crate::read_times::ReadTimes;
use crate::socket::{Progress, Socket, timeout_at};

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The most bytes of a body that are copied to be sent together with the head.
const MAX_JOINED_BYTES: usize = 16 << 10;

/// Maximum number of responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// How often a connection whose response has ended is checked for a reset.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Why a request got no usable response head.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether the endpoint may have received any part of the request.
    pub sent: bool,
    /// The cause.
    pub source: io::Error,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let when = if self.sent { "after" } else { "before" };
        write!(f, "{} ({when} the request was sent)", self.source)
    }
}

impl std::error::Error for ExchangeError {}

/// A request in progress. Dropping it closes the connection, which tells the endpoint to stop.
#[derive(Debug)]
pub struct Exchange {
    socket: Socket,
    body: BodyReader,
    read_times: ReadTimes,
    /// Whether the whole request was sent before the response began.
    is_request_sent: bool,
}

impl Exchange {
    /// Sends a request over a new connection and waits for the response head.
    ///
    /// The response may begin before the request is completely sent; sending then stops.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is unreachable, sends bytes before the request, closes the connection, does
    /// not respond by the deadlines, or sends a malformed head or ambiguous framing.
    pub async fn start(
        addr: SocketAddr,
        connect_deadline: Instant,
        head_deadline: Instant,
        method: &str,
        head: &[u8],
        body: &Bytes,
    ) -> Result<(Exchange, ResponseHead), ExchangeError> {
        let connected = Socket::connect(addr, connect_deadline).await;
        let socket = connected.map_err(|source| ExchangeError {
            sent: false,
            source,
        })?;
        Exchange::start_on(socket, head_deadline, method, head, body).await
    }

    /// Sends a request over an open connection and waits for the response head.
    ///
    /// # Errors
    ///
    /// Fails like [`Exchange::start`], but for the connection being established.
    pub async fn start_on(
        mut socket: Socket,
        head_deadline: Instant,
        method: &str,
        head: &[u8],
        body: &Bytes,
    ) -> Result<(Exchange, ResponseHead), ExchangeError> {
        // Bytes that precede the request answer no request.
        socket.check_silent().map_err(|source| ExchangeError {
            sent: false,
            source,
        })?;
        let exchange = async {
            let (joined, rest) = body.split_at(body.len().min(MAX_JOINED_BYTES));
            if !rest.is_empty() {
                // Bytes that wait in the kernel were not sent.
                socket.bound_unsent_bytes();
            }
            let is_sent = send_request(&mut socket, &[head, joined].concat()).await?
                && send_request(&mut socket, rest).await?;
            for _ in 0..=MAX_INTERIM_RESPONSES {
                let response = read_head(&mut socket, MAX_HEAD_BYTES).await?;
                if !matches!(response.status, 100..=199) {
                    return Ok((response, is_sent));
                }
            }
            let message = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
            Err(io::Error::new(io::ErrorKind::InvalidData, message))
        };
        let started = timeout_at(head_deadline, exchange).await;
        let (response, is_request_sent) =
            started.map_err(|source| ExchangeError { sent: true, source })?;
        let framing = Framing::of_response(method, &response);
        let framing = framing.map_err(|err| ExchangeError {
            sent: true,
            source: io::Error::new(io::ErrorKind::InvalidData, err),
        })?;
        let body = BodyReader::new(framing);
        let exchange = Exchange {
            socket,
            body,
            read_times: ReadTimes::new(Instant::now()),
            is_request_sent,
        };
        Ok((exchange, response))
    }

    /// Returns the next bytes of the response body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or malformed.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        let Exchange {
            socket,
            body,
            read_times,
            ..
        } = self;
        let mut read = pin!(body.next(socket));
        let mut has_waited = false;
        let bytes = poll_fn(|context| {
            let polled = read.as_mut().poll(context);
            // What arrived may not have been looked at.
            if polled.is_pending() && turn::has_yielded() {
                return polled;
            }
            if polled.is_pending() || has_waited {
                read_times.record_wait(Instant::now());
            }
            has_waited = true;
            polled
        })
        .await?;
        if bytes.is_some() {
            read_times.record(Instant::now());
        }
        Ok(bytes)
    }

    /// Returns when [`Exchange::next`] returned bytes of the body.
    pub fn read_times(&self) -> &ReadTimes {
        &self.read_times
    }

    /// Reads the rest of the response body.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated, malformed, or larger than `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: u64) -> io::Result<Bytes> {
        self.body.read_to_end(&mut self.socket, max_bytes).await
    }

    /// Reads the rest of the response body, however long it takes, as long as bytes keep coming.
    ///
    /// # Errors
    ///
    /// Fails like [`Exchange::read_to_end`], and if no bytes arrive for `silence`.
    pub async fn read_while_arriving(
        &mut self,
        max_bytes: u64,
        silence: Duration,
    ) -> io::Result<Bytes> {
        let mut body = BytesMut::new();
        while let Some(bytes) = timeout_at(Instant::now() + silence, self.next()).await? {
            if (body.len() + bytes.len()) as u64 > max_bytes {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    }

    /// Returns the connection if another request may follow on it, as far as the body tells.
    pub fn into_socket(self) -> Option<Socket> {
        let is_free = self.is_complete() && !self.ends_with_connection();
        (is_free && self.socket.buffered().is_empty()).then_some(self.socket)
    }

    /// Returns how the end of the response body is determined.
    pub fn framing(&self) -> Framing {
        self.body.framing()
    }

    /// Returns whether only the end of the connection ends the response body, so that one that was cut
    /// short looks complete.
    pub fn ends_with_connection(&self) -> bool {
        self.body.ends_with_connection()
    }

    /// Returns whether the whole request was sent before the response began; the rest is never sent. Bytes that
    /// the endpoint has received may still be unread there.
    pub fn is_request_sent(&self) -> bool {
        self.is_request_sent
    }

    /// Waits until the endpoint resets the connection on which its response has ended, and returns whether it did
    /// within a time.
    pub async fn is_reset_within(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            if self.socket.has_failed() {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            Timer::after(RESET_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether no byte of the response body was received yet.
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Returns whether the response body was received completely.
    pub fn is_complete(&self) -> bool {
        self.body.status() == BodyStatus::Complete
    }
}

/// Sends a part of a request until it is complete or a response begins, and returns whether it is complete.
async fn send_request(socket: &mut Socket, mut bytes: &[u8]) -> io::Result<bool> {
    while !bytes.is_empty() && socket.buffered().is_empty() {
        match socket.write_or_fill(bytes).await? {
            Progress::Written(count) => bytes = &bytes[count..],
            Progress::Read(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Progress::Read(_) => break,
        }
    }
    Ok(bytes.is_empty())
}

/// Reads the head of a response.
///
/// # Errors
///
/// Fails if the connection fails or closes before the end of the head, or the head is malformed or larger
/// than `max_bytes`.
pub async fn read_head(socket: &mut Socket, max_bytes: usize) -> io::Result<ResponseHead> {
    loop {
        let parsed = ResponseHead::parse(socket.buffered());
        let parsed = parsed.map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))?;
        if let Some((head, length)) = parsed {
            socket.consume(length);
            return Ok(head);
        }
        if socket.buffered().len() > max_bytes {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("response head exceeds {max_bytes} bytes"),
            ));
        }
        if !socket.fill().await? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
