//! Message types and their encoding.

use prost::{Message, Oneof};

/// A message and the incarnation that sent it.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The message, or `None` if its kind is unknown to this version.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub body: Option<Body>,
    /// Name of the sender's fleet, or empty if it has none.
    #[prost(string, tag = "10")]
    pub fleet: String,
}

/// The content of an [`Envelope`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Probes a peer, which responds with an [`Ack`].
    #[prost(message, tag = "2")]
    Ping(Ping),
    /// Response to a [`Ping`].
    #[prost(message, tag = "3")]
    Ack(Ack),
    /// Requests configuration objects; the peer responds with [`Objects`].
    #[prost(message, tag = "4")]
    Fetch(Fetch),
    /// Response to a [`Fetch`].
    #[prost(message, tag = "5")]
    Objects(Objects),
    /// Receipts to hold; the peer responds with an [`AcceptReply`].
    #[prost(message, tag = "6")]
    ReceiptBatch(ReceiptBatch),
    /// Response to a [`ReceiptBatch`] or an [`EvidenceReport`].
    #[prost(message, tag = "7")]
    AcceptReply(AcceptReply),
    /// Outcomes for the controller of a roll-out, which responds with an [`AcceptReply`].
    #[prost(message, tag = "8")]
    Evidence(EvidenceReport),
    /// Loads of endpoints by the sender's requests, sent as a datagram without a response.
    #[prost(message, tag = "9")]
    Loads(LoadReport),
}

/// The state of one member, as the sender's member table holds it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct MemberInfo {
    /// Random number of the process run.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Name of the instance.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Availability zone of the instance.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address for callers, as `host:port`.
    #[prost(string, tag = "4")]
    pub http_addr: String,
    /// Address for peers, as `host:port`.
    #[prost(string, tag = "5")]
    pub peer_addr: String,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "6")]
    pub started_ms: u64,
    /// Version of this entry; a higher one replaces a lower one.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// Status: 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "8")]
    pub status: u32,
    /// Whether the instance is shutting down and takes no new requests.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
    /// Address for requests that peers cannot serve themselves, as `host:port`, or empty.
    #[prost(string, tag = "10")]
    pub carry_addr: String,
    /// Whether the store does not answer the instance's calls, as far as it called lately.
    #[prost(bool, tag = "11")]
    pub lost_store: bool,
}

/// Digest of a configuration replica, to detect differences.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigDigest {
    /// Number of objects.
    #[prost(uint64, tag = "1")]
    pub count: u64,
    /// Highest revision of an object.
    #[prost(uint64, tag = "2")]
    pub max_revision: u64,
    /// Hash over the objects.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
    /// Store revision up to which the replica is complete.
    #[prost(uint64, tag = "4")]
    pub complete_revision: u64,
    /// Kind of the objects, or empty if the digest is over all kinds.
    #[prost(string, tag = "5")]
    pub kind: String,
    /// One more than the number of times that the store had come back from an older copy when it gave the
    /// objects; 0 in messages of earlier builds, which do not know.
    #[prost(uint64, tag = "6")]
    pub era: u64,
}

/// The sender's estimate of the mean demand on a workspace's quota.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Mean over the instances, in requests per second.
    #[prost(double, tag = "2")]
    pub mean_per_s: f64,
}

/// Identity of an endpoint.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct EndpointInfo {
    /// Pool of the endpoint.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Name of the endpoint.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Address of the endpoint, as `host:port`.
    #[prost(string, tag = "3")]
    pub addr: String,
}

/// A probe that carries the sender's state.
#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    /// Members that changed lately, or the whole table on request; the sender first.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberInfo>,
    /// Hash of the sender's member table.
    #[prost(fixed64, tag = "2")]
    pub table_digest: u64,
    /// Digest of the sender's configuration.
    #[prost(message, optional, tag = "3")]
    pub config: Option<ConfigDigest>,
    /// Mean demand on quotas; in an [`Ack`], averaged with the estimate of the [`Ping`].
    #[prost(message, repeated, tag = "4")]
    pub demands: Vec<Demand>,
    /// Endpoints that reported that they are leaving.
    #[prost(message, repeated, tag = "5")]
    pub leaving: Vec<EndpointInfo>,
    /// Whether the sender requests the whole member table.
    #[prost(bool, tag = "6")]
    pub wants_table: bool,
    /// The sender's outcome counts for the versions being rolled out.
    #[prost(message, repeated, tag = "7")]
    pub versions: Vec<VersionReport>,
    /// Digests of the sender's configuration by kind of object.
    #[prost(message, repeated, tag = "8")]
    pub kinds: Vec<ConfigDigest>,
}

