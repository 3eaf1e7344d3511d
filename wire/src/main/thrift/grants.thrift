namespace java org.dragonflygw.wire.grants

include "clock.thrift"
include "gossip.thrift"

/** Decision of an engine's steward on a grant request. */
enum GrantStatus {
  GRANTED = 0
  /** The engine is at its load bound, and the queue is full or its wait would exceed the wait limit. */
  OVERLOADED = 1
  /** The answer could not arrive before the deadline. */
  DEADLINE = 2
  /** The engine is leaving or gone. */
  LEAVING = 3
  /** The receiver does not consider itself the steward of the engine. */
  NOT_STEWARD = 4
  /** The request fingerprint is quarantined. */
  QUARANTINED = 5
  /** The team is over its rate. */
  TEAM_RATE = 6
  /** The chat was moved to another engine, which holds its cache. */
  REDIRECTED = 7
  /** The request was in flight on a crashing engine, and another such request already runs here. */
  SUSPECT_BUSY = 8
}

struct GrantRequest {
  1: required string requestId
  2: required string engineId
  3: required string serviceName
  4: required string teamName
  5: required i32 promptTokens
  /** Time left until the deadline of the request, in milliseconds. */
  6: required i64 remainingMillis
  /** Longest time the request may wait in the queue, in milliseconds. */
  7: required i64 maxWaitMillis
  8: required i32 priority
  9: required i64 fingerprint
  10: required i32 attempt
  11: required clock.HybridTimestamp sentAt
  /** Hash of the chat. */
  12: required i64 chatHash
  /** Hash of service, adapter and prompt prefix. */
  13: required i64 prefixHash
  14: required i32 teamWeight
  /** The request was in flight on an engine that was lost. */
  15: optional bool suspect = false
  /** Whether the sender follows a redirect to the engine that holds the chat's cache. */
  16: optional bool followRedirect = false
  /** The request already runs under a grant of an earlier steward; it is counted and never refused. */
  17: optional bool adopted = false
  /** No other engine has a slot. */
  18: optional bool lastResort = false
}

struct GrantReply {
  1: required GrantStatus status
  /** Identifies the grant in renewals and the release; 0 when refused. */
  2: required i64 grantId
  /** Epoch of the steward that gave the grant. */
  3: required i64 epoch
  4: required i64 leaseMillis
  5: required i64 queuedMillis
  /** When refused: earliest useful retry, in milliseconds from now. */
  6: required i64 retryAfterMillis
  7: required clock.HybridTimestamp sentAt
  /** Requests on the engine after the decision. */
  8: required i32 inFlight
  /** Engine that holds the chat's cache; set when redirected. */
  9: optional string redirectEngineId
  /** When refused: a request with the same fingerprint runs on the engine. */
  10: optional bool sameInFlight = false
  /** When refused: the engine has slots that only the load bound holds back. */
  11: optional bool heldByBound = false
}

enum GrantOutcome {
  COMPLETED = 0
  FAILED = 1
  CANCELLED = 2
  /** The connection to the engine was lost while the request ran. */
  ENGINE_LOST = 3
  /** The engine could not be reached; nothing was sent. */
  UNREACHABLE = 4
}

struct GrantEnd {
  1: required string engineId
  2: required i64 grantId
  3: required i64 epoch
  4: required GrantOutcome outcome
  5: required i64 fingerprint
}

/** Renewals of the grants on one engine. */
struct GrantRenewal {
  1: required string engineId
  2: required i64 epoch
  3: required list<i64> grantIds
}

/** Tells the steward of a chat's first-choice engine which other engine took the chat. */
struct ChatSpill {
  1: required string engineId
  2: required i64 chatHash
  3: required string toEngineId
}

/** Tells the owner of a request fingerprint that an engine was lost while it ran the request. */
struct CrashReport {
  1: required i64 fingerprint
  2: required string engineId
  3: required string requestId
}

/** Tells the owner of a request fingerprint whether the only allowed attempt has ended or still runs. */
struct SuspectUpdate {
  1: required i64 fingerprint
  2: required string requestId
  3: required bool ended
  4: required bool completed
}

/** Renewals and ends of grants, with chat spills and crash news, batched per receiver. */
struct GrantUpdate {
  1: required list<GrantEnd> ends
  2: required list<GrantRenewal> renewals
  3: required clock.HybridTimestamp sentAt
  4: optional list<ChatSpill> spills
  5: optional list<CrashReport> crashes
  6: optional list<SuspectUpdate> suspects
  /** Fingerprints that were just quarantined. */
  7: optional list<gossip.QuarantineRow> quarantined
}

/** Load of one engine, as its steward reports it to the other stewards of the pool. */
struct EngineLoad {
  1: required string engineId
  2: required i64 epoch
  3: required i64 version
  4: required i32 inFlight
  5: required bool closed
}

/** Loads of those engines of one pool whose steward is the sender. */
struct LoadStatement {
  1: required string poolName
  2: required list<EngineLoad> loads
}

/** Sum over the engines of the pool that the load statement did not name. */
struct LoadSum {
  1: required i32 inFlight
  /** Sum of the capacities of the engines that accept work. */
  2: required i32 capacity
}

struct GrantUpdateReply {
  /** Renewals of grants unknown to the steward; the sender must request these grants again. */
  1: required list<GrantRenewal> unknown
  2: required clock.HybridTimestamp sentAt
}

/** Asks the daemon that keeps a team's token bucket for tokens. */
struct TeamTokenRequest {
  1: required string teamName
  2: required i32 wanted
}

struct TeamTokenReply {
  1: required i32 granted
  2: required i64 validMillis
  3: required i64 retryAfterMillis
}

enum SuspectKind {
  CLEAR = 0
  SOLO = 1
  BUSY = 2
  QUARANTINED = 3
}

/** Asks the owner of a request fingerprint whether the request may be attempted. */
struct SuspectRequest {
  1: required i64 fingerprint
  2: required string requestId
}

struct SuspectReply {
  1: required SuspectKind kind
  2: required i64 retryAfterMillis
}
