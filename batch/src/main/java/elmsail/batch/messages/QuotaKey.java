package elmsail.batch.messages;

import elmsail.batch.TenantName;

/**
 * What is counted together: the jobs of one tenant on one route, at all gateways. Each key has the
 * route's limit of waiting tokens to itself.
 */
public record QuotaKey(String routeName, TenantName tenant) {}