/// Outcome counts of one instance for a version being rolled out, summed since its start.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct VersionReport {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Name of the version.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Outcomes on the version.
    #[prost(message, repeated, tag = "3")]
    pub on_version: Vec<ClassOutcomes>,
    /// Outcomes on the other versions.
    #[prost(message, repeated, tag = "4")]
    pub on_other_versions: Vec<ClassOutcomes>,
    /// Number of calls still running on the other versions.
    #[prost(uint64, tag = "5")]
    pub running_on_other_versions: u64,
    /// Whether the sender starts no more calls on the other versions; not set by earlier builds.
    #[prost(bool, tag = "6")]
    pub has_moved: bool,
    /// Number of these calls whose answers would be lost if their endpoints ended.
    #[prost(uint64, tag = "7")]
    pub lost_if_ended: u64,
}

/// The response to a [`Ping`], which carries the responder's state.
#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    /// State of the responder.
    #[prost(message, optional, tag = "1")]
    pub update: Option<Ping>,
}

/// Requests the configuration objects that changed after a revision.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Fetch {
    /// Revision after which to send objects; 0 starts at the oldest object.
    #[prost(uint64, tag = "1")]
    pub since: u64,
    /// Kind of the objects, or empty for all kinds.
    #[prost(string, tag = "2")]
    pub kind: String,
    /// Whether the sender decodes compressed values.
    #[prost(bool, tag = "3")]
    pub accepts_compressed: bool,
    /// One more than the era of the sender's objects of that kind; 0 in messages of earlier builds.
    #[prost(uint64, tag = "4")]
    pub era: u64,
}

/// One configuration object.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ObjectEntry {
    /// Path of the object.
    #[prost(string, tag = "1")]
    pub path: String,
    /// Revision of the last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value as JSON, or `None` for a deleted object.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
    /// Compressed value as JSON, in place of `value`.
    #[prost(bytes = "vec", optional, tag = "4")]
    pub compressed_value: Option<Vec<u8>>,
}

/// A list of configuration objects.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Objects {
    /// Objects in ascending order of revision.
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<ObjectEntry>,
    /// One more than the era of the objects, all of them if it is not that of the fetch; 0 in messages of
    /// earlier builds.
    #[prost(uint64, tag = "2")]
    pub era: u64,
}

/// An encoded receipt.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReceiptEntry {
    /// Receipt as JSON.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
}

/// Receipts that the peer is to hold until the sender has saved them.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReceiptBatch {
    /// Number of this batch, from 1.
    #[prost(uint64, tag = "1")]
    pub batch: u64,
    /// Last batch of which all receipts are saved, so that the peer may drop them.
    #[prost(uint64, tag = "2")]
    pub saved_batch: u64,
    /// Receipts of the batch.
    #[prost(message, repeated, tag = "3")]
    pub receipts: Vec<ReceiptEntry>,
}

/// The response to a [`ReceiptBatch`] or an [`EvidenceReport`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct AcceptReply {
    /// Whether the peer took the message: it has room and can decode all receipts of a batch, or it
    /// controls the roll-out of a report.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
}

/// Outcome counts of one request class.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ClassOutcomes {
    /// Request class.
    #[prost(string, tag = "1")]
    pub class: String,
    /// Number of answers rated good.
    #[prost(uint64, tag = "2")]
    pub good: u64,
    /// Number of answers rated bad.
    #[prost(uint64, tag = "3")]
    pub bad: u64,
    /// Number of calls answered.
    #[prost(uint64, tag = "4")]
    pub answered: u64,
    /// Number of calls failed.
    #[prost(uint64, tag = "5")]
    pub failed: u64,
    /// Number of answers slower than the objective.
    #[prost(uint64, tag = "6")]
    pub slow: u64,
    /// Number of answers by their time, without the empty buckets at the end. Each bucket is as wide
    /// as a third of a doubling, and the first ends at 5 ms.
    #[prost(uint64, repeated, tag = "7")]
    pub times: Vec<u64>,
    /// Number of streams by the time between their events in percent of what is usual, like `times`.
    #[prost(uint64, repeated, tag = "8")]
    pub paces: Vec<u64>,
}

/// The outcome counts of one instance, for the controller of a roll-out.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct EvidenceReport {
    /// Name of the roll-out.
    #[prost(string, tag = "1")]
    pub rollout: String,
    /// Counts since the start of the instance, by request class.
    #[prost(message, repeated, tag = "2")]
    pub classes: Vec<ClassOutcomes>,
}

