package org.dragonflygw.core.config;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import java.io.IOException;
import java.util.Optional;

/** Reads sheets: CSV in UTF-8, one header row, one row for each team, service, rule and placement. */
public final class SheetReader {
    /** Largest sheet, in bytes. */
    public static final int MAX_BYTES = 32 << 20;

    /** Most rows of a sheet, without the header row. */
    public static final int MAX_ROWS = 100_000;

    private static final ObjectReader CSV = new CsvMapper()
            .readerFor(String[].class)
            .with(CsvParser.Feature.WRAP_AS_ARRAY)
            .with(CsvParser.Feature.FAIL_ON_MISSING_HEADER_COLUMNS);

    /** Reads and checks a sheet; never throws on bad content. */
    public SheetReadResult read(byte[] content) {
        SheetProblems problems = new SheetProblems();
        if (content.length > MAX_BYTES) {
            problems.add("the file has " + content.length + " bytes, more than " + MAX_BYTES);
            return SheetReadResult.invalid(problems);
        }
        Optional<String> text = SheetText.decode(content, problems);
        if (text.isEmpty()) {
            return SheetReadResult.invalid(problems);
        }
        if (text.get().isBlank()) {
            problems.add("the file is empty");
            return SheetReadResult.invalid(problems);
        }
        SheetBuilder rows = new SheetBuilder();
        if (readRows(text.get(), rows, problems)) {
            new SheetValidator(rows, problems).validate();
        }
        return problems.count() == 0 ? SheetReadResult.valid(rows.build()) : SheetReadResult.invalid(problems);
    }

    /** Whether the file could be read to its end, so that checks across rows make sense. */
    private static boolean readRows(String text, SheetBuilder rows, SheetProblems problems) {
        int row = 1;
        try (MappingIterator<String[]> records = CSV.readValues(text)) {
            Optional<SheetHeader> header = SheetHeader.read(records.nextValue(), problems);
            if (header.isEmpty()) {
                return false;
            }
            while (records.hasNextValue()) {
                row++;
                if (row - 1 > MAX_ROWS) {
                    problems.add(row, "", "the sheet has more than " + MAX_ROWS + " rows");
                    return false;
                }
                readRow(row, header.get(), records.nextValue(), rows, problems);
            }
            return true;
        } catch (IOException | RuntimeException e) {
            problems.add(row + 1, "", "cannot be read as CSV; check the quotes");
            return false;
        }
    }

    private static void readRow(
            int row, SheetHeader header, String[] cells, SheetBuilder rows, SheetProblems problems) {
        if (isBlank(cells)) {
            return;
        }
        String name = header.cell(cells, SheetColumn.KIND);
        Optional<RowKind> kind = RowKind.of(name);
        if (kind.isEmpty()) {
            problems.add(row, SheetColumn.KIND, "\"" + name + "\" is not team, service, rule or placement");
            return;
        }
        rows.add(row, kind.get(), new RowFields(row, kind.get(), header, cells, problems));
    }

    private static boolean isBlank(String[] cells) {
        for (String cell : cells) {
            if (!cell.isBlank()) {
                return false;
            }
        }
        return true;
    }
}
