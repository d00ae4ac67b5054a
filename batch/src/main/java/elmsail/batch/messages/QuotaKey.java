package elmsail.batch.messages;

import elmsail.batch.TenantName;

/**
 * The key under which waiting tokens are counted: the jobs of one tenant on one route, over all
 * gateways. The route's limit on waiting tokens applies to each key separately.
 */
public record QuotaKey(String routeName, TenantName tenant) {}
