package org.dragonflygw.core.inspect;

/**
 * The sheet in force on one daemon: answer of {@code GET /v1/sheet}.
 *
 * @param daemonId daemon that answers
 * @param number version of the sheet; 0 for none
 * @param digest digest of the sheet
 * @param content CSV as applied; team keys appear only as digests
 */
public record SheetView(String daemonId, long number, String digest, String content) {}
