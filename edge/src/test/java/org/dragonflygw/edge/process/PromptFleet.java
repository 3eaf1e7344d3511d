package org.dragonflygw.edge.process;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflygw.standins.loopback.EdgeSettingsFile;
import org.dragonflygw.standins.loopback.LoopbackConfiguration;
import org.dragonflygw.standins.loopback.LoopbackPlatform;

/**
 * Edge processes in front of endpoints that end, one after the other, under prompts with one part, and in some runs by chance.
 * Prompts have a first part of a few, a middle part of many, and one of their own; no two are alike. An endpoint that has
 * ended comes back after some seconds under another id, and its entry in the store expires.
 */
final class PromptFleet implements AutoCloseable {
    /** The middle part of prompts under which endpoints end. */
    static final String CRASHING_PART = "dead";

    /** Time from the fifth end after which hosts must know of it, in milliseconds. */
    static final long CONTACT_MS = 3_000;

    private static final int HOSTS = 3;
    private static final int ENDPOINTS = 10;
    private static final int PROMPTS_PER_SECOND = 40;
    private static final int FIRST_PARTS = 8;
    private static final int MIDDLE_PARTS = 88;
    private static final int RESTART_MS = 3_000;
    private static final int SAME_ADDRESS_RESTART_MS = 10;
    private static final int ENTRY_EXPIRY_MS = 3_600;
    private static final int READY_TIMEOUT_MS = 30_000;
    private static final int READ_TIMEOUT_MS = 12_000;

    /** Answers that a host gives itself because of a prompt's parts, by the code in their bodies. */
    private static final String BLOCKED = "CRASHING_PROMPT_PART";

    private static final String UNREACHABLE = "UNREACHABLE";

    private final SplittableRandom random;
    private final EndpointEnding ending;
    private final int firstWaitMs;
    private final int crashingOneIn;
    private final int chanceOneIn;
    private final LoopbackPlatform platform = new LoopbackPlatform();
    private final List<EdgeProcess> hosts = new ArrayList<>();
    private final List<PromptEndpoint> endpoints = new CopyOnWriteArrayList<>();
    private final List<Long> crashesNanos = new CopyOnWriteArrayList<>();
    private final List<Long> crashingArrivalsNanos = new CopyOnWriteArrayList<>();
    private final AtomicInteger chanceEnds = new AtomicInteger();
    private final AtomicInteger soundSent = new AtomicInteger();
    private final AtomicInteger soundServed = new AtomicInteger();
    private final List<String> soundBlocked = new CopyOnWriteArrayList<>();
    private final AtomicInteger soundUnreachable = new AtomicInteger();
    private final AtomicInteger startedEndpoints = new AtomicInteger();
    private volatile boolean stopping;

    /**
     * Starts the processes.
     *
     * @param firstWaitMs time until sound answers begin, in milliseconds
     * @param crashingOneIn one prompt in so many has the part under which endpoints end; 0 for none
     * @param chanceOneIn one sound prompt in so many ends its endpoint by chance; 0 for none
     */
    PromptFleet(long seed, EndpointEnding ending, int firstWaitMs, int crashingOneIn, int chanceOneIn, Path dir)
            throws IOException, InterruptedException {
        this.random = new SplittableRandom(seed);
        this.ending = ending;
        this.firstWaitMs = firstWaitMs;
        this.crashingOneIn = crashingOneIn;
        this.chanceOneIn = chanceOneIn;
        platform.store().remove(LoopbackPlatform.ENDPOINT_TABLE, "i-1");
        platform.store().remove(LoopbackPlatform.ENDPOINT_TABLE, "i-2");
        for (int i = 0; i < ENDPOINTS; i++) {
            startEndpoint(0);
        }
        int firstPort = FreePorts.first(HOSTS);
        for (int i = 0; i < HOSTS; i++) {
            EdgeSettingsFile settings = new EdgeSettingsFile(
                    "host-" + i, "zone-a", firstPort + i * FreePorts.PORTS_PER_HOST, platform.port());
            hosts.add(new EdgeProcess(settings, dir));
        }
        for (EdgeProcess h : hosts) {
            h.awaitReady(READY_TIMEOUT_MS);
        }
    }

    private void startEndpoint(int port) throws IOException {
        SplittableRandom chance = random.split();
        PromptEndpoint endpoint = new PromptEndpoint(
                "i-e" + startedEndpoints.getAndIncrement(),
                port,
                ending,
                firstWaitMs,
                head -> endsUnder(head, chance),
                this::replace);
        endpoints.add(endpoint);
        String entry = "{\"service\":\"" + LoopbackConfiguration.ENGINES + "\",\"address\":\"127.0.0.1:"
                + endpoint.port()
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"warmup_left_ms\":0,"
                + "\"born\":" + startedEndpoints.get() + "}";
        platform.store().put(LoopbackPlatform.ENDPOINT_TABLE, endpoint.id(), entry.getBytes(StandardCharsets.UTF_8));
    }

