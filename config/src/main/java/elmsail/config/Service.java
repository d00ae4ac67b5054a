package elmsail.config;

/**
 * One service ({@code postal_lines}): connections that a server takes from all, requests at once,
 * tokens in memory.
 */
public record Service(
    String name, String healthPath, int maxConnections, int maxConcurrency, long kvCacheTokens) {}
