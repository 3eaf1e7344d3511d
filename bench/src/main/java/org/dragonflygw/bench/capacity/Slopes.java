package org.dragonflygw.bench.capacity;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** The measured slopes of {@code docs/measurements/slopes.csv} by name. */
final class Slopes {
    private final Map<String, Slope> byName;

    private Slopes(Map<String, Slope> byName) {
        this.byName = Map.copyOf(byName);
    }

    /** Reads the file; a name that stands twice is an error. */
    static Slopes read(Path file) {
        CsvMapper csv = new CsvMapper();
        CsvSchema schema = csv.schemaFor(Slope.class).withHeader().withColumnReordering(true);
        Map<String, Slope> slopes = new HashMap<>();
        try (MappingIterator<Slope> rows =
                csv.readerFor(Slope.class).with(schema).readValues(file.toFile())) {
            while (rows.hasNext()) {
                Slope slope = rows.next();
                if (slopes.put(slope.name(), slope) != null) {
                    throw new IllegalArgumentException("slope stands twice: " + slope.name());
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + file, e);
        }
        return new Slopes(slopes);
    }

    /** Value of a slope; an unknown name is an error. */
    double value(String name) {
        Slope slope = byName.get(name);
        if (slope == null) {
            throw new IllegalArgumentException("no slope " + name);
        }
        return slope.value();
    }
}