    private boolean endsUnder(HttpHead head, SplittableRandom chance) {
        if (head.field("dragonflygw-prefix-hash").contains(CRASHING_PART)) {
            crashingArrivalsNanos.add(System.nanoTime());
            return true;
        }
        synchronized (chance) {
            return chanceOneIn > 0 && chance.nextInt(chanceOneIn) == 0;
        }
    }

    private void replace(PromptEndpoint ended) {
        if (crashingOneIn > 0) {
            crashesNanos.add(System.nanoTime());
        } else {
            chanceEnds.incrementAndGet();
        }
        int port = ending.sameAddress() ? ended.port() : 0;
        int restartMs = ending.sameAddress() ? SAME_ADDRESS_RESTART_MS : RESTART_MS;
        inBackground(() -> {
            Thread.sleep(restartMs);
            startEndpoint(port);
            Thread.sleep(ENTRY_EXPIRY_MS - restartMs);
            platform.store().remove(LoopbackPlatform.ENDPOINT_TABLE, ended.id());
        });
    }

    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private void inBackground(Action action) {
        Thread thread = new Thread(
                () -> {
                    try {
                        action.run();
                    } catch (IOException e) {
                        if (!stopping) {
                            throw new IllegalStateException(e);
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "prompt-fleet");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends prompts for some time, and waits until they were answered. */
    void run(long millis) throws InterruptedException {
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / PROMPTS_PER_SECOND;
        long start = System.nanoTime();
        int count = (int) (millis * PROMPTS_PER_SECOND / TimeUnit.SECONDS.toMillis(1));
        for (int i = 0; i < count; i++) {
            TimeUnit.NANOSECONDS.sleep(start + i * intervalNanos - System.nanoTime());
            int number = i;
            boolean crashing = crashingOneIn > 0 && random.nextInt(crashingOneIn) == 0;
            String middle = crashing ? CRASHING_PART : Integer.toHexString(0x2000 + popular(MIDDLE_PARTS));
            String parts = Integer.toHexString(0x1000 + popular(FIRST_PARTS)) + ":800," + middle + ":400,"
                    + Integer.toHexString(0x1000000 + i) + ":100";
            int port = hosts.get(random.nextInt(HOSTS)).callersPort();
            inBackground(() -> send(number, parts, crashing, port));
        }
        Thread.sleep(CONTACT_MS);
        stopping = true;
    }

    /** The first of some parts are the most popular. */
    private int popular(int count) {
        return Math.min(random.nextInt(count), random.nextInt(count));
    }

    private void send(int number, String parts, boolean crashing, int port) {
        if (!crashing) {
            soundSent.incrementAndGet();
        }
        String request = "GET " + LoopbackPlatform.STREAM_PREFIX + number + " HTTP/1.1\r\nHost: "
                + LoopbackPlatform.HOST + "\r\nAuthorization: Bearer " + LoopbackPlatform.KEY
                + "\r\nDragonflygw-Attempt-Id: " + Integer.toHexString(0x5000000 + number)
                + "\r\nDragonflygw-Deadline-Ms: 10000\r\nDragonflygw-Token-Usage: 1300,80"
                + "\r\nDragonflygw-Prefix-Hash: " + parts + "\r\nConnection: close\r\n\r\n";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            HttpHead head = HttpHead.read(in);
            String body = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            if (crashing || head == null) {
                return;
            }
            if (head.status() == 200 && body.endsWith("0\r\n\r\n")) {
                soundServed.incrementAndGet();
            } else if (body.contains(BLOCKED)) {
                soundBlocked.add(parts);
            } else if (body.contains(UNREACHABLE)) {
                soundUnreachable.incrementAndGet();
            }
        } catch (IOException e) {
            // Not served.
        }
    }

    /** Returns how often endpoints ended under the part. */
    int crashes() {
        return crashesNanos.size();
    }

    /** Returns how often endpoints ended by chance. */
    int chanceEnds() {
        return chanceEnds.get();
    }

    /** Returns how many prompts with the part reached endpoints later than hosts must know of the fifth end. */
    int lateArrivals() {
        if (crashesNanos.size() < 5) {
            return 0;
        }
        long from = crashesNanos.get(4) + TimeUnit.MILLISECONDS.toNanos(CONTACT_MS);
        return (int) crashingArrivalsNanos.stream().filter(t -> t > from).count();
    }

    int soundSent() {
        return soundSent.get();
    }

    int soundServed() {
        return soundServed.get();
    }

    /** Returns how many sound prompts were refused because their host reached no endpoint. */
    int soundUnreachable() {
        return soundUnreachable.get();
    }

    /** Returns the parts of the sound prompts that were refused because of one of them. */
    List<String> soundBlocked() {
        return List.copyOf(soundBlocked);
    }

    @Override
    public void close() throws IOException {
        stopping = true;
        hosts.forEach(EdgeProcess::close);
        for (PromptEndpoint e : endpoints) {
            e.close();
        }
        platform.close();
    }
}
