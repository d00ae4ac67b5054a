package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.messages.VoterSet;
import org.junit.jupiter.api.Test;

/**
 * A replica restarts without its disk, knows only the initial voters, and claims a slot that it
 * held before and in which another replica votes now. Such a claim must not end the voting of the
 * other replica. For all orders of the responses, with the other replicas up, late or down, the set
 * keeps its majority, and the replica votes again in its own slot if it has one.
 */
class ConflictingJoinTest {
  private static final long LATE_MS = 1_500;
  private static final long MAX_JOIN_MS = 20_000;

  private SimCluster cluster;
  private String scenario;

  /**
   * Creates a cluster in which replicas 2, 1 and 3 hold the slots 0 to 2. Replica 0 doesn't know
   * that it was replaced.
   */
  private void clusterWithMovedSlots() {
    cluster = new SimCluster().bootstrapped();
    cluster.put("old");
    cluster.net.isolate(SimCluster.ADDRESSES[2]);
    cluster.replicas[3].learn(cluster.initialVoters);
    cluster.replicas[3].join(2, 2);
    cluster.awaitVoting(3, 5_000);
    cluster.net.healAll();
    cluster.replicas[2].learn(cluster.replicas[1].voterSet());
    cluster.timers.advance(50);
    cluster.net.isolate(SimCluster.ADDRESSES[0]);
    cluster.replicas[2].join(0, 2);
    cluster.awaitVoting(2, 5_000);
    assertThat(cluster.replicas[2].isVoting() && cluster.replicas[3].isVoting(), is(true));
    cluster.put("new");
  }

  private void restartAllWithOneWiped(boolean formerHolderIsUp, boolean successorIsLate) {
    for (int i = 0; i < SimCluster.ADDRESSES.length; i++) {
      cluster.kill(i);
    }
    cluster.disks[2].wipe();
    cluster.net.healAll();
    cluster.start(1);
    if (formerHolderIsUp) {
      cluster.start(0);
    }
    if (!successorIsLate) {
      cluster.start(3);
    }
    cluster.timers.advance(20);
    cluster.start(2);
    cluster.replicas[2].learn(cluster.initialVoters);
    if (successorIsLate) {
      cluster.timers.advance(LATE_MS);
      cluster.start(3);
    }
  }

  /**
   * Makes the wiped replica's calls to the replicas 0, 1 and 3 fast or slow.
   *
   * @param slowResponders bit i is set if the i-th of these replicas is slow
   */
  private void delayResponses(int slowResponders) {
    int[] others = {0, 1, 3};
    for (int i = 0; i < others.length; i++) {
      long ms = (slowResponders >> i & 1) == 1 ? 30 : 1;
      cluster.net.delay(SimCluster.ADDRESSES[2], SimCluster.ADDRESSES[others[i]], ms, ms);
      cluster.net.delay(SimCluster.ADDRESSES[others[i]], SimCluster.ADDRESSES[2], ms, ms);
    }
  }

  @Test
  void wipedReplicaThatHeldTwoSlotsRejoinsItsLastSlot() {
    int scenarios = 0;
    for (int slowResponders = 0; slowResponders < 8; slowResponders++) {
      for (int startOrder = 0; startOrder < 4; startOrder++) {
        scenario = "slow responders " + slowResponders + ", start order " + startOrder;
        clusterWithMovedSlots();
        delayResponses(slowResponders);
        restartAllWithOneWiped((startOrder & 1) == 1, (startOrder & 2) == 2);
        cluster.awaitVoting(2, MAX_JOIN_MS);
        assertThat(scenario, cluster.replicas[2].isVoting(), is(true));
        assertThat(scenario, cluster.replicas[3].isVoting(), is(true));
        assertThat(
            scenario,
            cluster.replicas[2].voterSet().voters.get(0).address,
            is(SimCluster.ADDRESSES[2]));
        cluster.kill(1);
        assertThat(scenario, cluster.read(5_000), is("new"));
        assertThat(scenario, cluster.net.handlerFaults(), empty());
        scenarios++;
      }
    }
    System.out.println("join of a former slot: " + scenarios + " orders, none failed");
  }

