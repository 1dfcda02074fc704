// Calls and gossip messages between instances.

enum MemberState {
  ALIVE = 1
  SUSPECT = 2
  LEAVING = 3
  DEAD = 4
}

struct Member {
  1: required string instance
  2: required i64 incarnation
  3: required string address
  4: required i32 http_port
  5: required i32 peer_port
  6: required string data_centre
  7: required MemberState state
  8: required i64 settings_revision
  9: required i64 started_us
}

enum GossipKind {
  PING = 1
  ACK = 2
  PING_REQUEST = 3
}

// A datagram of the SWIM failure detector, with piggybacked member updates.
struct GossipMessage {
  1: required GossipKind kind
  2: required i64 sequence
  3: required Member sender
  4: optional string target
  5: required list<Member> rumours
}

struct SettingsBody {
  1: required i64 revision
  2: required string tree_json
}

struct TrainerCall {
  1: required string operation
  2: required string path
  3: required binary body
  4: required i32 timeout_ms
}

struct TrainerReply {
  1: required i32 status
  2: required binary body
}

service Peer {
  list<Member> exchange_members(1: list<Member> members)
  SettingsBody fetch_settings()
  TrainerReply trainer_call(1: TrainerCall call)
}

struct LogRecord {
  1: required string key
  2: required binary value
  3: required i64 offset
}

// Identifies an append of a producer, so that a retry has no effect.
struct LogFence {
  1: required string producer
  2: required i64 epoch
  3: required i64 sequence
}

struct LogAppend {
  1: required string topic
  2: required i32 partition
  3: required list<LogRecord> records
  4: optional i64 expected_end
  5: optional LogFence fence
  6: required i32 timeout_ms
}

struct LogAppended {
  1: required string outcome
  2: required i64 offset
  3: required string detail
}

struct LogPage {
  1: required i64 end
  2: required list<LogRecord> records
  3: required bool has_more
}

exception LogUnavailable {
  1: required string reason
}

exception LogExpired {
  1: required string reason
}

// Asks for a permit to send one request to an upstream that states a limit.
struct PermitCall {
  1: required string upstream
  2: required i64 born
  // Requests a second, as the asking instance knows it.
  3: required double limit
  4: required double max_wait_s
  // Permits that must be left for more urgent requests.
  5: required double spare
}

struct PermitDecision {
  1: required bool is_granted
  // Until the request may be sent; if refused, until asking again helps.
  2: required double delay_s
}

exception NotIssuer {
  1: required string reason
}

// Identifies one start of an upstream.
struct UpstreamKey {
  1: required string upstream
  2: required i64 born
}

struct ReachedUpstreams {
  // Ids of those that the instance can connect to.
  1: required list<string> reached
  // Where the instance takes requests to pass on to upstreams.
  2: required i32 relay_port
  // For each of them, in the same order, how long ago a connection succeeded.
  3: optional list<i64> ages_ms
}

// Calls between instances on a platform. Named after the first of them.
service LogRelay {
  // Log calls for an instance that cannot reach the log directly.
  LogAppended append(1: LogAppend call)
  LogPage read(1: string topic, 2: i32 partition, 3: i64 offset, 4: i32 wait_ms) throws (1: LogUnavailable unavailable, 2: LogExpired expired)
  LogPage newest(1: string topic, 2: i32 partition, 3: string after) throws (1: LogUnavailable unavailable)
  // Returns a page of the snapshot that the instance itself loads or has loaded lately.
  // LogUnavailable: the page is not loaded yet; LogExpired: the snapshot is not kept.
  LogPage snapshot(1: string topic, 2: i32 partition, 3: string after, 4: i32 wait_ms) throws (1: LogUnavailable unavailable, 2: LogExpired expired)
  // NotIssuer: the instance does not own the shard.
  PermitDecision obtain_permit(1: PermitCall call) throws (1: NotIssuer not_issuer)
  // Which of some upstreams the instance reaches; it may connect to them first.
  ReachedUpstreams find_reached(1: list<UpstreamKey> upstreams)
}
