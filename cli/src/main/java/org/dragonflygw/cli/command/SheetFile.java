package org.dragonflygw.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.dragonflygw.cli.CliException;
import org.dragonflygw.cli.ExitCode;
import org.dragonflygw.cli.Invocation;

/** Reads the sheet file of the commands that take one. */
final class SheetFile {
    private SheetFile() {}

    /** Content of the file that the first argument names; throws {@link CliException} when the file cannot be read. */
    static byte[] read(Invocation invocation) {
        Path file = Path.of(invocation.argument(0, "sheet file"));
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "cannot read sheet file " + file, e);
        }
    }
}
