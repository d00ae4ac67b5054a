package willowdoor.front.requests;

import willowdoor.policy.GatewayApi.Request;

/**
 * The fields of a request's head. How much of the request's time remains is known only once its
 * last byte has arrived.
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
