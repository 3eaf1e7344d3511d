package org.dragonflygw.daemon.operator;

import com.google.inject.Binder;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.name.Names;

/**
 * Registers Jersey resources on the operator port. A subsystem calls {@link #add} in its Guice module; Guice creates
 * the instance that is served.
 */
public final class OperatorResources {
    /** Guice name of the set of resources. */
    public static final String NAME = "operator-resources";

    private OperatorResources() {}

    /** Adds a resource class whose {@code @Path} starts with {@code /v1}. */
    public static void add(Binder binder, Class<?> resource) {
        binder(binder).addBinding().to(resource);
    }

    /** Returns the binder of the set of resources; it may be requested more than once. */
    public static Multibinder<Object> binder(Binder binder) {
        return Multibinder.newSetBinder(binder, Object.class, Names.named(NAME));
    }
}
