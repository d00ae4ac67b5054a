package elmsail.config;

/**
 * A tenant of a configuration, an entry of {@code senders}. Its keys are known to the configuration
 * alone ({@link RoutingConfig#tenantByKey}).
 *
 * @param name unique in the configuration; servers see it in {@code Elmsail-Sender}
 * @param priority 0 is the highest; decides before that of the route ({@code precedence})
 */
public record Tenant(String name, int priority) {}
