package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import elmsail.runtime.PrometheusText;
import org.junit.jupiter.api.Test;

/** Metric names on which dashboards and scripts depend, so they must not change. */
class PinnedNamesTest {

  @Test
  void metricsHaveTheseNames() {
    SimCluster cluster = new SimCluster();
    assertThat(
        PrometheusText.format(cluster.metrics[0].counters())
            .lines()
            .filter(line -> line.contains("_replica_"))
            .toList(),
        contains(
            "# TYPE elmsail_replica_prepares_answered counter",
            "elmsail_replica_prepares_answered 0",
            "# TYPE elmsail_replica_accepts_answered counter",
            "elmsail_replica_accepts_answered 0",
            "# TYPE elmsail_replica_reads_answered counter",
            "elmsail_replica_reads_answered 0",
            "# TYPE elmsail_replica_refused counter",
            "elmsail_replica_refused{reason=\"outbid\"} 0",
            "elmsail_replica_refused{reason=\"old_voter_set\"} 0",
            "elmsail_replica_refused{reason=\"not_voting\"} 0",
            "elmsail_replica_refused{reason=\"not_admitted\"} 0",
            "elmsail_replica_refused{reason=\"disk\"} 0",
            "# TYPE elmsail_replica_voting gauge",
            "elmsail_replica_voting 0",
            "# TYPE elmsail_replica_join_under_way gauge",
            "elmsail_replica_join_under_way 0",
            "# TYPE elmsail_replica_keys_kept gauge",
            "elmsail_replica_keys_kept 0",
            "# TYPE elmsail_replica_blobs_kept gauge",
            "elmsail_replica_blobs_kept 0"));
  }
}
