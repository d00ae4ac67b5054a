package elmsail.config;

/**
 * One server as the platform lists it.
 *
 * @param service the name of its service ({@code postal_line})
 * @param address "ip:port"
 * @param maxConcurrency number of requests that the server runs concurrently ({@code berths}); 0:
 *     not known
 * @param draining whether the server accepts no new requests ({@code state} is not {@code
 *     open_for_post})
 * @param warmUpRemainingMs how much longer the server is slow after its start ({@code
 *     cold_left_ms}); 0: the server has warmed up
 */
public record ServerEntry(
    String id,
    String service,
    String address,
    String zone,
    int maxConcurrency,
    boolean draining,
    long warmUpRemainingMs) {}
