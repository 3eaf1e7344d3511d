package org.dragonflygw.daemon.peer;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.dragonflygw.wire.gossip.GossipMessage;
import org.dragonflygw.wire.gossip.SheetReply;
import org.dragonflygw.wire.gossip.SheetRequest;
import org.dragonflygw.wire.grants.GrantReply;
import org.dragonflygw.wire.grants.GrantRequest;
import org.dragonflygw.wire.grants.GrantUpdate;
import org.dragonflygw.wire.grants.GrantUpdateReply;
import org.dragonflygw.wire.grants.LoadStatement;
import org.dragonflygw.wire.grants.LoadSum;
import org.dragonflygw.wire.grants.SuspectReply;
import org.dragonflygw.wire.grants.SuspectRequest;
import org.dragonflygw.wire.grants.TeamTokenReply;
import org.dragonflygw.wire.grants.TeamTokenRequest;
import org.dragonflygw.wire.peer.Peer;

/** Dispatches calls of other daemons to the grant and gossip handlers. Thread-safe. */
@Singleton
final class PeerDispatcher implements Peer.AsyncIface {
    private static final Logger LOG = LogManager.getLogger(PeerDispatcher.class);

    private final GrantHandler grants;
    private final GossipHandler gossip;

    @Inject
    PeerDispatcher(GrantHandler grants, GossipHandler gossip) {
        this.grants = grants;
        this.gossip = gossip;
    }

    @Override
    public void acquireGrant(GrantRequest request, AsyncMethodCallback<GrantReply> callback) {
        dispatch(callback, reply -> grants.acquireGrant(request, reply));
    }

    @Override
    public void updateGrants(GrantUpdate update, AsyncMethodCallback<GrantUpdateReply> callback) {
        dispatch(callback, reply -> grants.updateGrants(update, reply));
    }

    @Override
    public void takeTeamTokens(TeamTokenRequest request, AsyncMethodCallback<TeamTokenReply> callback) {
        dispatch(callback, reply -> grants.takeTeamTokens(request, reply));
    }

    @Override
    public void askSuspect(SuspectRequest request, AsyncMethodCallback<SuspectReply> callback) {
        dispatch(callback, reply -> grants.askSuspect(request, reply));
    }

    @Override
    public void stateLoads(LoadStatement statement, AsyncMethodCallback<LoadSum> callback) {
        dispatch(callback, reply -> grants.stateLoads(statement, reply));
    }

    @Override
    public void exchange(GossipMessage message, AsyncMethodCallback<GossipMessage> callback) {
        dispatch(callback, reply -> gossip.exchange(message, reply));
    }

    @Override
    public void fetchSheet(SheetRequest request, AsyncMethodCallback<SheetReply> callback) {
        dispatch(callback, reply -> gossip.fetchSheet(request, reply));
    }

    private static <T> void dispatch(AsyncMethodCallback<T> callback, HandlerCall<T> call) {
        CallbackReply<T> reply = new CallbackReply<>(callback);
        try {
            call.run(reply);
        } catch (RuntimeException e) {
            LOG.error("handler of a call from another daemon failed", e);
            reply.fail(e);
        }
    }

    /** Invokes the handler of one call. */
    private interface HandlerCall<T> {
        void run(PeerReply<T> reply);
    }

    /** Passes the first answer or failure to the server's callback and ignores later ones. */
    private static final class CallbackReply<T> implements PeerReply<T> {
        private final AsyncMethodCallback<T> callback;
        private final AtomicBoolean answered = new AtomicBoolean();

        CallbackReply(AsyncMethodCallback<T> callback) {
            this.callback = callback;
        }

        @Override
        public void send(T answer) {
            if (answered.compareAndSet(false, true)) {
                callback.onComplete(answer);
            }
        }

        @Override
        public void fail(RuntimeException cause) {
            if (answered.compareAndSet(false, true)) {
                callback.onError(new TApplicationException(TApplicationException.INTERNAL_ERROR, cause.getMessage()));
            }
        }
    }
}
