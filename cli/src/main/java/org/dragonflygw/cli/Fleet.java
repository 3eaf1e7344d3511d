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

/** The daemons that a command talks to: the named ones, and those that they know. */
public final class Fleet {
    private static final String DEAD = "DEAD";

    private final List<DaemonAddress> configuredDaemons;
    private final OperatorClient client;
    private final ObjectMapper json;

    public Fleet(List<DaemonAddress> named, OperatorClient client, ObjectMapper json) {
        this.configuredDaemons = List.copyOf(named);
        this.client = client;
        this.json = json;
    }

    /** Reads a resource of the first daemon that answers. */
    public <T> T getFromAny(String path, Class<T> type) {
        return getFromAny(path, objectDecoder(type));
    }

    /** Reads a list from the first daemon that answers. */
    public <T> List<T> getListFromAny(String path, Class<T> element) {
        return getFromAny(path, listDecoder(element));
    }

    /** Sends content to the first daemon that can be reached; the answer may be an error. */
    public OperatorReply postToAny(String path, byte[] content) {
        return callAny(daemon -> client.post(daemon, path, content));
    }

    /** Reads a resource of the first daemon that can be reached; the answer may be an error. */
    public OperatorReply getReplyFromAny(String path) {
        return callAny(daemon -> client.get(daemon, path));
    }

    /** Reads a resource of every daemon of the fleet, in parallel. */
    public <T> FleetAnswers<T> getFromAll(String path, Class<T> type) {
        return getFromAll(path, objectDecoder(type));
    }

    /** Reads a list from every daemon of the fleet, in parallel. */
    public <T> FleetAnswers<List<T>> getListFromAll(String path, Class<T> element) {
        return getFromAll(path, listDecoder(element));
    }

    /** Reads a value from an answer; throws {@link CliException} when the answer is an error. */
    public <T> T decode(OperatorReply reply, Class<T> type) {
        return decode(reply, objectDecoder(type));
    }

    /** Reads a value from an answer, also from an error that carries one. */
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
            throw new CliException(ExitCode.FAILED, "HTTP " + reply.status() + " " + reply.body());
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
