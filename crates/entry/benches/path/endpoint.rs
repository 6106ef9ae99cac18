//! A fixed endpoint on blocking threads, fast enough not to be what is measured.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crate::load::{content_length, find};

const EVENT: &str = "data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"model\":\"bench\",\
                     \"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n";

const WHOLE: &str = "{\"id\":\"chatcmpl-1\",\"object\":\"chat.completion\",\"model\":\"bench\",\"choices\":\
                     [{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"a few words of answer\"},\
                     \"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":5}}";

/// How long a long stream pauses between events.
const SLOW: Duration = Duration::from_millis(2_000);

/// From how many tokens on a stream is slow.
const SLOW_TOKENS: &str = "\"max_tokens\":50";

/// Starts the endpoint.
pub fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::Builder::new()
                .stack_size(128 << 10)
                .spawn(move || serve(stream))
                .unwrap();
        }
    });
    addr
}

fn serve(mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut held = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let head = loop {
            if let Some(head) = find(&held, b"\r\n\r\n")
                && held.len() >= head + content_length(&held[..head]).unwrap_or(0)
            {
                break head;
            }
            let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
            held.extend_from_slice(&chunk[..count]);
        };
        let text = String::from_utf8_lossy(&held).into_owned();
        held.clear();
        let id = text[..head]
            .lines()
            .find_map(|line| line.strip_prefix("x-request-id: "))
            .unwrap_or("none");
        if !text.contains("\"stream\":true") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nx-request-id: {id}\r\nx-endpoint-load: 1;0\r\n\
                 content-length: {}\r\n\r\n{WHOLE}",
                WHOLE.len()
            );
            stream.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream
            .write_all((head + &chunk_of(EVENT)).as_bytes())
            .ok()?;
        if text.contains(SLOW_TOKENS) {
            for _ in 0..50 {
                std::thread::sleep(SLOW);
                stream.write_all(chunk_of(EVENT).as_bytes()).ok()?;
            }
        }
        let rest = chunk_of(EVENT) + &chunk_of("data: [DONE]\n\n") + "0\r\n\r\n";
        stream.write_all(rest.as_bytes()).ok()?;
    }
}

fn chunk_of(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
