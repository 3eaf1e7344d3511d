package org.dragonflygw.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.freva.asciitable.AsciiTable;
import com.github.freva.asciitable.ColumnData;
import java.io.PrintStream;
import java.util.Collection;
import java.util.List;

/** Prints results to standard output, as tables for people or JSON for programs, and notes to standard error. */
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

    /** Format that the operator chose. */
    public OutputFormat format() {
        return format;
    }

    /** Prints a line to standard output. */
    public void line(String text) {
        out.println(text);
    }

    /** Prints a note, which is not part of the result, to standard error. */
    public void note(String text) {
        err.println(text);
    }

    /** Prints a note for each daemon that did not answer. */
    public void noteSilentDaemons(List<String> daemons) {
        daemons.forEach(daemon -> note("no answer from " + daemon));
    }

    /** Prints a value as one line of JSON. */
    public void json(Object value) {
        try {
            line(json.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new CliException(ExitCode.FAILED, "cannot write the result as JSON", e);
        }
    }

    /** Prints rows as a table. */
    public <T> void table(Collection<T> rows, List<ColumnData<T>> columns) {
        line(AsciiTable.getTable(AsciiTable.NO_BORDERS, rows, columns));
    }

    /** Prints rows as a table or as one JSON list, depending on the format. */
    public <T> void rows(Collection<T> rows, List<ColumnData<T>> columns) {
        if (format == OutputFormat.JSON) {
            json(rows);
        } else {
            table(rows, columns);
        }
    }
}
