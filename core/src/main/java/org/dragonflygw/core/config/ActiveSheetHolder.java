package org.dragonflygw.core.config;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * Holds the sheet in force and the newest known version. Both versions only increase: an older version from any source,
 * the store included, is ignored. Thread-safe and lock-free; each state is one immutable object.
 */
public final class ActiveSheetHolder implements SheetSource {
    private final SheetReader reader;
    private final EventRecorder events;
    private final AtomicReference<State> state = new AtomicReference<>(new State(ActiveSheet.NONE, new byte[0]));
    private final AtomicReference<SheetVersion> newestVersion = new AtomicReference<>(SheetVersion.NONE);

    public ActiveSheetHolder(SheetReader reader, EventRecorder events) {
        this.reader = reader;
        this.events = events;
    }

    @Override
    public ActiveSheet current() {
        return state.get().active();
    }

    /**
     * Notes that a version was accepted somewhere in the fleet.
     *
     * @return whether it is newer than all versions known before
     */
    public boolean observeVersion(SheetVersion version) {
        SheetVersion before = newestVersion.getAndUpdate(known -> version.number() > known.number() ? version : known);
        return version.number() > before.number();
    }

    /** The newest known version if it is not in force yet, so that its content must be fetched. */
    public Optional<SheetVersion> pendingVersion() {
        SheetVersion version = newestVersion.get();
        return version.number() > current().version().number() ? Optional.of(version) : Optional.empty();
    }

    /** The newest known version. */
    public SheetVersion newestVersion() {
        return newestVersion.get();
    }

    /** Copy of the bytes of the sheet in force, if it has the given digest; peers fetch sheets by digest. */
    public Optional<byte[]> content(String digest) {
        State current = state.get();
        boolean same = current.active().version().digest().equals(digest) && !digest.isEmpty();
        return same ? Optional.of(current.content().clone()) : Optional.empty();
    }

    /**
     * Checks the content of a version against its digest and the rules of sheets, and puts it in force if it is newer.
     */
    public OfferResult offer(SheetVersion version, byte[] content) {
        if (version.number() <= current().version().number()) {
            return OfferResult.NOT_NEWER;
        }
        if (!SheetDigest.of(content).equals(version.digest())) {
            return OfferResult.WRONG_DIGEST;
        }
        Optional<Sheet> sheet = reader.read(content).sheet();
        if (sheet.isEmpty()) {
            return OfferResult.INVALID;
        }
        observeVersion(version);
        return activate(new State(new ActiveSheet(version, sheet.get()), content.clone()));
    }

    private OfferResult activate(State next) {
        long number = next.active().version().number();
        State current = state.get();
        while (current.active().version().number() < number) {
            if (state.compareAndSet(current, next)) {
                events.record(EventType.SHEET_IN_FORCE, EventSubject.NONE, "version " + number);
                return OfferResult.IN_FORCE;
            }
            current = state.get();
        }
        return OfferResult.NOT_NEWER;
    }

    private static final class State {
        private final ActiveSheet active;
        private final byte[] content;

        State(ActiveSheet active, byte[] content) {
            this.active = active;
            this.content = content;
        }

        ActiveSheet active() {
            return active;
        }

        byte[] content() {
            return content;
        }
    }
}
