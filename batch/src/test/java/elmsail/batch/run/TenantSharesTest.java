package elmsail.batch.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import elmsail.batch.TenantName;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class TenantSharesTest {
  /** A job with three items that is due a fixed time after its acceptance. */
  private static RunningJob job(String id, String tenant, long acceptedAt) {
    List<JobRecord.Item> items =
        IntStream.range(0, 3).mapToObj(i -> new JobRecord.Item(id + i, 1)).toList();
    JobDescription description =
        new JobDescription("r", "h", 1, 10_000, 60_000, "b", items, new TenantName(tenant));
    JobRecord record = JobRecord.accepted(description, "gateway");
    return new RunningJob(id, record, acceptedAt, acceptedAt, acceptedAt);
  }

  private static RunningJob inFlight(RunningJob job, int items) {
    for (int i = 0; i < items; i++) {
      job.readyItems.poll();
      job.itemRuns[i].begin(0);
    }
    return job;
  }

  /** The jobs that start an item, in the order of their turns, with this number of slots. */
  private static List<String> turns(int slots, RunningJob... jobs) {
    List<String> started = new ArrayList<>();
    new TenantShares(List.of(jobs))
        .dispatchFairly(
            job -> {
              if (started.size() >= slots || !job.hasReadyItems()) {
                return false;
              }
              job.readyItems.poll();
              started.add(job.id);
              return true;
            });
    return started;
  }

  @Test
  void theJobsOfOneTenantAreServedInTheOrderOfTheirDueTimes() {
    assertThat(
        turns(9, job("a1", "a", 1), job("a2", "a", 2)),
        contains("a1", "a1", "a1", "a2", "a2", "a2"));
    assertThat(turns(2, job("1", "", 1), job("2", "", 2)), contains("1", "1"));
  }

  @Test
  void tenantsTakeTurnsHoweverManyJobsEachHas() {
    assertThat(
        turns(7, job("a1", "a", 1), job("a2", "a", 2), job("a3", "a", 3), job("b1", "b", 4)),
        contains("a1", "b1", "a1", "b1", "a1", "b1", "a2"));
  }

  @Test
  void tenantsWithFewerItemsInFlightAreServedFirst() {
    assertThat(
        turns(5, inFlight(job("a1", "a", 1), 2), job("a2", "a", 2), job("b1", "b", 3)),
        contains("b1", "b1", "a1", "b1", "a2"));
    assertThat(
        "items in flight of a job without ready items count too",
        turns(3, inFlight(job("a1", "a", 1), 3), job("a2", "a", 2), job("b1", "b", 3)),
        contains("b1", "b1", "b1"));
  }

  @Test
  void nextJobIsTriedIfAJobCannotStartAnItem() {
    List<String> jobsWithTurn = new ArrayList<>();
    new TenantShares(List.of(job("a1", "a", 1), job("b1", "b", 2), job("a2", "a", 3)))
        .dispatchFairly(
            job -> {
              jobsWithTurn.add(job.id);
              return false;
            });
    assertThat(jobsWithTurn, contains("a1", "b1", "a2"));
    assertThat(turns(3, inFlight(job("a1", "a", 1), 3)), empty());
  }
}
