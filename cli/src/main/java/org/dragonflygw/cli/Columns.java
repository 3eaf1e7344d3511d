package org.dragonflygw.cli;

import com.github.freva.asciitable.Column;
import com.github.freva.asciitable.ColumnData;
import com.github.freva.asciitable.HorizontalAlign;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** Creates table columns: strings are aligned left, numbers right. */
public final class Columns {
    private Columns() {}

    /** A column of strings. */
    public static <T> ColumnData<T> text(String header, Function<T, String> value) {
        return new Column()
                .header(header)
                .headerAlign(HorizontalAlign.LEFT)
                .dataAlign(HorizontalAlign.LEFT)
                .with(value);
    }

    /** A column of numbers, cut to integers. */
    public static <T> ColumnData<T> number(String header, Function<T, ? extends Number> value) {
        return new Column()
                .header(header)
                .headerAlign(HorizontalAlign.RIGHT)
                .dataAlign(HorizontalAlign.RIGHT)
                .with(row -> String.valueOf(value.apply(row).longValue()));
    }

    /** A column of numbers with two decimals. */
    public static <T> ColumnData<T> decimal(String header, ToDoubleFunction<T> value) {
        return new Column()
                .header(header)
                .headerAlign(HorizontalAlign.RIGHT)
                .dataAlign(HorizontalAlign.RIGHT)
                .with(row -> String.format(Locale.ROOT, "%.2f", value.applyAsDouble(row)));
    }
}
