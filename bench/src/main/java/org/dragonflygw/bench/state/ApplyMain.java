package org.dragonflygw.bench.state;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.fleet.HostEntry;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.core.fleet.HostState;
import org.dragonflygw.daemon.RouterApplication;
import org.dragonflygw.daemon.Subsystems;
import org.dragonflygw.standins.platform.PlatformConfig;
import org.dragonflygw.standins.platform.PlatformServer;
import org.dragonflygw.wire.settings.RouterSettings;

/** Measures the time from applying a sheet until all routers have activated it, with several routers in one process. */
public final class ApplyMain {
    private static final int ROUTERS = 6;
    private static final int APPLIES = 20;
    private static final long WARM_UP_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 30_000;

    private ApplyMain() {}

    /** Runs the measurement; the first argument is the path of the sheet. */
    public static void main(String[] arguments) throws Exception {
        byte[] sheet = Files.readAllBytes(Path.of(arguments[0]));
        PlatformServer platform = new PlatformServer(PlatformConfig.withPlatformRates(0));
        List<RouterApplication> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(start("router-" + i, platform));
        }
        Thread.sleep(WARM_UP_MILLIS);
        Histogram micros = new Histogram(3);
        HttpClient http = HttpClient.newHttpClient();
        for (int number = 1; number <= APPLIES; number++) {
            RouterApplication router = routers.get(number % ROUTERS);
            long start = System.nanoTime();
            apply(http, router, sheet, number);
            awaitActive(routers, number, start);
            micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
            Thread.sleep(PAUSE_MILLIS);
        }
        System.out.printf(
                Locale.ROOT,
                "apply to in force on %d routers, %d applies: median %.1f ms, max %.1f ms; store counts %s%n",
                ROUTERS,
                APPLIES,
                micros.getValueAtPercentile(50) / 1000.0,
                micros.getMaxValue() / 1000.0,
                platform.counts());
        for (RouterApplication router : routers) {
            router.stop();
        }
        platform.close();
    }

    private static RouterApplication start(String id, PlatformServer platform) throws Exception {
        RouterSettings settings = new RouterSettings()
                .setDaemonId(id)
                .setCallerPort(0)
                .setOperatorPort(0)
                .setPeerPort(0)
                .setAvailabilityZone("a")
                .setRegion("us-southeast")
                .setPlatformUrl(platform.baseUrl())
                .setDeployment("peachtree");
        RouterApplication router = new RouterApplication(settings, Subsystems.all());
        router.start();
        platform.register(new HostEntry(
                id, HostRole.ROUTER, "127.0.0.1", router.peerPort(), "a", "us-southeast", "", HostState.LIVE));
        return router;
    }

    private static void apply(HttpClient http, RouterApplication router, byte[] sheet, int number)
            throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + router.operatorPort() + "/v1/sheet/apply?expected=" + (number - 1)
                + "&token=t" + number);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofByteArray(sheet))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 200) {
            throw new IllegalStateException(
                    "apply " + number + " failed: " + response.statusCode() + " " + response.body());
        }
    }

    private static void awaitActive(List<RouterApplication> routers, int number, long start)
            throws InterruptedException {
        while (!routers.stream().allMatch(router -> activeVersion(router) >= number)) {
            if (System.nanoTime() - start > TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS)) {
                throw new IllegalStateException(
                        "version " + number + " is not active on all routers after " + TIMEOUT_MILLIS + " ms");
            }
            Thread.sleep(1);
        }
    }

    private static long activeVersion(RouterApplication router) {
        return router.injector()
                .getInstance(SheetSource.class)
                .current()
                .version()
                .number();
    }
}
