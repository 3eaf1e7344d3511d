namespace java org.dragonflygw.wire.gossip

include "clock.thrift"

enum MemberStatus {
  ALIVE = 0
  SUSPECT = 1
  LEAVING = 2
  DEAD = 3
}

/** One daemon as known to the sender. */
struct MemberRow {
  1: required string daemonId
  2: required string host
  3: required i32 peerPort
  4: required i32 operatorPort
  5: required string availabilityZone
  6: required string region
  7: required i64 incarnation
  8: required i64 heartbeat
  9: required MemberStatus status
  10: required i64 configVersion
}

/** One engine or plain endpoint as last seen by its steward. */
struct EndpointRow {
  1: required string endpointId
  2: required i64 epoch
  3: required i64 version
  4: required i32 inFlight
  5: required i32 queued
  6: required bool leaving
  7: required i32 waitMillis
}

/** A request fingerprint under quarantine. */
struct QuarantineRow {
  1: required i64 fingerprint
  2: required i32 crashes
  3: required i64 untilMillis
}

struct GossipMessage {
  1: required string senderId
  2: required i64 senderIncarnation
  /** Digest of the sender's whole state, to tell when a full exchange is needed. */
  3: required i64 stateDigest
  4: required list<MemberRow> members
  5: required list<EndpointRow> endpoints
  6: required list<QuarantineRow> quarantined
  7: required i64 configVersion
  8: required string configDigest
  9: required clock.HybridTimestamp sentAt
}

struct SheetRequest {
  1: required string digest
}

struct SheetReply {
  1: required bool found
  2: required binary content
}
