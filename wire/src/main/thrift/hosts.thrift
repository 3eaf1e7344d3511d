namespace java org.dragonflygw.wire.hosts

/** Load that one host places on one endpoint. */
struct EndpointUseMessage {
  1: required string endpoint
  /** Requests in flight, and those given up lately. */
  2: required i32 inFlight
  /** Prompt tokens of these requests that the endpoint has not read yet. */
  3: required i64 unreadTokens
  /** Failure score that the host keeps for the endpoint, times 100. */
  4: optional i32 failureHundredths
}

/** One part of a prompt. */
struct PromptPartMessage {
  1: required i64 id
  2: required i32 tokens
}

/** The start of a prompt that was sent to an endpoint and is expected in the endpoint's cache. */
struct PromptHoldingMessage {
  1: required string endpoint
  2: required list<PromptPartMessage> parts
}

/** One change of the endpoint list; no service name means that the endpoint was removed. */
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
  10: optional string softwareVersion
  /** Remaining time of the endpoint's warm-up. */
  11: optional i64 warmupLeftMillis
}

/** A service that receives a weighted share of a route's requests. */
struct WeightedServiceMessage {
  1: required string serviceName
  2: required i32 weight
}

/** One route of the configuration. */
struct RouteMessage {
  1: required string name
  2: required string host
  3: required string pathPrefix
  /** Name of a RouteKind constant. */
  4: required string kind
  5: required i64 timeoutMillis
  6: required i64 objectiveMillis
  7: required i32 priority
  8: required list<WeightedServiceMessage> services
  9: required i32 maxAttempts
  10: required bool anonymous
  11: required bool promptAffinity
  12: required bool resumable
  13: required i64 maxEventGapMillis
}

/** One service of the configuration. */
struct ServiceMessage {
  1: required string name
  2: required string healthPath
  3: required i32 maxConnections
  4: required i32 slots
  5: required i64 cacheTokens
  6: required i64 bytesPerToken
  7: optional i64 warmupMillis
  /** Requests per second that a cold endpoint tolerates. */
  8: optional double warmupPerSecond
}

/** The team that an API key belongs to. */
struct KeyMessage {
  1: required string key
  2: required string team
  3: optional i32 priority
}

/** Difference between two configurations. */
struct CatalogUpdateMessage {
  1: required i64 fromRowVersion
  2: required i64 rowVersion
  3: required i64 version
  4: required i32 maxHeaderBytes
  5: required i32 maxBodyBytes
  6: required i64 headerTimeoutMillis
  7: required i64 idleTimeoutMillis
  8: required bool keysRequired
  9: required list<RouteMessage> routes
  10: required list<string> removedRoutes
  11: required list<ServiceMessage> services
  12: required list<string> removedServices
  13: required list<KeyMessage> keys
  14: required list<string> removedKeys
}

/** Endpoint and configuration changes that a host has read from the store. */
struct StoreNewsMessage {
  1: required bool reachable
  2: required i64 endpointsVersion
  3: required i64 endpointsAgeMillis
  4: required i64 completeFrom
  5: required list<EndpointChangeMessage> changes
  6: required i64 configRowVersion
  7: required i64 configAgeMillis
  8: required list<CatalogUpdateMessage> updates
  /** Era of the store that the versions belong to. */
  9: optional i64 storeEra
  /** Version of the configuration in force. */
  10: optional i64 configVersion
  /** Version up to which the evacuated zones are complete; not set if the host does not know them. */
  11: optional i64 evacuationVersion
  /** Availability zones that are evacuated. */
  12: optional list<string> evacuatedZones
}

/** A request during which connections to endpoints were lost. */
struct CrashSuspectMessage {
  1: required i64 fingerprint
  2: required list<string> endpoints
  /** Time since the last of these losses. */
  3: optional i64 ageMillis
}

/** Requests that the host had at an endpoint when the endpoint was lost. */
struct EndpointLossesMessage {
  1: required string endpoint
  2: required list<i64> fingerprints
  /** Time since the loss. */
  3: required i64 ageMillis
}

/** The end of an endpoint under a prompt. */
struct PartLossMessage {
  1: required string endpoint
  /** Time since the request was sent. */
  2: required i64 sentAgeMillis
  /** Time since the connection was lost. */
  3: required i64 lostAgeMillis
  /** Share of such prompts that were lost in this way around that time, estimated by the host that saw it. */
  4: optional double chance
}

/** A part of prompts, and the endpoints that ended under prompts with it. */
struct PartSuspectMessage {
  1: required i64 part
  2: required list<PartLossMessage> losses
}

/** A part of prompts on which an endpoint wrote an answer and lived on. */
struct SoundPartMessage {
  1: required i64 part
  /** Time since then. */
  2: required i64 ageMillis
}

/** An instance of an endpoint that said in a response that it is leaving. */
struct LeavingEndpointMessage {
  1: required string id
  2: required i64 startedMillis
  /** Time since a host first heard it. */
  3: required i64 ageMillis
}

/** What a host knows of the requests that an instance of an endpoint takes from all hosts together. */
struct EndpointRateMessage {
  1: required string id
  2: required i64 startedMillis
  /** Requests per second; not set if the endpoint names no limit. */
  3: optional double limit
  /** Time since the request was sent whose response says so. */
  4: required i64 sentAgeMillis
  /** Time since that response was heard. */
  5: required i64 heardAgeMillis
  /** Set if no response of the instance is known; the limit and the ages then say nothing. */
  6: optional bool unknown
  /** Time for which the instance is still cold; not set if it is warm. */
  7: optional i64 coldLeftMillis
  /** Requests per second that the instance tolerates until then. */
  8: optional double coldPerSecond
}