  /** Another replica keeps the slot: the others continue to vote, and this one joins as a spare. */
  @Test
  void wipedReplicaWhoseSlotWasTakenYieldsAndJoinsAsASpare() {
    for (int slowResponders = 0; slowResponders < 8; slowResponders++) {
      for (int startOrder = 0; startOrder < 2; startOrder++) {
        scenario = "slow responders " + slowResponders + ", start order " + startOrder;
        cluster = new SimCluster().bootstrapped();
        cluster.put("old");
        cluster.net.isolate(SimCluster.ADDRESSES[2]);
        cluster.replicas[3].learn(cluster.initialVoters);
        cluster.replicas[3].join(2, 2);
        cluster.awaitVoting(3, 5_000);
        cluster.put("new");
        delayResponses(slowResponders);
        for (int i = 0; i < SimCluster.ADDRESSES.length; i++) {
          cluster.kill(i);
        }
        cluster.disks[2].wipe();
        cluster.net.healAll();
        cluster.start(1);
        cluster.start(2);
        cluster.replicas[2].learn(cluster.initialVoters);
        cluster.timers.advance(startOrder == 0 ? 0 : LATE_MS);
        cluster.start(3);
        cluster.timers.advance(6_000);
        assertThat(
            scenario, cluster.replicas[1].isVoting() && cluster.replicas[3].isVoting(), is(true));
        assertThat(scenario, cluster.read(5_000), is("new"));
        cluster.replicas[2].join(0, 2);
        cluster.awaitVoting(2, 5_000);
        assertThat(scenario, cluster.replicas[2].isVoting(), is(true));
        cluster.kill(1);
        assertThat(scenario, cluster.read(5_000), is("new"));
      }
    }
  }

  /**
   * All combinations of these: the spare's claim of slot 2 is known at voter 0, at voter 1, or at
   * no voter; one of the three voters loses its disk, or none; the spare continues, or stays down
   * if the set tolerates that; each order of the responses to the wiped replica.
   */
  @Test
  void setRecoversFromUnfinishedTakeOverAndOneDiskLossInAllOrders() {
    int scenarios = 0;
    for (int voterKnowingClaim = 0; voterKnowingClaim < 3; voterKnowingClaim++) {
      for (int wipedReplica = 0; wipedReplica < 4; wipedReplica++) {
        for (int spareGone = 0; spareGone < 2; spareGone++) {
          boolean tolerated = spareGone == 0 || wipedReplica >= 2 || voterKnowingClaim == 2;
          for (int slowResponders = 0; slowResponders < 8 && tolerated; slowResponders++) {
            scenario =
                voterKnowingClaim
                    + " knows the claim, "
                    + wipedReplica
                    + " wiped, spare gone "
                    + spareGone
                    + ", slow "
                    + slowResponders;
            runUnfinishedTakeOver(voterKnowingClaim, wipedReplica, spareGone == 1, slowResponders);
            scenarios++;
          }
        }
      }
    }
    System.out.println("one unfinished take-over and one loss: " + scenarios + " orders");
  }

  private void runUnfinishedTakeOver(
      int voterKnowingClaim, int wipedReplica, boolean spareGone, int slowResponders) {
    cluster = new SimCluster().bootstrapped();
    cluster.put("new");
    for (int i = 0; i < 2; i++) {
      if (i != voterKnowingClaim) {
        cluster.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[i]);
      }
    }
    cluster.replicas[3].learn(cluster.initialVoters);
    cluster.replicas[3].join(2, 2);
    cluster.timers.advance(1_500);
    assertThat(scenario, cluster.replicas[3].isVoting(), is(false));
    if (spareGone) {
      cluster.kill(3);
    }
    if (wipedReplica < 3) {
      for (int i = 0; i < 4; i++) {
        if (i != wipedReplica) {
          long ms = (slowResponders >> Math.min(i, 2) & 1) == 1 ? 30 : 1;
          cluster.net.delay(SimCluster.ADDRESSES[wipedReplica], SimCluster.ADDRESSES[i], ms, ms);
          cluster.net.delay(SimCluster.ADDRESSES[i], SimCluster.ADDRESSES[wipedReplica], ms, ms);
        }
      }
      cluster.kill(wipedReplica);
      cluster.disks[wipedReplica].wipe();
      cluster.start(wipedReplica);
      cluster.replicas[wipedReplica].learn(cluster.initialVoters);
    }
    cluster.net.healAll();
    long end = cluster.timers.now() + MAX_JOIN_MS;
    int minVotingSlots = spareGone && wipedReplica == 3 ? 2 : 3;
    while (countVotingSlots() < minVotingSlots
        && cluster.timers.now() < end
        && cluster.timers.runNext()) {
      continue;
    }
    assertThat(scenario, countVotingSlots() >= minVotingSlots, is(true));
    assertThat(scenario, cluster.read(5_000), is("new"));
    assertThat(scenario, cluster.net.handlerFaults(), empty());
  }

  /** The number of slots of the newest voter set whose voters vote. */
  private int countVotingSlots() {
    VoterSet newest = cluster.initialVoters;
    for (int i = 0; i < SimCluster.ADDRESSES.length; i++) {
      if (cluster.net.nodeAt(SimCluster.ADDRESSES[i]) != null) {
        newest = VoterSets.merge(newest, cluster.replicas[i].voterSet());
      }
    }
    int voting = 0;
    for (int i = 0; i < SimCluster.ADDRESSES.length; i++) {
      int slot = VoterSets.slotOfInstance(newest, cluster.disks[i].instanceId());
      if (slot >= 0
          && cluster.net.nodeAt(SimCluster.ADDRESSES[i]) != null
          && cluster.replicas[i].isVoting()) {
        voting++;
      }
    }
    return voting;
  }
}
