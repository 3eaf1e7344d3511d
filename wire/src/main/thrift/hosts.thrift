namespace java org.dragonflygw.wire.hosts

/** What one host has at one endpoint. */
struct EndpointUseMessage {
  1: required string endpoint
  /** Requests under way. */
  2: required i32 inFlight
  /** Prompt tokens that the endpoint has still to read for them. */
  3: required i64 unreadTokens
}

/** One part of a prompt. */
struct PromptPartMessage {
  1: required i64 id
  2: required i32 tokens
}

/** The start of a prompt that was sent to an endpoint, which now caches it. */
struct PromptHoldingMessage {
  1: required string endpoint
  2: required list<PromptPartMessage> parts
}

/** What a host tells the others several times a second. */
struct HostReportMessage {
  1: required string host
  2: required string ip
  3: required i32 port
  /** Unix time of the process' start in milliseconds; a later one is a later process. */
  4: required i64 startedMillis
  /** Rises with each report of a process. */
  5: required i64 sequence
  6: required list<EndpointUseMessage> uses
  7: required list<PromptHoldingMessage> holdings
}
