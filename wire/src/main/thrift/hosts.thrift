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

/** One change of the list of endpoints; without a service the endpoint was removed. */
struct EndpointChangeMessage {
  1: required string id
  2: required i64 version
  3: optional string serviceName
  4: optional string ip
  5: optional i32 port
  6: optional string zone
  7: optional i32 slots
  8: optional bool draining
  9: optional i64 startedMillis
}

/** What a host has read of the store. */
struct StoreNewsMessage {
  1: required bool reachable
  2: required i64 endpointsVersion
  3: required i64 endpointsAgeMillis
  4: required i64 completeFrom
  5: required list<EndpointChangeMessage> changes
  6: required i64 configRowVersion
  7: required i64 configAgeMillis
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
  8: required StoreNewsMessage news
}
