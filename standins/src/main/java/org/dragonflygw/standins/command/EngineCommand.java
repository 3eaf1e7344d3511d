package org.dragonflygw.standins.command;

import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.dragonflygw.core.fleet.HostRole;
import org.dragonflygw.standins.engine.EngineConfig;
import org.dragonflygw.standins.engine.EngineServer;
import org.dragonflygw.standins.engine.LoadedModel;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;

/** Subcommand {@code engine}: starts a fake model engine. */
public final class EngineCommand implements StandinCommand {
    private static final EngineConfig DEFAULTS = EngineConfig.defaults("engine-1");

    @Override
    public String name() {
        return "engine";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        HostOptions.declare(parser, DEFAULTS.id(), "engines");
        Options.text(parser, "models", "", "models loaded at the start: MODEL@VERSION,... ; empty serves every model");
        Options.number(parser, "max-batch", DEFAULTS.maxBatch(), "streams that run at the same time");
        Options.number(
                parser,
                "token-gap-micros",
                DEFAULTS.tokenGapMicros(),
                "time between two tokens of a stream that runs alone");
        Options.number(
                parser,
                "token-gap-per-stream-micros",
                DEFAULTS.tokenGapPerStreamMicros(),
                "time that each further stream adds to the gap");
        Options.number(
                parser,
                "prefill-tokens-per-second",
                DEFAULTS.prefillTokensPerSecond(),
                "prompt tokens that the prefill processes per second");
        Options.number(parser, "cache-tokens", DEFAULTS.cacheTokens(), "size of the prefix cache, in tokens");
        Options.number(parser, "load-lag-millis", DEFAULTS.loadLagMillis(), "lag of the load report");
        Options.number(parser, "cache-event-lag-millis", DEFAULTS.cacheEventLagMillis(), "lag of cache events");
        Options.number(parser, "cache-event-gap-every", DEFAULTS.cacheEventGapEvery(), "each nth cache event is lost");
        Options.number(parser, "order-millis", DEFAULTS.orderMillis(), "time that the execution of an order takes");
        Options.number(parser, "resume-millis", DEFAULTS.resumeMillis(), "time in which a stream can be resumed");
        parser.accepts("ignore-fencing", "accepts orders with stale fencing tokens");
    }

    @Override
    public RunningStandin start(OptionSet options) {
        EngineServer engine = new EngineServer(EngineConfig.builder(Options.text(options, "id"))
                .port(Options.integer(options, "port"))
                .models(models(Options.text(options, "models")))
                .maxBatch(Options.integer(options, "max-batch"))
                .tokenGapMicros(
                        Options.number(options, "token-gap-micros"),
                        Options.number(options, "token-gap-per-stream-micros"))
                .prefillTokensPerSecond(Options.number(options, "prefill-tokens-per-second"))
                .cacheTokens(Options.number(options, "cache-tokens"))
                .loadLagMillis(Options.number(options, "load-lag-millis"))
                .cacheEvents(
                        Options.number(options, "cache-event-lag-millis"),
                        Options.integer(options, "cache-event-gap-every"))
                .orderMillis(Options.number(options, "order-millis"))
                .resumeMillis(Options.number(options, "resume-millis"))
                .checksFencing(!options.has("ignore-fencing"))
                .build());
        return HostOptions.register(options, HostRole.ENGINE, engine.port(), engine::close);
    }

    private static List<LoadedModel> models(String text) {
        List<LoadedModel> models = new ArrayList<>();
        for (String entry : text.split(",", -1)) {
            if (entry.isEmpty()) {
                continue;
            }
            int at = entry.indexOf('@');
            if (at < 1) {
                throw new StandinException(StandinCode.USAGE, "--models: expected MODEL@VERSION, found " + entry);
            }
            models.add(new LoadedModel(entry.substring(0, at), entry.substring(at + 1), ""));
        }
        return models;
    }
}
