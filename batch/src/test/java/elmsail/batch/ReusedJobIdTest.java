package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.consensus.Register;
import elmsail.rpc.messages.Ballot;
import elmsail.runtime.ProcessMetrics;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A client reuses a job id after the stores have dropped the first job. The second job starts again
 * at version 1, which must not be reported as a violated invariant of the first job.
 */
class ReusedJobIdTest {
  private static JobRecord accepted(long configVersion) {
    return JobRecord.accepted(
        new JobDescription(
            "r", "h", configVersion, 1, 1, "body", List.of(new JobRecord.Item("i", 10))),
        "gateway");
  }

  private static Register.VersionedValue committedAtRound(long round, JobRecord record) {
    Ballot ballot = new Ballot();
    ballot.round = round;
    return new Register.VersionedValue(ballot, record.encode());
  }

  @Test
  void aSecondJobWithTheSameIdViolatesNoInvariant() {
    BatchJobClient client = new BatchJobClient(null, ProcessMetrics.strict().invariants());
    JobRecord first = accepted(1);
    client.onCommitted("job", committedAtRound(1, first));
    client.onCommitted("job", committedAtRound(2, first.withCancellation()));
    JobRecord second = accepted(2);
    assertThat(client.onCommitted("job", committedAtRound(3, second)).version(), is(1L));
    assertThat(
        client.onCommitted("job", committedAtRound(4, second.withRunner("other", 0))).version(),
        is(2L));
  }
}
