namespace java org.dragonflygw.wire.peer

include "grants.thrift"
include "gossip.thrift"

/** Calls between daemons. */
service Peer {
  grants.GrantReply acquireGrant(1: grants.GrantRequest request)
  grants.GrantUpdateReply updateGrants(1: grants.GrantUpdate update)
  grants.TeamTokenReply takeTeamTokens(1: grants.TeamTokenRequest request)
  grants.SuspectReply askSuspect(1: grants.SuspectRequest request)
  grants.LoadSum stateLoads(1: grants.LoadStatement statement)
  gossip.GossipMessage exchange(1: gossip.GossipMessage message)
  gossip.SheetReply fetchSheet(1: gossip.SheetRequest request)
}
