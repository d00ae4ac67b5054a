package willowdoor.front.requests;

import willowdoor.policy.GatewayApi.Request;

/**
 * A request as its head tells it; what is left of its time is known once its last byte has come.
 */
public record ParsedRequest(
    String id,
    String className,
    String plan,
    long customer,
    int entryPoints,
    double units,
    double timeoutMs) {

  Request toRequest(Budget budget) {
    return new Request(id, className, plan, customer, entryPoints, units, budget.endMs());
  }
}
