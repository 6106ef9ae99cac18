//! The messages.

use prost::{Message, Oneof};

/// One message with its sender.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The sender's incarnation.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The message; absent when it is of a kind that this version does not know.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// The kinds of message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// See [`Ping`].
    #[prost(message, tag = "2")]
    Ping(Ping),
    /// See [`Ack`].
    #[prost(message, tag = "3")]
    Ack(Ack),
    /// See [`Fetch`].
    #[prost(message, tag = "4")]
    Fetch(Fetch),
    /// See [`Objects`].
    #[prost(message, tag = "5")]
    Objects(Objects),
    /// See [`ReceiptBatch`].
    #[prost(message, tag = "6")]
    ReceiptBatch(ReceiptBatch),
    /// See [`AcceptReply`].
    #[prost(message, tag = "7")]
    AcceptReply(AcceptReply),
    /// See [`EvidenceReport`].
    #[prost(message, tag = "8")]
    Evidence(EvidenceReport),
}

/// What is said of one member.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct MemberInfo {
    /// The incarnation.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The instance's name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Where callers connect.
    #[prost(string, tag = "4")]
    pub http_addr: String,
    /// Where peers connect.
    #[prost(string, tag = "5")]
    pub peer_addr: String,
    /// When the incarnation started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "6")]
    pub started_ms: u64,
    /// The version of this knowledge.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "8")]
    pub status: u32,
    /// Whether the instance is leaving.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
}

/// A summary of the configuration.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct ConfigDigest {
    /// The number of objects.
    #[prost(uint64, tag = "1")]
    pub count: u64,
    /// The highest revision.
    #[prost(uint64, tag = "2")]
    pub max_revision: u64,
    /// The hash.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
    /// The store's revision up to which nothing is missing.
    #[prost(uint64, tag = "4")]
    pub complete_revision: u64,
}

/// The mean demand on a workspace's quota, as its sender sees it.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// The workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// The mean over the instances, in requests a second.
    #[prost(double, tag = "2")]
    pub mean_per_s: f64,
}

/// An endpoint that is leaving.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct EndpointInfo {
    /// The pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The endpoint.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The address.
    #[prost(string, tag = "3")]
    pub addr: String,
}

/// A probe with news.
#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    /// News of members, the sender first.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberInfo>,
    /// The hash of the sender's table.
    #[prost(fixed64, tag = "2")]
    pub table_digest: u64,
    /// The sender's configuration.
    #[prost(message, optional, tag = "3")]
    pub config: Option<ConfigDigest>,
    /// The mean demand on quotas; in an answer, averaged with that of the asker.
    #[prost(message, repeated, tag = "4")]
    pub demands: Vec<Demand>,
    /// Endpoints that are leaving.
    #[prost(message, repeated, tag = "5")]
    pub leaving: Vec<EndpointInfo>,
    /// Whether the sender wants the whole table.
    #[prost(bool, tag = "6")]
    pub wants_table: bool,
    /// What the sender saw of the versions that are rolled out.
    #[prost(message, repeated, tag = "7")]
    pub versions: Vec<VersionReport>,
}

/// What one instance saw of a version that is rolled out, summed since its start.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct VersionReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Outcomes on the version.
    #[prost(message, repeated, tag = "3")]
    pub on_version: Vec<ClassOutcomes>,
    /// Outcomes on the other versions.
    #[prost(message, repeated, tag = "4")]
    pub on_other_versions: Vec<ClassOutcomes>,
    /// Calls that still run on the other versions.
    #[prost(uint64, tag = "5")]
    pub running_on_other_versions: u64,
}

/// The answer to a probe, with news the other way.
#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    /// The answerer's news.
    #[prost(message, optional, tag = "1")]
    pub update: Option<Ping>,
}

/// Asks for configuration objects newer than a revision.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Fetch {
    /// The revision.
    #[prost(uint64, tag = "1")]
    pub since: u64,
}

/// One configuration object.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ObjectEntry {
    /// The path.
    #[prost(string, tag = "1")]
    pub path: String,
    /// The revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The value as JSON, or nothing for a deleted object.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
}

/// Configuration objects.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Objects {
    /// The objects, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<ObjectEntry>,
}

/// One receipt.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReceiptEntry {
    /// The receipt as JSON.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
}

/// Asks a peer to hold receipts until they are saved.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReceiptBatch {
    /// The number of this batch, from 1.
    #[prost(uint64, tag = "1")]
    pub batch: u64,
    /// The last batch whose receipts are all saved.
    #[prost(uint64, tag = "2")]
    pub saved_batch: u64,
    /// The receipts.
    #[prost(message, repeated, tag = "3")]
    pub receipts: Vec<ReceiptEntry>,
}

/// The answer to [`ReceiptBatch`] and [`EvidenceReport`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct AcceptReply {
    /// Whether there was room.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
}

/// Outcomes in one request class.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ClassOutcomes {
    /// The class.
    #[prost(string, tag = "1")]
    pub class: String,
    /// Answers rated good.
    #[prost(uint64, tag = "2")]
    pub good: u64,
    /// Answers rated bad.
    #[prost(uint64, tag = "3")]
    pub bad: u64,
    /// Calls answered.
    #[prost(uint64, tag = "4")]
    pub answered: u64,
    /// Calls failed.
    #[prost(uint64, tag = "5")]
    pub failed: u64,
    /// Answers slower than the objective.
    #[prost(uint64, tag = "6")]
    pub slow: u64,
}

/// An instance's evidence on a roll-out, for its controller.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct EvidenceReport {
    /// The roll-out.
    #[prost(string, tag = "1")]
    pub rollout: String,
    /// The counts since the instance started.
    #[prost(message, repeated, tag = "2")]
    pub classes: Vec<ClassOutcomes>,
}

impl Envelope {
    /// Wraps a message.
    pub fn new(from: u64, body: Body) -> Envelope {
        Envelope {
            from,
            body: Some(body),
        }
    }

    /// Encodes the message without its length.
    pub fn encode_frame(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a message.
    pub fn decode_frame(bytes: &[u8]) -> Result<Envelope, prost::DecodeError> {
        Envelope::decode(bytes)
    }
}
