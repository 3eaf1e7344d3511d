package org.dragonflygw.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Regenerates the tables of {@code docs/CAPACITY.md} from the measured slopes. Run it at the root of the project, or
 * pass the root as the first argument.
 */
public final class CapacityMain {
    private CapacityMain() {}

    public static void main(String[] arguments) throws IOException {
        Path root = Path.of(arguments.length == 0 ? "." : arguments[0]);
        Path page = root.resolve("docs/CAPACITY.md");
        CapacityModel model = new CapacityModel(Slopes.read(root.resolve("docs/measurements/slopes.csv")));
        Files.writeString(page, CapacityPage.update(Files.readString(page), model));
    }
}
