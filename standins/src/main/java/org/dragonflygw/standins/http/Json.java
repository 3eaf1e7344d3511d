package org.dragonflygw.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;

/** JSON of the stand-ins' interfaces. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private Json() {}

    /** Writes a value. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new StandinException(
                    StandinCode.NOT_ENCODABLE, value.getClass().getName(), e);
        }
    }

    /** Reads a value; throws {@link StandinException} when the bytes do not fit the type. */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new StandinException(StandinCode.BAD_REQUEST, "body is null");
            }
            return value;
        } catch (IOException e) {
            throw new StandinException(StandinCode.BAD_REQUEST, "body is no " + type.getSimpleName(), e);
        }
    }

    /** Reads a tree; throws {@link StandinException} when the bytes are no JSON. */
    public static JsonNode tree(byte[] bytes) {
        return read(bytes, JsonNode.class);
    }
}
