package org.dragonflygw.wire.codec;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.thrift.TBase;
import org.apache.thrift.TFieldIdEnum;
import org.apache.thrift.TFieldRequirementType;
import org.apache.thrift.meta_data.FieldMetaData;
import org.apache.thrift.protocol.TType;
import org.dragonflygw.core.evacuation.EvacuationNews;
import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.peers.HostReport;
import org.dragonflygw.core.ratelimit.PermitReply;
import org.dragonflygw.core.ratelimit.PermitRequest;
import org.dragonflygw.core.resume.OriginReply;
import org.dragonflygw.core.resume.StreamOrigin;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against messages and rows that builds side by side cannot read. The samples were written by earlier builds, by the
 * main method of {@link MessageSamples}; the fields are those of their Thrift files.
 */
final class EarlierBuildsTest {
    private static final String FOLDER = "/earlier-builds/";
    private static final String GENERATED = "org.dragonflygw.wire.hosts.";

    private static List<String> lines(String file) throws IOException {
        try (InputStream in = EarlierBuildsTest.class.getResourceAsStream(FOLDER + file)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    private static Map<String, byte[]> samples(String build) throws IOException {
        Map<String, byte[]> samples = new HashMap<>();
        for (String line : lines(build + ".samples")) {
            String[] words = line.split(" ", 2);
            samples.put(words[0], Base64.getDecoder().decode(words[1]));
        }
        return samples;
    }

    /** Collects what was decoded. */
    private static final class Received implements PeerMessageHandler {
        private final List<Object> messages = new ArrayList<>();

        @Override
        public void onPermitRequest(long id, PermitRequest request) {
            messages.add(request);
        }

        @Override
        public void onPermitReply(long id, PermitReply reply) {
            messages.add(reply);
        }

        @Override
        public void onStreamOrigin(String attempt, StreamOrigin origin) {
            messages.add(origin);
        }

        @Override
        public void onOriginRequest(long id, String attempt, String service) {
            messages.add(attempt + "@" + service);
        }

        @Override
        public void onOriginReply(long id, OriginReply reply) {
            messages.add(reply);
        }

        @Override
        public void onHostLoad(HostLoad load) {
            messages.add(load);
        }

        @Override
        public void onFleetLoad(FleetLoad load) {
            messages.add(load);
        }
    }

    private static Object message(byte[] datagram) {
        Received received = new Received();
        new PeerMessageCodec().decode(datagram, received);
        return received.messages.get(0);
    }

    @Nested
    final class WhatEarlierBuildsWrite {
        @ParameterizedTest
        @ValueSource(strings = {"b3a5b0b", "65218de", "e565e3b"})
        void isReadWhole(String build) throws IOException {
            Map<String, byte[]> samples = samples(build);
            assertThat(new HostReportCodec().decode(samples.get("host-report"))).isEqualTo(MessageSamples.report());
            assertThat(message(samples.get("permit-request"))).isEqualTo(MessageSamples.permitRequest());
            assertThat(message(samples.get("permit-reply"))).isEqualTo(MessageSamples.permitReply());
            assertThat(message(samples.get("stream-origin"))).isEqualTo(MessageSamples.ORIGIN);
            assertThat(message(samples.get("origin-request"))).isEqualTo("a@s");
            assertThat(message(samples.get("origin-reply"))).isEqualTo(MessageSamples.originReply());
            assertThat(message(samples.get("host-load"))).isEqualTo(MessageSamples.hostLoad());
            assertThat(message(samples.get("fleet-load"))).isEqualTo(MessageSamples.fleetLoad());
            assertThat(new VersionRowCodec().decode(samples.get("version-row"))).isEqualTo(MessageSamples.versionRow());
            assertThat(new CrashRowCodec().decode(samples.get("crash-row"))).isEqualTo(MessageSamples.crashRow());
        }

        /** This build knew no evacuations, sums of loads and cold endpoints, and told less in replies about streams. */
        @Test
        void isReadWithoutTheFieldsThatItDidNotHave() throws IOException {
            Map<String, byte[]> samples = samples("417b7ee");
            HostReport report = new HostReportCodec().decode(samples.get("host-report"));
            HostReport today = MessageSamples.report();
            assertThat(report.uses()).isEqualTo(today.uses());
            assertThat(report.holdings()).isEqualTo(today.holdings());
            assertThat(report.crashes()).isEqualTo(today.crashes());
            assertThat(report.parts()).isEqualTo(today.parts());
            assertThat(report.leaving()).isEqualTo(today.leaving());
            assertThat(report.rates().subList(0, 2)).isEqualTo(today.rates().subList(0, 2));
            assertThat(report.news().changes()).isEqualTo(today.news().changes());
            assertThat(report.news().evacuations()).isEqualTo(EvacuationNews.UNKNOWN);
            assertThat(message(samples.get("origin-reply")))
                    .isEqualTo(new OriginReply(Optional.of(MessageSamples.ORIGIN), Optional.of("v2"), false));
            assertThat(message(samples.get("stream-origin"))).isEqualTo(MessageSamples.ORIGIN);
            assertThat(message(samples.get("permit-reply"))).isEqualTo(MessageSamples.permitReply());
            assertThat(new VersionRowCodec().decode(samples.get("version-row"))).isEqualTo(MessageSamples.versionRow());
            assertThat(new CrashRowCodec().decode(samples.get("crash-row"))).isEqualTo(MessageSamples.crashRow());
        }
    }

    /** An earlier build skips fields that it does not know, and rejects a message without one that it requires. */
    @Nested
    final class WhatThisBuildWrites {
        private record Field(String struct, short id, boolean required, String type, String name) {
            static Field parse(String line) {
                String[] words = line.split(" ", -1);
                return new Field(words[0], Short.parseShort(words[1]), words[2].equals("required"), words[3], words[4]);
            }
        }

        @SuppressWarnings("unchecked") // The generated class declares this field with its own type of key.
        private static Map<?, FieldMetaData> metaData(String struct) throws ReflectiveOperationException {
            Class<?> type = Class.forName(GENERATED + struct).asSubclass(TBase.class);
            return (Map<?, FieldMetaData>) type.getField("metaDataMap").get(null);
        }

        @ParameterizedTest
        @ValueSource(strings = {"417b7ee", "b3a5b0b", "65218de", "e565e3b"})
        void hasAllFieldsThatAnEarlierBuildRequires(String build) throws Exception {
            for (String line : lines(build + ".fields")) {
                Field field = Field.parse(line);
                FieldMetaData now = fieldsById(field.struct()).get(field.id());
                if (now == null) {
                    assertWithMessage("%s was removed", line)
                            .that(field.required())
                            .isFalse();
                    continue;
                }
                assertWithMessage(line).that(now.valueMetaData.type).isEqualTo(wireType(field.type()));
                if (field.required()) {
                    assertWithMessage(line).that(isRequired(now)).isTrue();
                }
            }
        }

        @Test
        void addsNoRequiredField() throws Exception {
            Map<String, List<Short>> before = new HashMap<>();
            for (String line : lines("e565e3b.fields")) {
                Field field = Field.parse(line);
                before.computeIfAbsent(field.struct(), s -> new ArrayList<>()).add(field.id());
            }
            for (Map.Entry<String, List<Short>> struct : before.entrySet()) {
                fieldsById(struct.getKey()).forEach((id, field) -> {
                    if (!struct.getValue().contains(id)) {
                        assertWithMessage("%s %s", struct.getKey(), field.fieldName)
                                .that(isRequired(field))
                                .isFalse();
                    }
                });
            }
        }

        private static byte wireType(String type) {
            return switch (type.replaceFirst("<.*", "")) {
                case "bool" -> TType.BOOL;
                case "i32" -> TType.I32;
                case "i64" -> TType.I64;
                case "double" -> TType.DOUBLE;
                case "string" -> TType.STRING;
                case "list" -> TType.LIST;
                default -> TType.STRUCT;
            };
        }

        private static boolean isRequired(FieldMetaData field) {
            return field.requirementType == TFieldRequirementType.REQUIRED;
        }

        private static Map<Short, FieldMetaData> fieldsById(String struct) throws ReflectiveOperationException {
            Map<Short, FieldMetaData> byId = new HashMap<>();
            for (Map.Entry<?, FieldMetaData> field : metaData(struct).entrySet()) {
                byId.put(((TFieldIdEnum) field.getKey()).getThriftFieldId(), field.getValue());
            }
            return byId;
        }
    }
}
