//! An endpoint with fixed answers on blocking threads, too fast to dominate the measurement.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crate::load::{content_length, find};

const STREAM_EVENT: &str = "data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"model\":\"bench\",\
                     \"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n";

const COMPLETION: &str = "{\"id\":\"chatcmpl-1\",\"object\":\"chat.completion\",\"model\":\"bench\",\"choices\":\
                     [{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"a few words of answer\"},\
                     \"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":5}}";

/// The pause between the events of a slow stream.
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(2_000);

/// The request field that asks for a slow stream.
const SLOW_STREAM_FIELD: &str = "\"max_tokens\":50";

/// Starts the endpoint and returns its address.
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
                 content-length: {}\r\n\r\n{COMPLETION}",
                COMPLETION.len()
            );
            stream.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream
            .write_all((head + &encode_chunk(STREAM_EVENT)).as_bytes())
            .ok()?;
        if text.contains(SLOW_STREAM_FIELD) {
            for _ in 0..50 {
                std::thread::sleep(SLOW_EVENT_PAUSE);
                stream
                    .write_all(encode_chunk(STREAM_EVENT).as_bytes())
                    .ok()?;
            }
        }
        let rest = encode_chunk(STREAM_EVENT) + &encode_chunk("data: [DONE]\n\n") + "0\r\n\r\n";
        stream.write_all(rest.as_bytes()).ok()?;
    }
}

fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
