package org.dragonflygw.edge.peers;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflygw.core.log.EventLog;
import org.dragonflygw.core.log.LogTopic;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.peers.PeerTable;
import org.dragonflygw.core.peers.ReportRounds;
import org.dragonflygw.core.peers.RoundOfReports;
import org.dragonflygw.core.settings.HostAddress;
import org.dragonflygw.core.storenews.StoreNews;
import org.dragonflygw.edge.log.GuardedTask;
import org.dragonflygw.wire.codec.HostReportCodec;

/**
 * Exchanges reports with the other hosts over UDP. Each round sends to a bounded number of hosts in turn, so that the
 * cost per host does not grow with the fleet. In large fleets, loads and prompt prefixes travel as sums instead.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A task of the event loop is lost only when the loop shuts down.
public final class PeerReports {
    private final PeerSocket socket;
    private final PeerTable peers;
    private final ReportRounds rounds;
    private final LoadExchange loads;
    private final EventLog log;
    private final Consumer<HostReport> crashListener;
    private final Supplier<StoreNews> storeNews;
    private final NewsListener storeNewsListener;
    private final HostReportCodec codec = new HostReportCodec();

    /** Receives news about the store from other hosts. */
    @FunctionalInterface
    public interface NewsListener {
        /**
         * Called with the news of a report.
         *
         * @param arrivedAfterNanos time on the monotonic clock, in nanoseconds, at which the report had not arrived yet; the
         *     ages in the news count from then
         */
        void onNews(StoreNews news, long arrivedAfterNanos);
    }

    /**
     * Creates an exchange that {@link #listen} starts.
     *
     * @param crashListener receives the accepted reports, for what peers know about crashes of endpoints
     * @param storeNews supplies this host's news about the store
     * @param storeNewsListener receives the peers' news about the store
     */
    public PeerReports(
            PeerSocket socket,
            PeerTable peers,
            ReportRounds rounds,
            LoadExchange loads,
            EventLog log,
            Consumer<HostReport> crashListener,
            Supplier<StoreNews> storeNews,
            NewsListener storeNewsListener) {
        this.socket = socket;
        this.peers = peers;
        this.rounds = rounds;
        this.loads = loads;
        this.log = log;
        this.crashListener = crashListener;
        this.storeNews = storeNews;
        this.storeNewsListener = storeNewsListener;
    }

    /**
     * Binds the socket to the address and starts to send and receive reports.
     *
     * @param messages receives the messages of other hosts beside reports
     */
    public void listen(HostAddress address, PeerSocket.Handler messages) {
        socket.listen(address, this::onReport, messages);
        socket.loop()
                .scheduleWithFixedDelay(
                        new GuardedTask("reports to peers", this::sendRound, log),
                        ReportRounds.INTERVAL_MS,
                        ReportRounds.INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void sendRound() {
        socket.onRound();
        RoundOfReports round = rounds.next(storeNews.get());
        round.reports().forEach(r -> send(r.report(), r.targets()));
        loads.send(round.loads());
    }

    /** Sends a short report to the given hosts at once, after a read of the store. */
    public void reportNow(List<HostAddress> targets) {
        if (socket.isOpen() && !targets.isEmpty()) {
            send(rounds.shortReport(storeNews.get()), targets);
        }
    }

    private void send(HostReport report, List<HostAddress> targets) {
        for (HostReport form : report.forms()) {
            byte[] bytes = codec.encode(form);
            if (bytes.length <= PeerSocket.MAX_DATAGRAM_BYTES) {
                socket.send(bytes, targets);
                return;
            }
            log.line(LogTopic.PEER)
                    .with("outcome", "report cut")
                    .with("bytes", bytes.length)
                    .end();
        }
        log.line(LogTopic.PEER).with("outcome", "report too large to send").end();
    }

    private void onReport(Datagram datagram) {
        HostReport report = codec.decode(datagram.content());
        boolean accepted = peers.onReport(report);
        if (accepted) {
            crashListener.accept(report);
        }
        if (accepted && !datagram.waited()) {
            storeNewsListener.onNews(report.news(), datagram.arrivedAfterNanos());
        }
    }
}
