//! The platform's store, after its pages: objects with revisions, lists, watches, conditional writes, and the
//! drill in which it comes back from an older copy.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Channel, Head};
use crate::json;
use crate::record::Record;
use crate::wire::wire;

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
    is_deleted: bool,
}

type Kinds = BTreeMap<String, BTreeMap<String, Object>>;

#[derive(Clone, Default)]
struct Content {
    revision: u64,
    kinds: Kinds,
}

struct State {
    content: Content,
    era: u64,
    /// Whether it answers nobody.
    is_away: bool,
    /// Revisions from which it knows the history.
    history_from: u64,
    open: Vec<TcpStream>,
    /// When watchers were told that a server is gone, in milliseconds.
    told_ms: Vec<u64>,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

/// A copy of what the store holds at a moment.
pub struct Copy(Content);

impl Store {
    pub fn start(record: &Record) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Store {
            addr: listener.local_addr()?,
            state: Mutex::new(State {
                content: Content {
                    revision: 100,
                    kinds: Kinds::new(),
                },
                era: 1,
                is_away: false,
                history_from: 0,
                open: Vec::new(),
                told_ms: Vec::new(),
            }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes the specification of an object, as the operator and the servers do.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(kind, name, Some(spec), None, false);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(kind, name, None, None, true);
        self.changed.notify_all();
    }

    /// Returns the status of an object, which the system writes.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = self.state.lock().unwrap();
        let object = state.live(kind, name);
        object.map_or_else(String::new, |object| object.status.clone())
    }

    /// Returns when watchers were told that a server is gone, in milliseconds.
    pub fn told(&self) -> Vec<u64> {
        self.state.lock().unwrap().told_ms.clone()
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().content.clone())
    }

