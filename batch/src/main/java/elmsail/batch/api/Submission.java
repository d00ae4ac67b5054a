package elmsail.batch.api;

import elmsail.batch.BatchItem;
import elmsail.batch.TenantName;
import elmsail.config.Route;
import java.util.List;

/**
 * A valid job that a client submits.
 *
 * @param tenant of the caller
 * @param route that it is submitted on, as configured when the call arrived
 * @param timeoutMs within which the reply is due, in ms
 */
record Submission(
    TenantName tenant, String jobId, Route route, List<BatchItem> items, long timeoutMs) {

  /** The tokens of all items. */
  long tokens() {
    long sum = 0;
    for (BatchItem item : items) {
      sum += item.tokens();
    }
    return sum;
  }
}
