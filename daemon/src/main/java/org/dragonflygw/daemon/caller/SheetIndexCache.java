package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.dragonflygw.core.config.ActiveSheet;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.request.SheetIndex;

/** Keeps the index of the sheet in force; builds it anew when the sheet changes. Safe from every thread. */
@Singleton
public final class SheetIndexCache {
    private final SheetSource sheets;
    private volatile SheetIndex index = new SheetIndex(ActiveSheet.NONE);

    @Inject
    public SheetIndexCache(SheetSource sheets) {
        this.sheets = sheets;
    }

    /** The index of the sheet in force. */
    public SheetIndex current() {
        ActiveSheet sheet = sheets.current();
        SheetIndex known = index;
        if (known.sheet().version().equals(sheet.version())) {
            return known;
        }
        SheetIndex built = new SheetIndex(sheet);
        index = built;
        return built;
    }
}
