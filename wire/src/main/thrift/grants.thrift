namespace java org.dragonflygw.wire.grants

include "clock.thrift"

/** What the steward of an engine decided about a grant request. */
enum GrantStatus {
  GRANTED = 0
  /** The engine is at its bound and the queue is full or would outlast the wait limit. */
  OVERLOADED = 1
  /** The answer could not arrive before the deadline. */
  DEADLINE = 2
  /** The engine is leaving or gone. */
  LEAVING = 3
  /** The receiver is not the steward of the engine in its own view. */
  NOT_STEWARD = 4
  /** The request fingerprint is quarantined. */
  QUARANTINED = 5
  /** The team is over its rate. */
  TEAM_RATE = 6
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
}

enum GrantOutcome {
  COMPLETED = 0
  FAILED = 1
  CANCELLED = 2
  /** The connection to the engine was lost while the request ran. */
  ENGINE_LOST = 3
}

struct GrantEnd {
  1: required string engineId
  2: required i64 grantId
  3: required i64 epoch
  4: required GrantOutcome outcome
  5: required i64 fingerprint
}

/** Renewals and ends of grants, batched per steward. */
struct GrantUpdate {
  1: required list<GrantEnd> ends
  2: required list<i64> renewedGrantIds
  3: required clock.HybridTimestamp sentAt
}

struct GrantUpdateReply {
  /** Grants that the steward no longer knows. */
  1: required list<i64> unknownGrantIds
  2: required clock.HybridTimestamp sentAt
}
