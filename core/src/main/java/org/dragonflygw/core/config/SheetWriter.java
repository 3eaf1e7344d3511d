package org.dragonflygw.core.config;

import com.fasterxml.jackson.databind.SequenceWriter;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes sheets in the CSV format that {@link SheetReader} reads. */
public final class SheetWriter {
    private static final CsvMapper CSV = new CsvMapper();

    /** Returns the sheet as CSV in UTF-8, with all columns and rows ordered by kind. */
    public byte[] write(Sheet sheet) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (SequenceWriter writer = CSV.writer().writeValues(out)) {
            writer.write(headers());
            for (SheetRow row : SheetRow.of(sheet)) {
                writer.write(cells(row));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private static String[] headers() {
        SheetColumn[] columns = SheetColumn.values();
        String[] headers = new String[columns.length];
        for (int i = 0; i < columns.length; i++) {
            headers[i] = columns[i].header();
        }
        return headers;
    }

    private static String[] cells(SheetRow row) {
        SheetColumn[] columns = SheetColumn.values();
        String[] cells = new String[columns.length];
        for (int i = 0; i < columns.length; i++) {
            cells[i] = row.cells().getOrDefault(columns[i], "");
        }
        return cells;
    }
}
