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
  2: required string address
  3: required i32 peerPort
  4: required i32 operatorPort
  5: required string availabilityZone
  6: required string region
  7: required i64 incarnation
  8: required MemberStatus status
}

/** One engine or plain endpoint as last stated by its steward. */
struct EndpointRow {
  1: required string endpointId
  2: required i64 epoch
  3: required i64 version
  4: required i32 inFlight
  5: required i32 queued
  /** Whether it takes no new work. */
  6: required bool closed
  7: required i32 waitMillis
  /** Time since the sender learned it, in milliseconds. */
  8: required i32 ageMillis
}

/** A request fingerprint under quarantine. */
struct QuarantineRow {
  1: required i64 fingerprint
  2: required i32 crashes
  3: required i64 untilMillis
}

/** One half of a push-pull exchange. */
struct GossipMessage {
  1: required MemberRow sender
  /** Digest of the members that the sender knows; rows are exchanged where digests differ. */
  2: required i64 memberDigest
  /** Number of the sheet in force at the sender. */
  3: required i64 sheetInForce
  /** Newest sheet version that the sender has heard of; 0 and empty for none. */
  4: required i64 newestSheet
  5: required binary newestDigest
  6: required list<MemberRow> members
  7: required list<EndpointRow> endpoints
  8: required list<QuarantineRow> quarantined
  9: required clock.HybridTimestamp sentAt
}

struct SheetRequest {
  /** SHA-256 of the wanted sheet, in hexadecimal. */
  1: required string digest
}

struct SheetReply {
  1: required bool found
  /** The sheet, compressed with gzip. */
  2: required binary content
}
