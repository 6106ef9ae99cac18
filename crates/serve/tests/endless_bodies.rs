//! Endpoints that send bytes without end do not break off the answers of others.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use common::{Harness, listen, read_head, route};
use futures_lite::future::block_on;
use route::RetrySafety;

/// Bodies that fill almost all of what bodies may take together, 32 MiB, and the size of each. They end
/// neither by themselves nor by their own size.
const LARGE_BODIES: usize = 3;
const LARGE_BYTES: usize = 10_800 << 10;

/// How long their endpoints keep the connections open.
const LARGE_TIME: Duration = Duration::from_secs(2);

/// Sound answers, which are more than the rest.
const SOUND_ANSWERS: usize = 24;
const SOUND_BYTES: usize = 40_000;

static LARGE_SENT: AtomicUsize = AtomicUsize::new(0);

fn answer(mut stream: TcpStream) {
    let Some(head) = read_head(&mut stream) else {
        return;
    };
    let answered = if head.contains("/x/large") {
        answer_large(&mut stream)
    } else {
        answer_sound(&mut stream)
    };
    // The instance closes connections whose answers it gives up.
    drop(answered);
}

fn answer_large(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n\r\n")?;
    stream.write_all(&vec![b'x'; LARGE_BYTES])?;
    LARGE_SENT.fetch_add(1, Ordering::SeqCst);
    std::thread::sleep(LARGE_TIME);
    Ok(())
}

fn answer_sound(stream: &mut TcpStream) -> std::io::Result<()> {
    let head =
        format!("HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: {SOUND_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    for _ in 0..5 {
        stream.write_all(&[b'a'; SOUND_BYTES / 5])?;
        std::thread::sleep(Duration::from_millis(60));
    }
    Ok(())
}

/// Issue 59: a report of an instance whose callers lost their answers, as an endpoint sent bytes without
/// end. The next body that was read gave way, in place of those that took the memory.
#[test]
fn large_bodies_give_way_to_sound_answers() {
    let addr = listen(answer);
    let harness = Rc::new(Harness::new(
        route(RetrySafety::NonIdempotent),
        &[addr],
        10.0,
    ));
    let executor = Rc::new(LocalExecutor::new());
    let send = |target: &'static str| {
        let harness = harness.clone();
        executor.spawn(async move { harness.send_to(target, &[]).await })
    };
    let large: Vec<_> = (0..LARGE_BODIES).map(|_| send("/x/large")).collect();
    let until = Instant::now() + LARGE_TIME;
    let received = block_on(executor.run(async {
        while LARGE_SENT.load(Ordering::SeqCst) < LARGE_BODIES {
            assert!(Instant::now() < until, "the large bodies are not read");
            Timer::after(Duration::from_millis(1)).await;
        }
        // What is on its way is read.
        Timer::after(Duration::from_millis(200)).await;
        let sound: Vec<_> = (0..SOUND_ANSWERS).map(|_| send("/x/sound")).collect();
        let mut received = Vec::new();
        for answer in sound {
            received.push(answer.await);
        }
        received
    }));
    let whole = received
        .iter()
        .filter(|answer| answer.status == 200 && answer.body.len() == SOUND_BYTES);
    assert_eq!(whole.count(), SOUND_ANSWERS);
    drop(large);
}
