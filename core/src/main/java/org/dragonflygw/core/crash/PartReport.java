package org.dragonflygw.core.crash;

import java.util.List;

/**
 * What one host reports to its peers about parts of prompts that may crash endpoints.
 *
 * @param suspects parts with losses that the host saw, or heard of and passes on
 * @param sound parts that are cleared of earlier losses
 */
public record PartReport(List<PartSuspect> suspects, List<SoundPart> sound) {
    /** A report without news. */
    public static final PartReport NONE = new PartReport(List.of(), List.of());

    public PartReport {
        suspects = List.copyOf(suspects);
        sound = List.copyOf(sound);
    }
}
