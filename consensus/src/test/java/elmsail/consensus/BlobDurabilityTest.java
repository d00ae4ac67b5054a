package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A blob is stored at a majority of the voters only, so a voter that loses its disk may leave too
 * few copies. A join copies from N - q + 1 other voters, after which each blob is at a majority
 * again. The test checks this for all placements and sources as sets of slots, and with replicas.
 */
class BlobDurabilityTest {
  private int states;

  @Test
  void joinFromBlockingSetLeavesEachBlobAtAMajority() {
    for (int voters : new int[] {1, 3, 5, 7}) {
      states = 0;
      assertThat(
          voters + " voters",
          someJoinOrderLosesBlob(voters, VoterSets.blockingSize(voters)),
          is(false));
      System.out.println(voters + " voters: " + states + " joins, each blob at a majority");
    }
  }

  @Test
  void joinFromOneSourceLessThanABlockingSetLosesABlob() {
    for (int voters : new int[] {3, 5, 7}) {
      assertThat(someJoinOrderLosesBlob(voters, VoterSets.blockingSize(voters) - 1), is(true));
    }
  }

  /** Whether some order of joins leaves a blob at less than a majority. */
  private boolean someJoinOrderLosesBlob(int voters, int sources) {
    Set<Integer> seen = new HashSet<>();
    for (int holders = 0; holders < 1 << voters; holders++) {
      if (Integer.bitCount(holders) == VoterSets.majoritySize(voters)
          && losesBlob(holders, voters, sources, seen)) {
        return true;
      }
    }
    return false;
  }

  private boolean losesBlob(int holders, int voters, int sources, Set<Integer> seen) {
    if (Integer.bitCount(holders) < VoterSets.majoritySize(voters)) {
      return true;
    }
    if (!seen.add(holders)) {
      return false;
    }
    for (int slot = 0; slot < voters; slot++) {
      int others = ((1 << voters) - 1) & ~(1 << slot);
      for (int sourceSlots = 0; sourceSlots < 1 << voters; sourceSlots++) {
        if ((sourceSlots & ~others) == 0
            && Integer.bitCount(sourceSlots) == Math.min(sources, voters - 1)) {
          states++;
          int copied = (sourceSlots & holders) != 0 ? 1 << slot : 0;
          int next = holders & others | (voters == 1 ? holders : copied);
          if (losesBlob(next, voters, sources, seen)) {
            return true;
          }
        }
      }
    }
    return false;
  }

  private SimCluster cluster;

  private void commitBlobWithOneVoterDown(int voterDown) {
    cluster = new SimCluster().bootstrapped();
    cluster.kill(voterDown);
    cluster.put("value", SimCluster.blob("body", 20_000));
    cluster.start(voterDown);
    cluster.timers.advance(50);
    assertThat(cluster.replicas[voterDown].blob("key", "body") == null, is(true));
  }

  private void wipeDiskAndRejoin(int lost) {
    cluster.kill(lost);
    cluster.disks[lost].wipe();
    cluster.start(lost);
    cluster.replicas[lost].learn(cluster.initialVoters);
    cluster.awaitVoting(lost, 5_000);
    assertThat(cluster.replicas[lost].isVoting(), is(true));
  }

  /** The spare takes over the slot of a voter, which is down or still running. */
  private void replaceBySpare(int lost, boolean running) {
    if (!running) {
      cluster.kill(lost);
    }
    cluster.replicas[3].learn(cluster.initialVoters);
    cluster.replicas[3].join(lost, 2);
    cluster.awaitVoting(3, 5_000);
    assertThat(cluster.replicas[3].isVoting(), is(true));
    cluster.kill(lost);
  }

  /**
   * One voter lacks the blob. Then a voter loses its disk and rejoins, or is replaced by a spare;
   * right after that join a voter loses its disk.
   */
  @Test
  void blobSurvivesASecondDiskLossRightAfterAJoin() {
    int scenarios = 0;
    for (int voterDown = 0; voterDown < 3; voterDown++) {
      for (int first = 0; first < 3; first++) {
        for (int second = 0; second < 3; second++) {
          for (int lossKind = 0; lossKind < 3; lossKind++) {
            if (lossKind > 0 && second == first) {
              continue;
            }
            commitBlobWithOneVoterDown(voterDown);
            if (lossKind == 0) {
              wipeDiskAndRejoin(first);
            } else {
              replaceBySpare(first, lossKind == 2);
            }
            cluster.kill(second);
            cluster.disks[second].wipe();
            byte[] read =
                cluster.await(cluster.client(cluster.initialVoters).readBlob("key", "body", 5_000));
            String scenario =
                voterDown
                    + " lacks the blob, lost "
                    + first
                    + ", then "
                    + second
                    + ", kind of loss "
                    + lossKind;
            assertThat(scenario, read != null && read.length == 20_000, is(true));
            assertThat(scenario, cluster.net.handlerFaults(), empty());
            scenarios++;
          }
        }
      }
    }
    assertThat(scenarios, greaterThan(40));
  }
}
