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

/** Load of one engine or plain endpoint, as its steward last reported it. */
struct EndpointRow {
  1: required string endpointId
  2: required i64 epoch
  3: required i64 version
  4: required i32 inFlight
  5: required i32 queued
  /** Whether the endpoint accepts no new requests. */
  6: required bool closed
  7: required i32 waitMillis
  /** Time since the sender received this load, in milliseconds. */
  8: required i32 ageMillis
}

/** A request fingerprint under quarantine. */
struct QuarantineRow {
  1: required i64 fingerprint
  2: required i32 crashes
  3: required i64 untilMillis
}

/** Request or reply of a push-pull gossip exchange. */
struct GossipMessage {
  1: required MemberRow sender
  /** Digest of the sender's member table; member rows are exchanged when the digests differ. */
  2: required i64 memberDigest
  /** Number of the sheet in force at the sender. */
  3: required i64 sheetInForce
  /** Number of the newest sheet version known to the sender; 0, with an empty digest, for none. */
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
