package elmsail.config;

/** One server as the platform lists it. */
public record ServerEntry(
    String id,
    String service,
    String address,
    String zone,
    int berths,
    boolean closing,
    long coldLeftMs) {}
