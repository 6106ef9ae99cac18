//! What scripted endpoints do on a connection.

/// What a scripted endpoint does on one connection.
#[derive(Debug, Clone)]
pub enum Step {
    /// Writes text.
    Write(String),
    /// Writes text again and again until the connection is closed.
    Endless(&'static str),
    /// Sleeps for some milliseconds.
    Sleep(u64),
    /// Waits until the endpoint has received this many requests.
    AwaitRequests(usize),
    /// Waits until this many connections to the endpoint are open, and for the instance to notice.
    AwaitConnections(usize),
    /// Closes the connection with a reset.
    Reset,
    /// Ends the endpoint as the kernel ends a process: its listener and then its connections are closed.
    Exit,
    /// Ends an endpoint before which a backlog or a proxy still accepts connections, and closes them at
    /// once.
    ExitBehindListener,
    /// Refuses further connections, as an endpoint that leaves, and goes on with those it has.
    RefuseConnections,
    /// Closes further connections at once, as an endpoint that is full, and goes on with those it has.
    CloseFurtherConnections,
    /// Closes all connections, as a path that is cut, while the run of the endpoint goes on.
    CloseAllConnections,
    /// Closes this connection, and goes on with the script.
    CloseThisConnection,
    /// Closes all connections but this one.
    CloseOtherConnections,
    /// Closes the connections on which nothing was asked.
    CloseIdleConnections,
    /// Holds the next connection until it is reset.
    HoldNextConnection,
    /// Waits for the connection to hold and resets it soon after, as an endpoint that is full.
    ResetHeldConnection,
    /// Accepts no connection for these milliseconds, as an endpoint that stands still. They wait in the backlog.
    PauseAccepting(u64),
    /// Ends an endpoint whose listener is closed after these milliseconds, and keeps the connections that
    /// were accepted until then.
    ExitKeepingConnections(u64),
    /// Ends this run of the endpoint with all its connections. Another starts under its id after these
    /// milliseconds and takes over the listener, which is held meanwhile.
    StartAgain(u64),
}

/// A complete sealed response.
pub fn answer(body: &str) -> Vec<Step> {
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: {length}\r\n\r\n{body}"
    ))]
}

/// An error response of an endpoint that ran the request.
pub fn error_response() -> Vec<Step> {
    let head = "HTTP/1.1 500 Failed\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 4\r\n\r\noops";
    vec![Step::Write(head.to_owned())]
}

/// A refusal of a request that was not started.
pub fn refusal() -> Vec<Step> {
    let head = "HTTP/1.1 503 Full\r\nx-not-started: 1\r\nContent-Length: 0\r\n\r\n";
    vec![Step::Write(head.to_owned())]
}

/// The head of a stream with the confidence of the model.
pub fn stream_head(confidence: u8) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s{confidence}\r\nx-confidence: {confidence}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    ))
}

/// Events as one chunk.
pub fn events(ids: std::ops::RangeInclusive<u64>) -> Step {
    chunk(&events_text(ids))
}

fn events_text(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: x\n\n")).collect()
}

/// Text as one chunk.
pub fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// The head of a stream with neither length nor chunks.
pub fn unframed_head() -> Step {
    Step::Write("HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n\r\n".to_owned())
}

/// Events of a stream with neither length nor chunks.
pub fn unframed_events(ids: std::ops::RangeInclusive<u64>) -> Step {
    Step::Write(events_text(ids))
}

/// The head of a stream with neither length nor chunks, and events each of which is followed by a pause.
pub fn unframed_stream(ids: std::ops::RangeInclusive<u64>, pause_ms: u64) -> Vec<Step> {
    let mut script = vec![unframed_head()];
    for id in ids {
        script.extend([unframed_events(id..=id), Step::Sleep(pause_ms)]);
    }
    script
}

/// The end of a stream.
pub fn stream_end() -> Step {
    Step::Write("0\r\n\r\n".to_owned())
}
