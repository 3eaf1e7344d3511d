package org.dragonflygw.core.ledger;

/**
 * One header of a stored answer.
 *
 * @param name name of the header
 * @param value value of the header
 */
public record AnswerHeader(String name, String value) {}
