package elmsail.batch.run;

import elmsail.batch.TenantName;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.Predicate;

/**
 * Shares the capacity of one dispatch among the tenants with ready items (max-min fairness). Each
 * turn goes to the tenant with the fewest items in flight at this gateway, however many jobs the
 * tenant has. Among tenants with equally many, and among the jobs of one tenant, the job that is
 * due first takes precedence. An instance serves a single dispatch and does no I/O.
 */
final class TenantShares {
  /** The jobs of one tenant that have ready items. */
  private static final class TenantQueue {
    /** In the order of their due times; never empty while this queue is in {@link #waiting}. */
    final Queue<RunningJob> jobs = new ArrayDeque<>();

    int itemsInFlight;
  }

  private static final Comparator<TenantQueue> FEWEST_IN_FLIGHT =
      Comparator.<TenantQueue>comparingInt(tenant -> tenant.itemsInFlight)
          .thenComparing(tenant -> tenant.jobs.peek());

  private final PriorityQueue<TenantQueue> waiting = new PriorityQueue<>(FEWEST_IN_FLIGHT);

  /**
   * @param jobs all jobs that this gateway runs, in the order of their due times
   */
  TenantShares(List<RunningJob> jobs) {
    Map<TenantName, TenantQueue> tenants = new LinkedHashMap<>();
    for (RunningJob job : jobs) {
      if (job.hasReadyItems()) {
        tenants.computeIfAbsent(job.record.tenant(), name -> new TenantQueue()).jobs.add(job);
      }
    }
    if (tenants.size() > 1) {
      for (RunningJob job : jobs) {
        TenantQueue tenant = tenants.get(job.record.tenant());
        if (tenant != null) {
          tenant.itemsInFlight += job.itemsInFlight();
        }
      }
    }
    waiting.addAll(tenants.values());
  }

  /**
   * Lets the jobs start items, one item in each turn, until no job can start another item.
   *
   * @param turn starts an item of the job; returns false if the job can start no further item
   */
  void dispatchFairly(Predicate<RunningJob> turn) {
    while (!waiting.isEmpty()) {
      TenantQueue tenant = waiting.poll();
      if (turn.test(tenant.jobs.peek())) {
        tenant.itemsInFlight++;
      } else {
        tenant.jobs.poll();
      }
      if (!tenant.jobs.isEmpty()) {
        waiting.add(tenant);
      }
    }
  }
}
