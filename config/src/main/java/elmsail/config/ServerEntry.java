package elmsail.config;

/**
 * One server as the platform lists it.
 *
 * @param service the name of its service ({@code postal_line})
 * @param address "ip:port"
 * @param maxConcurrency requests that it runs at once ({@code berths}); 0: not known
 * @param draining whether it accepts no new requests ({@code state} is not {@code open_for_post})
 * @param warmUpRemainingMs how much longer it is slow from its start ({@code cold_left_ms}); 0:
 *     warm
 */
public record ServerEntry(
    String id,
    String service,
    String address,
    String zone,
    int maxConcurrency,
    boolean draining,
    long warmUpRemainingMs) {}