    /// Goes away: all connections are closed, and new ones too.
    pub fn go_away(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_away = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Comes back with an older copy.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        state.content = copy.0;
        state.era += 1;
        // Nothing is known of the changes before.
        state.history_from = state.content.revision;
        state.is_away = false;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        {
            let mut state = self.state.lock().unwrap();
            if state.is_away {
                return;
            }
            if let Ok(clone) = stream.try_clone() {
                state.open.push(clone);
            }
            if state.open.len() > 4_000 {
                state.open.drain(..2_000);
            }
        }
        let mut channel = Channel::new(stream);
        let deadline = Instant::now() + Duration::from_secs(5);
        let Ok(head) = channel.read_head(deadline) else {
            return;
        };
        let Ok(body) = channel.read_body(&head, deadline) else {
            return;
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        let (status, answer) = self.answer(&head, &body);
        let era = {
            let state = self.state.lock().unwrap();
            if state.is_away {
                return;
            }
            state.era
        };
        let message = format!(
            "HTTP/1.1 {status} Status\r\n{}: {era}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{answer}",
            wire("era"),
            answer.len()
        );
        let _ = channel.send(message.as_bytes());
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let Some(rest) = path.strip_prefix(wire("objects-path")) else {
            return (404, "{}".to_owned());
        };
        let parts: Vec<&str> = rest.split('/').collect();
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        match (head.method(), &parts[..]) {
            ("GET", [kind]) => match param("watch").and_then(|from| from.parse().ok()) {
                Some(from) => {
                    let wait_ms = param("wait-ms").and_then(|text| text.parse().ok());
                    self.watch(kind, from, wait_ms.unwrap_or(0).min(30_000))
                }
                None => self.list(kind),
            },
            ("GET", [kind, name]) => {
                let state = self.state.lock().unwrap();
                match state.live(kind, name) {
                    Some(object) => (200, object.to_json(name)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", [kind]) => {
                let metadata = json::member(body, "metadata").unwrap_or("{}");
                let name = json::text(metadata, "name").unwrap_or_default().to_owned();
                let mut state = self.state.lock().unwrap();
                if let Some(object) = state.live(kind, &name) {
                    return (409, object.to_json(&name));
                }
                let spec = json::member(body, "spec").unwrap_or("null");
                let answer = state.put(kind, &name, Some(spec), None, false);
                self.changed.notify_all();
                (200, answer)
            }
            ("PUT", [kind, name]) => self.replace(kind, name, body, false),
            ("PUT", [kind, name, "status"]) => self.replace(kind, name, body, true),
            ("DELETE", [kind, name]) => {
                let expected = param("revision").and_then(|text| text.parse::<u64>().ok());
                let mut state = self.state.lock().unwrap();
                let Some(object) = state.live(kind, name) else {
                    return (404, "{}".to_owned());
                };
                if expected.is_some_and(|revision| revision != object.revision) {
                    return (409, object.to_json(name));
                }
                let answer = state.put(kind, name, None, None, true);
                self.changed.notify_all();
                (200, answer)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn replace(&self, kind: &str, name: &str, body: &str, is_status: bool) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.live(kind, name) else {
            return (404, "{}".to_owned());
        };
        let metadata = json::member(body, "metadata").unwrap_or("{}");
        let expected = json::member(metadata, "revision").and_then(|text| text.parse::<u64>().ok());
        if expected.is_some_and(|revision| revision != object.revision) {
            return (409, object.to_json(name));
        }
        let answer = if is_status {
            let status = json::member(body, "status").unwrap_or("null");
            state.put(kind, name, None, Some(status), false)
        } else {
            let spec = json::member(body, "spec").unwrap_or("null");
            state.put(kind, name, Some(spec), None, false)
        };
        self.changed.notify_all();
        (200, answer)
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        for (name, object) in state.content.kinds.get(kind).into_iter().flatten() {
            if !object.is_deleted {
                items.push(object.to_json(name));
            }
        }
        let revision = state.content.revision;
        let field = wire("revision-field");
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"more\":false,\"{field}\":{revision}}}"))
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if from < state.history_from || from > state.content.revision || state.era != era {
                return (410, "{}".to_owned());
            }
            let mut events = Vec::new();
            let mut removed = Vec::new();
            for (name, object) in state.content.kinds.get(kind).into_iter().flatten() {
                if object.revision > from {
                    events.push(format!(
                        "{{\"deleted\":{},\"object\":{}}}",
                        object.is_deleted,
                        object.to_json(name)
                    ));
                    if object.is_deleted && kind == "servers" {
                        removed.push(name.clone());
                    }
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.is_away {
                for name in removed {
                    self.record.note(&format!("store tells a watcher that {name} is gone"));
                    state.told_ms.push(self.record.ms());
                }
                let revision = state.content.revision;
                let field = wire("revision-field");
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"{field}\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn live(&self, kind: &str, name: &str) -> Option<&Object> {
        let object = self.content.kinds.get(kind)?.get(name)?;
        (!object.is_deleted).then_some(object)
    }

    fn put(
        &mut self,
        kind: &str,
        name: &str,
        spec: Option<&str>,
        status: Option<&str>,
        is_deleted: bool,
    ) -> String {
        self.content.revision += 1;
        let revision = self.content.revision;
        let names = self.content.kinds.entry(kind.to_owned()).or_default();
        let before = names.get(name).filter(|object| !object.is_deleted);
        let kept = |part: Option<&str>, before: Option<&String>| {
            let before = before.map_or("null", String::as_str);
            part.unwrap_or(before).to_owned()
        };
        let object = Object {
            revision,
            spec: kept(spec, before.map(|object| &object.spec)),
            status: kept(status, before.map(|object| &object.status)),
            is_deleted,
        };
        let answer = object.to_json(name);
        names.insert(name.to_owned(), object);
        answer
    }
}

impl Object {
    fn to_json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"finalizers\":[],\"deleting\":false}},\
             \"spec\":{},\"status\":{}}}",
            self.revision, self.spec, self.status
        )
    }
}
