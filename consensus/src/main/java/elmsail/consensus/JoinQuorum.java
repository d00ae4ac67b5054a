package elmsail.consensus;

import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.List;

/**
 * What the holders answered to one claim, and whom to copy from: N - q + 1 voting ones, or one less
 * and a replaced one whose successor isn't voting; {@link ReplicaJoin} says why that is safe.
 * Without time or network.
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
    if (response.held) {
      acknowledged[slot] = response.voterSet;
    } else {
      noted[slot] =
          response.noted
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
        response.held
            && there.instanceId == holder.previousInstanceId
            && there.epoch == holder.previousEpoch;
    kept[slot] = voting || response.noted && response.replaced && VoterSets.same(there, holder);
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
