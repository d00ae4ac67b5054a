package elmsail.consensus;

import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.List;

/**
 * What the holders answered to one claim, and whom to copy from: N - q + 1 voting ones, or one less
 * and a replaced one whose successor isn't voting. Without time or network.
 *
 * <p>A voter slot whose new holder isn't voting yet would otherwise be in the way of a second
 * newcomer for good, if that one's voter slot was lost too: each would wait for the other. In the
 * place of one voting holder, a claim is therefore also acknowledged by one such voter slot's two
 * instances together: its new holder S, and the one R that was voting there right before; and R is
 * copied from. Why that is as good, let k be the epoch of R and k + 1 that of S:
 *
 * <ul>
 *   <li>S answers that it isn't voting, and has the claim on its disk: S has cast no vote in this
 *       voter slot, and will cast none under a voter set without the claim.
 *   <li>R answers that it was voting under k, is voting no more (or is, and acknowledges as such),
 *       and has the claim on its disk. It voted only under k, votes under no voter set that has S,
 *       and its records are all that those votes made: they are dropped only behind its own claim
 *       of a voter slot, which is on its disk first and ends what it answers here; and it claims
 *       another voter slot only once S told that it votes. If R doesn't know of S yet, its later
 *       votes are under voter sets with this claim, so they needn't be copied; the copying makes it
 *       learn of S.
 *   <li>Nobody else voted in the voter slot, nor will: there is no epoch between k and k + 1; of
 *       two instances that claim k only one can be voting, and R was. A rival of S in k + 1, or
 *       whoever claims a later one, that was voting or will be without knowing this claim had
 *       acknowledgements from N - q + 1 voter slots. So did this claim: N - q of these are voting
 *       holders in the N - 2 voter slots besides both, where the other has N - q at least, and 2 (N
 *       - q) is more than N - 2. One of them thus knew both; it told this newcomer only of S, which
 *       it knew to hold the voter slot, and never goes back: so it can't have known the rival
 *       first, and acknowledges none later but telling this claim along with it.
 *   <li>Only the one that was counted so is copied from though it is replaced. Any other source
 *       must be voting under what this newcomer learnt from all answers: one that acknowledged
 *       without knowing of its successor, which votes, doesn't count.
 *   <li>For that overlap only one voter slot may be acknowledged so, and all who are voting must
 *       have told of just S.
 *   <li>What S copies later from this newcomer has all that was decided, as from any that is
 *       voting.
 * </ul>
 *
 * If S is gone for good, this doesn't help: that it didn't vote is known to it alone.
 */
final class JoinQuorum {
  private final VoterSet asked;
  private final int need;

  /** As told by voting ones that hold the claim. */
  private final VoterSet[] acknowledged;

  /** Voter slots whose holder isn't voting, and has the claim on its disk. */
  private final boolean[] noted;

  /** Voter slots whose replaced holder has the claim on its disk, and its records. */
  private final boolean[] kept;

  private final boolean[] open;
  private final boolean[] openBefore;
  private Voter replaced;

  /**
   * @param asked as known when the claim is sent
   */
  JoinQuorum(VoterSet asked, int slot, long ownInstanceId) {
    this.asked = asked;
    int voters = asked.voters.size();
    need = VoterSets.blocking(voters);
    acknowledged = new VoterSet[voters];
    noted = new boolean[voters];
    kept = new boolean[voters];
    open = new boolean[voters];
    openBefore = new boolean[voters];
    for (int i = 0; i < voters; i++) {
      Voter one = asked.voters.get(i);
      open[i] = i != slot && VoterSets.counts(asked, i);
      openBefore[i] =
          open[i]
              && one.previousInstanceId != 0
              && one.previousInstanceId != ownInstanceId
              && !one.previousAddress.equals(one.address);
    }
  }

  /** Whether the voter slot's holder is to be asked, and hasn't answered. */
  boolean asks(int slot) {
    return open[slot];
  }

  /** Whether the one before the voter slot's holder is to be asked, and hasn't answered. */
  boolean asksBefore(int slot) {
    return openBefore[slot];
  }

  /**
   * @param response by the voter slot's holder; null: it didn't answer
   */
  void response(int slot, JoinResponse response) {
    open[slot] = false;
    if (response == null || response.voterSet.voters.size() != asked.voters.size()) {
      return;
    }
    Voter there = response.voterSet.voters.get(slot);
    if (response.accepted) {
      acknowledged[slot] = response.voterSet;
    } else {
      noted[slot] =
          response.recorded
              && response.instanceId == there.instanceId
              && VoterSets.same(there, asked.voters.get(slot));
    }
  }

  /**
   * @param response by the one before; null: it didn't answer
   */
  void toldBefore(int slot, JoinResponse response) {
    openBefore[slot] = false;
    Voter holder = asked.voters.get(slot);
    if (response == null
        || response.voterSet.voters.size() != asked.voters.size()
        || response.instanceId != holder.previousInstanceId) {
      return;
    }
    Voter there = response.voterSet.voters.get(slot);
    boolean voting =
        response.accepted
            && there.instanceId == holder.previousInstanceId
            && there.epoch == holder.previousEpoch;
    kept[slot] = voting || response.recorded && response.replaced && VoterSets.same(there, holder);
  }

  /** Null as long as too few acknowledged. */
  List<Voter> sources() {
    List<Voter> sources = new ArrayList<>();
    for (int i = 0; i < acknowledged.length; i++) {
      if (acknowledged[i] != null) {
        sources.add(acknowledged[i].voters.get(i));
      }
    }
    for (int i = 0; i < acknowledged.length && sources.size() == need - 1; i++) {
      if (noted[i] && kept[i] && agreed(i)) {
        Voter holder = asked.voters.get(i);
        Voter before = new Voter();
        before.address = holder.previousAddress;
        before.instanceId = holder.previousInstanceId;
        before.epoch = holder.previousEpoch;
        sources.add(before);
        replaced = before;
      }
    }
    return sources.size() >= need ? sources : null;
  }

  /**
   * Which of the {@link #sources()} is a replaced holder, or null; the others must be voting still.
   */
  Voter replaced() {
    return replaced;
  }

  /** Whether the answers that are still open can't be enough. */
  boolean hopeless() {
    int possible = 0;
    boolean pair = false;
    boolean anyOpen = false;
    for (int i = 0; i < open.length; i++) {
      anyOpen |= open[i] || openBefore[i];
      if (open[i] || acknowledged[i] != null) {
        possible++;
      } else if (noted[i] && (openBefore[i] || kept[i])) {
        pair = true;
      }
    }
    return !anyOpen || possible + (pair ? 1 : 0) < need;
  }

  /** Whether all who acknowledged know just that claim of the voter slot. */
  private boolean agreed(int slot) {
    for (VoterSet known : acknowledged) {
      if (known != null && !VoterSets.same(known.voters.get(slot), asked.voters.get(slot))) {
        return false;
      }
    }
    return true;
  }
}