/** Reply of a host that gives out the limit of an endpoint. */
struct PermitReplyMessage {
  1: required bool granted
  /** Time until the next permit. */
  2: required i64 waitMillis
  3: required EndpointRateMessage rate
}

/** State that a host reports to the other hosts several times a second. */
struct HostReportMessage {
  1: required string host
  2: required string ip
  3: required i32 port
  /** Unix time of the process start in milliseconds; a larger value means a later process. */
  4: required i64 startedMillis
  /** Increases with each report of a process. */
  5: required i64 sequence
  6: required list<EndpointUseMessage> uses
  7: required list<PromptHoldingMessage> holdings
  8: required StoreNewsMessage news
  9: required list<CrashSuspectMessage> crashes
  10: optional list<LeavingEndpointMessage> leaving
  /** Fingerprints of requests that received a complete response after a loss. */
  11: optional list<i64> cleared
  12: optional list<EndpointLossesMessage> losses
  /** Losses while the endpoint was beginning to write its answer. */
  13: optional list<PartSuspectMessage> partSuspects
  14: optional list<SoundPartMessage> soundParts
  15: optional list<EndpointRateMessage> rates
  /** Losses of prompts of whose answer nothing was read; weaker evidence, which earlier builds ignore. */
  16: optional list<PartSuspectMessage> unreadPartSuspects
}

/** Row of the store in which a host keeps requests that may crash endpoints. */
struct CrashRowMessage {
  /** Unix time at which the row was written. */
  1: required i64 writtenMillis
  2: required list<CrashSuspectMessage> suspects
  /** Losses while the endpoint was beginning to write its answer. */
  3: optional list<PartSuspectMessage> partSuspects
  /** Losses of prompts of whose answer nothing was read; weaker evidence, which earlier builds ignore. */
  4: optional list<PartSuspectMessage> unreadPartSuspects
}

/** Where the stream of an attempt begins. */
struct StreamOriginMessage {
  1: required string attempt
  2: required string serviceName
  /** Version of the software of the endpoint that wrote the first event. */
  3: required string softwareVersion
}

/** Question where the stream of an attempt began. */
struct OriginRequestMessage {
  1: required string attempt
  /** Service that is asked for now. */
  2: required string serviceName
}

/** Reply to such a question; without a service and a version the host does not know. */
struct OriginReplyMessage {
  1: optional string serviceName
  2: optional string softwareVersion
  /** The only version that the service has had for as long as streams last, if the host is sure. */
  3: optional string onlyVersion
  /** Whether the service has had several versions in that time. */
  4: optional bool severalVersions
}

/**
 * Loads on endpoints. Endpoints are named by 28 bits of the hashes of their ids, sorted; the lists have one element for
 * each endpoint unless they say otherwise.
 */
struct EndpointSumsMessage {
  /** Differences between successive hashes. */
  1: required list<i32> endpointGaps
  /** Requests in flight. */
  2: required list<i32> inFlight
  /** Prompt tokens of these requests that the endpoint has not read yet, in units of 16. */
  3: required list<i32> unreadUnits
  /** Positions of the endpoints with a failure score. */
  4: optional list<i32> failurePositions
  /** Sums of failure scores at these positions, times 100. */
  5: optional list<i32> failureHundredths
}

/** Prompt prefixes that were sent to endpoints. */
struct SharedPrefixesMessage {
  /** Hashes of the endpoints, one for each prefix. */
  1: required list<i32> endpoints
  /** Number of parts of each prefix. */
  2: required list<i32> partCounts
  /** The parts of all prefixes. */
  3: required list<i64> partIds
  4: required list<i32> partTokens
}

/** Load of one host on endpoints, sent to the hosts that add loads up. */
struct HostLoadMessage {
  1: required string host
  /** Increases with each message of a host, also over restarts. */
  2: required i64 sequence
  3: required EndpointSumsMessage loads
  4: optional SharedPrefixesMessage prefixes
}

/** Load of many hosts on endpoints. */
struct FleetLoadMessage {
  /** Name of the host that added the loads up. */
  1: required string relay
  /** Increases with each message of the relay, also over restarts. */
  2: required i64 sequence
  /** Mean age of the loads. */
  3: required i32 ageMillis
  /** Differences between successive hashes of the names of the hosts that are included, 28 bits each. */
  4: required list<i32> hostGaps
  /** Low 13 bits of the numbers of the messages of these hosts that are included. */
  5: required list<i32> hostSequences
  6: required EndpointSumsMessage loads
  7: optional SharedPrefixesMessage prefixes
}

/** A message from one host to another beside the reports; one of the optional fields is set. */
struct PeerMessage {
  /** Number that a reply repeats from its question. */
  1: required i64 id
  2: optional EndpointRateMessage permitRequest
  3: optional PermitReplyMessage permitReply
  4: optional StreamOriginMessage streamOrigin
  5: optional OriginRequestMessage originRequest
  6: optional OriginReplyMessage originReply
  7: optional HostLoadMessage hostLoad
  8: optional FleetLoadMessage fleetLoad
}

/** Row of the store with the software versions that endpoints of a service have had for as long as streams last. */
struct VersionRowMessage {
  1: required list<string> versions
}
