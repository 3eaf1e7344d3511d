package org.dragonflygw.core.inspect;

/**
 * The sheet in force on one daemon: answer of {@code GET /v1/sheet}.
 *
 * @param daemonId daemon that answers
 * @param number version; 0 for none
 * @param digest digest
 * @param content CSV as it was applied; team keys are only digests
 */
public record SheetView(String daemonId, long number, String digest, String content) {}
