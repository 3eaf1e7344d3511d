package org.dragonflygw.core.config;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * Holds the sheet in force and the newest version heard of. Both only ever rise; whoever offers an older one, the store
 * included, changes nothing. Safe from every thread without locks: each state is one immutable object.
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

    /** Notes that a version was accepted; says whether it is newer than all heard of before. */
    public boolean observeVersion(SheetVersion version) {
        SheetVersion before = newestVersion.getAndUpdate(known -> version.number() > known.number() ? version : known);
        return version.number() > before.number();
    }

    /** The newest version heard of, when it is not in force yet. */
    public Optional<SheetVersion> pendingVersion() {
        SheetVersion version = newestVersion.get();
        return version.number() > current().version().number() ? Optional.of(version) : Optional.empty();
    }

    /** The newest version heard of. */
    public SheetVersion newestVersion() {
        return newestVersion.get();
    }

    /** Bytes of the sheet in force, for peers that ask for its digest. */
    public Optional<byte[]> content(String digest) {
        State held = state.get();
        boolean same = held.active().version().digest().equals(digest) && !digest.isEmpty();
        return same ? Optional.of(held.content().clone()) : Optional.empty();
    }

    /** Puts a newer version in force after checking its content. */
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
        return swap(new State(new ActiveSheet(version, sheet.get()), content.clone()));
    }

    private OfferResult swap(State next) {
        long number = next.active().version().number();
        State held = state.get();
        while (held.active().version().number() < number) {
            if (state.compareAndSet(held, next)) {
                events.record(EventType.SHEET_IN_FORCE, EventSubject.NONE, "version " + number);
                return OfferResult.IN_FORCE;
            }
            held = state.get();
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
