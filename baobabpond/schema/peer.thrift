// Messages between entry instances.

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

// One datagram of the failure detector. Rumours ride on each of them.
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
