package org.dragonflygw.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;

/** Reads and writes the JSON bodies of the stand-ins. Unknown fields are ignored. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private Json() {}

    /** Serializes a value; throws {@link StandinException} when the value cannot be serialized. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new StandinException(
                    StandinCode.NOT_ENCODABLE, value.getClass().getName(), e);
        }
    }

    /** Parses a value; throws {@link StandinException} when the bytes do not match the type. */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new StandinException(StandinCode.BAD_REQUEST, "body is null");
            }
            return value;
        } catch (IOException e) {
            throw new StandinException(StandinCode.BAD_REQUEST, "body is not a valid " + type.getSimpleName(), e);
        }
    }

    /** Parses a JSON tree; throws {@link StandinException} when the bytes are not valid JSON. */
    public static JsonNode tree(byte[] bytes) {
        return read(bytes, JsonNode.class);
    }
}