/// Loads of endpoints by the requests of one instance, and rate limits. The first two lists have
/// the same length.
#[derive(Clone, PartialEq, Message)]
pub struct LoadReport {
    /// Hashes of the endpoints' identifiers and starts.
    #[prost(fixed64, repeated, tag = "1")]
    pub endpoints: Vec<u64>,
    /// Loads, in tenths of an average request.
    #[prost(uint32, repeated, tag = "2")]
    pub units: Vec<u32>,
    /// Rate limits that endpoints named.
    #[prost(message, repeated, tag = "3")]
    pub limits: Vec<EndpointLimit>,
    /// Requests and prompt parts under which endpoints ended, or that are blocked for it.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<CrashReport>,
    /// Hashes of the endpoints that said that they leave.
    #[prost(fixed64, repeated, tag = "5")]
    pub leaving: Vec<u64>,
    /// Hashes of the endpoints to which the sender establishes no connection.
    #[prost(fixed64, repeated, tag = "6")]
    pub out_of_reach: Vec<u64>,
    /// Hashes of the endpoints that were out of reach and to which a connection was established lately.
    #[prost(fixed64, repeated, tag = "7")]
    pub reached_again: Vec<u64>,
    /// Instances that reach no endpoint of a service: the sender, and those whose reports it sums up.
    #[prost(message, repeated, tag = "8")]
    pub cut_off: Vec<CutOff>,
    /// Endpoints that are cold.
    #[prost(message, repeated, tag = "12")]
    pub cold: Vec<ColdEndpoint>,
    /// Hashes of the endpoints of which there are samples of the speed. The four lists of samples have
    /// the same length, and are absent from most reports.
    #[prost(fixed64, repeated, tag = "16")]
    pub pace_endpoints: Vec<u64>,
    /// Means of the logarithms of the times relative to the usual ones, in thousandths.
    #[prost(sint32, repeated, tag = "17")]
    pub pace_mean_logs: Vec<i32>,
    /// Weights of the samples, in tenths of one of a second or more.
    #[prost(uint32, repeated, tag = "18")]
    pub pace_weights: Vec<u32>,
    /// Means of the squares of the logarithms, in thousandths.
    #[prost(uint32, repeated, tag = "19")]
    pub pace_mean_squares: Vec<u32>,
}

/// An endpoint that takes few requests for a while.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct ColdEndpoint {
    /// Hash of the endpoint's identifier.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// For how long it stays cold, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub left_ms: u64,
    /// Instances that passed this on.
    #[prost(uint32, tag = "3")]
    pub hops: u32,
}

/// Instances that reach no endpoint of a service.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct CutOff {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Incarnations of the instances.
    #[prost(fixed64, repeated, tag = "2")]
    pub instances: Vec<u64>,
}

/// What an instance saw of a request or prompt part under which endpoints ended.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct CrashReport {
    /// Hash of the part, or of the content of the request.
    #[prost(fixed64, tag = "1")]
    pub subject: u64,
    /// How long ago endpoints ended, in milliseconds.
    #[prost(uint64, repeated, tag = "2")]
    pub crash_ages_ms: Vec<u64>,
    /// How long ago an endpoint was seen to survive, in milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub survival_age_ms: Option<u64>,
    /// How much longer the subject is blocked, in milliseconds, if it is; negative after the block.
    #[prost(sint64, optional, tag = "4")]
    pub block_left_ms: Option<i64>,
    /// The length of the block, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub block_length_ms: u64,
    /// Whether the subject is a request and not a prompt part.
    #[prost(bool, tag = "6")]
    pub is_request: bool,
    /// Hashes of the endpoints that ended, in the order of `crash_ages_ms`.
    #[prost(fixed64, repeated, tag = "7")]
    pub crash_endpoints: Vec<u64>,
}

/// What an endpoint last said of its rate limit.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct EndpointLimit {
    /// Hash of the endpoint's identifier and start.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Requests per second that it takes from all instances together, or `None` if it named no
    /// limit.
    #[prost(double, optional, tag = "2")]
    pub limit_per_s: Option<f64>,
    /// How long ago it said so, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Instances that passed this on.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
}

impl Envelope {
    /// Wraps a message from the incarnation `from`.
    pub fn new(from: u64, body: Body) -> Envelope {
        Envelope {
            from,
            body: Some(body),
            fleet: String::new(),
        }
    }

    /// Sets the name of the sender's fleet.
    pub fn in_fleet(mut self, fleet: &str) -> Envelope {
        self.fleet = fleet.to_owned();
        self
    }

    /// Returns whether the sender belongs to another fleet than `fleet`.
    ///
    /// A fleet without a name is no other one, so that a name can be given to running instances in turn.
    pub fn is_from_other_fleet(&self, fleet: &str) -> bool {
        !fleet.is_empty() && !self.fleet.is_empty() && self.fleet != fleet
    }

    /// Returns the length of the encoded envelope in bytes.
    pub fn frame_bytes(&self) -> usize {
        self.encoded_len()
    }

    /// Encodes the envelope, without the length prefix of the frame.
    pub fn encode_frame(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes an envelope from the content of a frame.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not an encoded envelope.
    pub fn decode_frame(bytes: &[u8]) -> Result<Envelope, prost::DecodeError> {
        Envelope::decode(bytes)
    }
}
