package elmsail.config;

/**
 * A tenant of a configuration, an entry of {@code senders}. Only the configuration holds its keys
 * ({@link RoutingConfig#tenantByKey}).
 *
 * @param name unique in the configuration; sent to servers in the header {@code Elmsail-Sender}
 * @param priority 0 is the highest; takes precedence over the priority of the route ({@code
 *     precedence})
 */
public record Tenant(String name, int priority) {}
