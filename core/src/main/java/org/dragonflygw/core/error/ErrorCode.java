package org.dragonflygw.core.error;

/** Stable code of one kind of error. Each layer implements this interface with an enum, whose names never change. */
public interface ErrorCode {
    /** Name of the code as callers and operators see it, in upper case with underscores. */
    String name();
}
