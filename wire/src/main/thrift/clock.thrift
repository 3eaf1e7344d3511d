namespace java org.dragonflygw.wire.clock

/** Reading of the sender's hybrid logical clock, carried in messages between daemons. */
struct HybridTimestamp {
  /** Unix time in milliseconds. */
  1: required i64 physicalMillis
  /** Orders events of the same millisecond. */
  2: required i32 logical
}
