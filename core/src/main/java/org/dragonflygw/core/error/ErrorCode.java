package org.dragonflygw.core.error;

/** A stable code of one kind of failure. Each layer has an enum that implements it; names never change. */
public interface ErrorCode {
    /** Name of the code as shown to callers and operators, in upper case with underscores. */
    String name();
}
