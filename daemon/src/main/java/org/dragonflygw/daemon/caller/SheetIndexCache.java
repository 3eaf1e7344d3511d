package org.dragonflygw.daemon.caller;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.dragonflygw.core.config.ActiveSheet;
import org.dragonflygw.core.config.SheetSource;
import org.dragonflygw.core.request.SheetIndex;

/** Caches the index of the sheet in force and rebuilds it when the sheet changes. Thread-safe. */
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
        SheetIndex cached = index;
        if (cached.sheet().version().equals(sheet.version())) {
            return cached;
        }
        SheetIndex rebuilt = new SheetIndex(sheet);
        index = rebuilt;
        return rebuilt;
    }
}
