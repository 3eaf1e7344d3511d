package org.dragonflygw.edge.soak;

import org.dragonflygw.standins.loopback.LoopbackConfiguration;

/** Kinds of requests that callers send, each with the path of a route of its kind. */
enum RequestKind {
    /** Not idempotent: may be executed only once. */
    ONCE("/once/", LoopbackConfiguration.APPLICATIONS),
    /** Idempotent: may be executed again after a failure. */
    AGAIN("/plain/", LoopbackConfiguration.APPLICATIONS),
    /** Streamed response that may be resumed at another endpoint. */
    STREAM("/stream/", LoopbackConfiguration.ENGINES),
    /** Ends each endpoint that begins to execute it; always the same request, under new ids. */
    CRASHING("/plain/crashing", LoopbackConfiguration.APPLICATIONS) {
        @Override
        String target(String id) {
            return super.target("");
        }

        @Override
        String body(String id) {
            return "body that ends endpoints";
        }
    },
    /** Ends each endpoint that begins to answer it, by one part of its prompt; no two are alike. */
    CRASHING_PART("/stream/", LoopbackConfiguration.ENGINES) {
        @Override
        String promptParts(String id) {
            return SYSTEM_PROMPT + "," + CRASHING_PROMPT_PART + "," + ownPart(id);
        }
    };

    /** The part of a prompt that ends endpoints. */
    static final String CRASHING_PROMPT_PART = "dead:300";

    private static final String SYSTEM_PROMPT = "5e5:800";

    private final String prefix;
    private final String service;

    RequestKind(String prefix, String service) {
        this.prefix = prefix;
        this.service = service;
    }

    String service() {
        return service;
    }

    String target(String id) {
        return prefix + id;
    }

    String body(String id) {
        return "body of " + id;
    }

    /** Parts of the prompt, as the header field has them. */
    String promptParts(String id) {
        return SYSTEM_PROMPT + "," + ownPart(id);
    }

    private static String ownPart(String id) {
        return Integer.toHexString(id.hashCode()) + ":100";
    }

    /** Whether requests of this kind end the endpoints that execute them. */
    boolean endsEndpoints() {
        return this == CRASHING || this == CRASHING_PART;
    }
}
