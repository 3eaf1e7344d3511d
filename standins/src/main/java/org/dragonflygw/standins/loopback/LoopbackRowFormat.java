package org.dragonflygw.standins.loopback;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Encodes and decodes the bodies of store calls in the platform's JSON format. */
final class LoopbackRowFormat {
    private final ObjectMapper mapper = new ObjectMapper();

    /** Encodes a response. */
    byte[] encode(StorePage read) {
        ObjectNode page = mapper.createObjectNode();
        ArrayNode list = page.putArray("rows");
        read.rows().forEach(r -> list.add(row(r)));
        page.put("has_more", false);
        page.put("row_version", read.version());
        page.put("now_ms", System.nanoTime() / 1_000_000);
        return page.toString().getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode row(StoredRow r) {
        ObjectNode row = mapper.createObjectNode();
        row.put("table", r.table());
        row.put("part", "");
        row.put("key", r.key());
        row.put("data", Base64.getEncoder().encodeToString(r.data()));
        row.put("row_version", r.version());
        if (r.deleted()) {
            row.put("deleted", true);
        }
        return row;
    }

    /** Decodes a write request and stores its rows. */
    void apply(byte[] request, LoopbackStore store) throws IOException {
        for (JsonNode r : mapper.readTree(request).path("write")) {
            byte[] data = Base64.getDecoder().decode(r.path("data").asText(""));
            store.put(r.path("table").asText(), r.path("key").asText(), data);
        }
    }
}
