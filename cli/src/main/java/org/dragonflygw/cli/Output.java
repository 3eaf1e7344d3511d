package org.dragonflygw.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.freva.asciitable.AsciiTable;
import com.github.freva.asciitable.ColumnData;
import java.io.PrintStream;
import java.util.Collection;
import java.util.List;

/** Prints answers as tables for people or as JSON for programs; notes go to the error stream. */
public final class Output {
    private final OutputFormat format;
    private final PrintStream out;
    private final PrintStream err;
    private final ObjectMapper json;

    public Output(OutputFormat format, PrintStream out, PrintStream err, ObjectMapper json) {
        this.format = format;
        this.out = out;
        this.err = err;
        this.json = json;
    }

    /** Chosen format. */
    public OutputFormat format() {
        return format;
    }

    /** Prints a line as it is. */
    public void line(String text) {
        out.println(text);
    }

    /** Prints a note that is not part of the answer. */
    public void note(String text) {
        err.println(text);
    }

    /** Prints the daemons that did not answer. */
    public void noteSilentDaemons(List<String> daemons) {
        daemons.forEach(daemon -> note("no answer from " + daemon));
    }

    /** Prints a value as one line of JSON. */
    public void json(Object value) {
        try {
            line(json.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new CliException(ExitCode.FAILED, "the answer cannot be written as JSON", e);
        }
    }

    /** Prints rows as a table. */
    public <T> void table(Collection<T> rows, List<ColumnData<T>> columns) {
        line(AsciiTable.getTable(AsciiTable.NO_BORDERS, rows, columns));
    }

    /** Prints rows as a table or as one JSON list. */
    public <T> void rows(Collection<T> rows, List<ColumnData<T>> columns) {
        if (format == OutputFormat.JSON) {
            json(rows);
        } else {
            table(rows, columns);
        }
    }
}
