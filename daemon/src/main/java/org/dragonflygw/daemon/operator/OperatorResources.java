package org.dragonflygw.daemon.operator;

import com.google.inject.Binder;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.name.Names;

/**
 * Registers Jersey resources on the operators' port. A subsystem calls {@link #add} in its own Guice module; an instance
 * of the class is then served.
 */
public final class OperatorResources {
    /** Name of the set of resources in Guice. */
    public static final String NAME = "operator-resources";

    private OperatorResources() {}

    /** Adds a resource class, annotated with a path that starts with {@code /v1}. */
    public static void add(Binder binder, Class<?> resource) {
        binder(binder).addBinding().to(resource);
    }

    /** The set of resources; binding it more than once is allowed. */
    public static Multibinder<Object> binder(Binder binder) {
        return Multibinder.newSetBinder(binder, Object.class, Names.named(NAME));
    }
}
