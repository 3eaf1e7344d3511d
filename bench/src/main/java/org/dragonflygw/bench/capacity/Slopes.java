package org.dragonflygw.bench.capacity;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Measured slopes of {@code docs/measurements/slopes.csv}, by name. Immutable. */
final class Slopes {
    private final Map<String, Slope> byName;

    private Slopes(Map<String, Slope> byName) {
        this.byName = Map.copyOf(byName);
    }

    /** Reads the file; throws {@link IllegalArgumentException} if a name occurs twice. */
    static Slopes read(Path file) {
        CsvMapper csv = new CsvMapper();
        CsvSchema schema = csv.schemaFor(Slope.class).withHeader().withColumnReordering(true);
        Map<String, Slope> slopes = new HashMap<>();
        try (MappingIterator<Slope> rows =
                csv.readerFor(Slope.class).with(schema).readValues(file.toFile())) {
            while (rows.hasNext()) {
                Slope slope = rows.next();
                if (slopes.put(slope.name(), slope) != null) {
                    throw new IllegalArgumentException("duplicate slope: " + slope.name());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + file, e);
        }
        return new Slopes(slopes);
    }

    /** Returns the value of a slope; throws {@link IllegalArgumentException} if the name is unknown. */
    double value(String name) {
        Slope slope = byName.get(name);
        if (slope == null) {
            throw new IllegalArgumentException("unknown slope: " + name);
        }
        return slope.value();
    }
}
