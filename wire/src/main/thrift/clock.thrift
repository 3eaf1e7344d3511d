namespace java org.dragonflygw.wire.clock

/** Hybrid logical clock reading carried in each message between daemons. */
struct HybridTimestamp {
  /** Milliseconds since the epoch. */
  1: required i64 physicalMillis
  /** Orders events of the same millisecond. */
  2: required i32 logical
}
