package elmsail.config;

/** One server as the platform lists it. */
public record ServerEntry(
    String id,
    String service,
    String address,
    String zone,
    int maxConcurrency,
    boolean draining,
    long warmUpRemainingMs) {}
