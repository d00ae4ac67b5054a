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
 * Shares the slots of one dispatch among the tenants whose jobs wait (max-min fairness): each turn
 * goes to the tenant with the fewest items in flight at this gateway, however many jobs it has.
 * Among equals, and among the jobs of one tenant, the job that is due first is served first. Used
 * once; without I/O.
 */
final class TenantShares {
  /** The waiting jobs of one tenant. */
  private static final class TenantQueue {
    /** Those that are due first at the head; never empty while the queue is in {@link #waiting}. */
    final Queue<RunningJob> jobs = new ArrayDeque<>();

    int itemsInFlight;
  }

  private static final Comparator<TenantQueue> FEWEST_IN_FLIGHT =
      Comparator.<TenantQueue>comparingInt(tenant -> tenant.itemsInFlight)
          .thenComparing(tenant -> tenant.jobs.peek());

  private final PriorityQueue<TenantQueue> waiting = new PriorityQueue<>(FEWEST_IN_FLIGHT);

  /**
   * @param jobs all that this gateway runs, those that are due first at the head
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
   * Gives the turns until no job can use one.
   *
   * @param turn starts an item of the job; false if the job can start no further one
   */
  void giveTurns(Predicate<RunningJob> turn) {
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
