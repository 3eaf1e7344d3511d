namespace java org.dragonflygw.wire.settings

/**
 * Settings of one router daemon. Each field is a flag (--caller-port) and an environment variable
 * (DRAGONFLYGW_CALLER_PORT); a flag overrides a variable. The annotations give the help text and bounds.
 */
struct RouterSettings {
  1: required string daemonId (help = "Unique name of this daemon")
  2: required string host = "127.0.0.1" (help = "IP address that callers, operators and peers use")
  3: required i32 callerPort = 8080 (help = "Port for callers", min = "0", max = "65535")
  4: required i32 operatorPort = 8081 (help = "Port for operators: metrics, health and shows", min = "0", max = "65535")
  5: required i32 peerPort = 8082 (help = "Port for other daemons", min = "0", max = "65535")
  6: required string availabilityZone (help = "Availability zone of this host")
  7: required string region (help = "Region of this host")
  8: required string platformUrl (help = "Base URL of the platform's service")
  9: required string deployment (help = "Name of the deployment whose sheet and rows this fleet uses")
  10: required i32 workerThreads = 16 (help = "Workers for decisions and calls between daemons", min = "1", max = "256")
  11: required i32 maxOpenRequests = 1024 (help = "Requests open at one time; one more is refused", min = "1", max = "20000")
  12: required i32 maxBodyBytes = 4194304 (help = "Largest request body, in bytes", min = "1024", max = "67108864")
  13: required i32 gossipIntervalMillis = 1000 (help = "Time between gossip rounds, in milliseconds", min = "50", max = "60000")
  14: required i32 controlBytesPerSecond = 19000 (help = "Budget for control traffic sent, in bytes per second", min = "1000", max = "10000000")
  15: required i32 storePollMillis = 10000 (help = "Time between slow polls of the platform's service, in milliseconds", min = "100", max = "600000")
  16: required i32 hostListPollMillis = 2000 (help = "Time between reads of the host list, in milliseconds", min = "100", max = "600000")
  17: required i32 balancerLagMillis = 5000 (help = "Time the balancer needs to notice that this daemon is not ready, in milliseconds", min = "0", max = "600000")
  18: required i32 stopTimeoutMillis = 120000 (help = "Longest time a planned stop waits for open requests, in milliseconds", min = "0", max = "3600000")
  19: required i32 timelineBytes = 8388608 (help = "Memory for time line events, in bytes", min = "65536", max = "1073741824")
  20: required string logLevel = "INFO" (help = "Least severe level that is logged: DEBUG, INFO, WARN or ERROR", oneOf = "DEBUG INFO WARN ERROR")
}
