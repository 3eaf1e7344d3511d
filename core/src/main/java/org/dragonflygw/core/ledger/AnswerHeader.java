package org.dragonflygw.core.ledger;

/** One HTTP header of a stored answer. */
public record AnswerHeader(String name, String value) {}
