package org.dragonflygw.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.dragonflygw.core.inspect.FleetView;
import org.dragonflygw.core.inspect.MemberView;

/**
 * Reads from and posts to the daemons of a fleet. The configured daemons are tried in their order; calls to all daemons
 * also go to the members that a configured daemon lists, except dead members. Failures are {@link CliException}s.
 */
public final class Fleet {
    /** Status of members that are not called, as daemons write it. */
    private static final String DEAD = "DEAD";

    private final List<DaemonAddress> configuredDaemons;
    private final OperatorClient client;
    private final ObjectMapper json;

    public Fleet(List<DaemonAddress> configuredDaemons, OperatorClient client, ObjectMapper json) {
        this.configuredDaemons = List.copyOf(configuredDaemons);
        this.client = client;
        this.json = json;
    }

    /** Reads a resource from the first configured daemon that can be reached. */
    public <T> T getFromAny(String path, Class<T> type) {
        return getFromAny(path, objectDecoder(type));
    }

    /** Reads a list from the first configured daemon that can be reached. */
    public <T> List<T> getListFromAny(String path, Class<T> element) {
        return getFromAny(path, listDecoder(element));
    }

    /**
     * Posts content to the first configured daemon that can be reached. The reply may be an error. A daemon whose reply
     * was lost may have handled the post already, so posts must be safe to repeat.
     */
    public OperatorReply postToAny(String path, byte[] content) {
        return callAny(daemon -> client.post(daemon, path, content));
    }

    /** Reads a resource from the first configured daemon that can be reached; the reply may be an error. */
    public OperatorReply getReplyFromAny(String path) {
        return callAny(daemon -> client.get(daemon, path));
    }

    /** Reads a resource from every daemon of the fleet, in parallel. */
    public <T> FleetAnswers<T> getFromAll(String path, Class<T> type) {
        return getFromAll(path, objectDecoder(type));
    }

    /** Reads a list from every daemon of the fleet, in parallel. */
    public <T> FleetAnswers<List<T>> getListFromAll(String path, Class<T> element) {
        return getFromAll(path, listDecoder(element));
    }

    /** Decodes the body of a reply; throws {@link CliException} when the reply is an error or not the expected JSON. */
    public <T> T decode(OperatorReply reply, Class<T> type) {
        return decode(reply, objectDecoder(type));
    }

    /** Decodes the body of a reply whatever its status, for errors that carry a value. */
    public <T> T decodeIgnoringStatus(OperatorReply reply, Class<T> type) {
        return parse(reply, objectDecoder(type));
    }

    private <T> FleetAnswers<T> getFromAll(String path, Decoder<T> decoder) {
        List<String> silent = Collections.synchronizedList(new ArrayList<>());
        List<T> answers = discover().parallelStream()
                .flatMap(daemon -> ask(daemon, path, decoder, silent))
                .toList();
        return new FleetAnswers<>(answers, silent.stream().sorted().toList());
    }

    private <T> Stream<T> ask(DaemonAddress daemon, String path, Decoder<T> decoder, List<String> silent) {
        try {
            return Stream.of(decode(client.get(daemon, path), decoder));
        } catch (CliException e) {
            silent.add(daemon + ": " + e.detail());
            return Stream.empty();
        }
    }

    private Set<DaemonAddress> discover() {
        FleetView fleet = getFromAny("/v1/fleet", FleetView.class);
        Set<DaemonAddress> daemons = new LinkedHashSet<>(configuredDaemons);
        for (MemberView member : fleet.members()) {
            if (!member.status().equalsIgnoreCase(DEAD)) {
                daemons.add(new DaemonAddress(member.address(), member.operatorPort()));
            }
        }
        return daemons;
    }

    private <T> T getFromAny(String path, Decoder<T> decoder) {
        return decode(getReplyFromAny(path), decoder);
    }

    private OperatorReply callAny(Function<DaemonAddress, OperatorReply> call) {
        List<String> failures = new ArrayList<>();
        for (DaemonAddress daemon : configuredDaemons) {
            try {
                return call.apply(daemon);
            } catch (CliException e) {
                failures.add(e.detail());
            }
        }
        throw new CliException(ExitCode.UNREACHABLE, String.join("; ", failures));
    }

    private static <T> T decode(OperatorReply reply, Decoder<T> decoder) {
        if (reply.isError()) {
            throw new CliException(ExitCode.FAILED, "daemon answered HTTP " + reply.status() + " " + reply.body());
        }
        return parse(reply, decoder);
    }

    private static <T> T parse(OperatorReply reply, Decoder<T> decoder) {
        try {
            return decoder.decode(reply.body());
        } catch (JsonProcessingException e) {
            throw new CliException(ExitCode.FAILED, "the answer is not the expected JSON: " + reply.body(), e);
        }
    }

    private <T> Decoder<T> objectDecoder(Class<T> type) {
        return body -> json.readValue(body, type);
    }

    private <T> Decoder<List<T>> listDecoder(Class<T> element) {
        ObjectReader reader = json.readerForListOf(element);
        return body -> reader.readValue(body);
    }

    private interface Decoder<T> {
        T decode(String body) throws JsonProcessingException;
    }
}
