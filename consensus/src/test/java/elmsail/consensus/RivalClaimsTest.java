package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import org.junit.jupiter.api.Test;

/**
 * Two claims of one slot under one epoch: a process that knew the losing claim first must learn the
 * winning one, else it would keep the wrong voter until the next epoch.
 */
class RivalClaimsTest {
  private static Voter voter(String host, long instanceId, int epoch) {
    Voter voter = new Voter();
    voter.address = host + ":7720";
    voter.machine = host;
    voter.instanceId = instanceId;
    voter.epoch = epoch;
    return voter;
  }

  private static VoterSet set(Voter second) {
    VoterSet set = new VoterSet();
    set.voters.add(voter("a", 1, 1));
    set.voters.add(second);
    set.voters.add(voter("c", 3, 1));
    return set;
  }

  private static ReplicaMembership membership(Voter self, VoterSet known, int caughtUp) {
    return new ReplicaMembership(self.address, self.machine, self.instanceId, known, caughtUp);
  }

  @Test
  void claimantThatVotesSupersedesTheOther() {
    Voter winner = voter("b", 22, 2);
    Voter loser = voter("d", 4, 2);
    ReplicaMembership winning = membership(winner, set(winner), 0);
    assertThat(VoterSets.merge(set(loser), winning.voterSet()).voters.get(1).instanceId, is(4L));
    winning.caughtUpEpoch(2);
    VoterSet published = winning.voterSet();
    assertThat(VoterSets.merge(set(loser), published).voters.get(1).instanceId, is(22L));
    assertThat(
        "the confirmed voter is kept",
        VoterSets.merge(published, set(loser)),
        is(sameInstance(published)));
    VoterSet next = set(voter("d", 4, 3));
    assertThat(
        "a higher epoch supersedes the confirmed voter",
        VoterSets.merge(published, next).voters.get(1).epoch,
        is(3));
  }

  /** The voter's epoch is on its disk, so the voter is confirmed after a restart as well. */
  @Test
  void restartedVoterStillSupersedesTheOther() {
    Voter winner = voter("b", 22, 2);
    VoterSet published = membership(winner, set(winner), 2).voterSet();
    assertThat(VoterSets.merge(set(voter("d", 4, 2)), published).voters.get(1).instanceId, is(22L));
  }

  @Test
  void acknowledgerOfTheLoserLearnsTheWinner() {
    Voter winner = voter("b", 22, 2);
    ReplicaMembership acknowledger = membership(voter("c", 3, 1), set(voter("b", 2, 1)), 1);
    JoinRequest losingRequest = new JoinRequest();
    losingRequest.slot = 1;
    losingRequest.voter = voter("d", 4, 2);
    assertThat(
        acknowledger.recordClaim(losingRequest), is(ReplicaMembership.ClaimDecision.ADOPTED));
    assertThat(acknowledger.learn(membership(winner, set(winner), 2).voterSet()), is(true));
    assertThat(acknowledger.voterSet().voters.get(1).instanceId, is(22L));
    assertThat(acknowledger.isVoting(), is(true));
  }

  /** The process of the losing claim gives up the slot. */
  @Test
  void losingClaimantGivesUpItsClaim() {
    Voter winner = voter("b", 22, 2);
    ReplicaMembership losing = membership(voter("d", 4, 2), set(voter("b", 2, 1)), 0);
    losing.claim(1, 2);
    assertThat(losing.ownSlot(), is(1));
    assertThat(losing.learn(membership(winner, set(winner), 2).voterSet()), is(true));
    assertThat(losing.ownSlot(), is(-1));
  }
}
