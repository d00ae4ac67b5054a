package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import elmsail.consensus.Register.Wanted;
import elmsail.rpc.messages.VoterSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A member that comes back without its disk, knows the founding only, and claims a slot that it
 * held once and that another votes in now. In all orders of the answers, with each of the others
 * up, late or down, the set keeps its majority, and gets the member back where it has a slot.
 */
class JoinInVainTest {
  private static final long LATE_MS = 1_500;
  private static final long LONGEST_MS = 20_000;

  private SimSet set;
  private String about;

  private void put(String value) {
    set.await(
        set.client(set.founding)
            .change(
                "key", found -> new Wanted(value.getBytes(), List.of()), List.of(), null, 3_000));
  }

  private String read() {
    return new String(set.await(set.client(set.founding).read("key", null, 5_000)).value());
  }

  /** Slots 0 to 2 are held by 2, 1 and 3; 0 doesn't know that it was replaced. */
  private void movedOnce() {
    set = new SimSet().founded();
    put("old");
    set.net.isolate(SimSet.AT[2]);
    set.replicas[3].learn(set.founding);
    set.replicas[3].join(2, 2);
    set.awaitSeated(3, 5_000);
    set.net.healAll();
    set.replicas[2].learn(set.replicas[1].voterSet());
    set.timers.advance(50);
    set.net.isolate(SimSet.AT[0]);
    set.replicas[2].join(0, 2);
    set.awaitSeated(2, 5_000);
    assertThat(set.replicas[2].voting() && set.replicas[3].voting(), is(true));
    put("new");
  }

  private void allLosePowerAndOneItsDisk(boolean formerIsUp, boolean successorIsLate) {
    for (int i = 0; i < SimSet.AT.length; i++) {
      set.kill(i);
    }
    set.disks[2].wipe();
    set.net.healAll();
    set.start(1);
    if (formerIsUp) {
      set.start(0);
    }
    if (!successorIsLate) {
      set.start(3);
    }
    set.timers.advance(20);
    set.start(2);
    set.replicas[2].learn(set.founding);
    if (successorIsLate) {
      set.timers.advance(LATE_MS);
      set.start(3);
    }
  }

  /** The wiped member's calls to 0, 1 and 3 are fast or slow. */
  private void delays(int slow) {
    int[] others = {0, 1, 3};
    for (int i = 0; i < others.length; i++) {
      long ms = (slow >> i & 1) == 1 ? 30 : 1;
      set.net.delay(SimSet.AT[2], SimSet.AT[others[i]], ms, ms);
      set.net.delay(SimSet.AT[others[i]], SimSet.AT[2], ms, ms);
    }
  }

  @Test
  void oneThatHeldTwoSlotsTakesTheLastOneBack() {
    int played = 0;
    for (int slow = 0; slow < 8; slow++) {
      for (int kind = 0; kind < 4; kind++) {
        about = "slow " + slow + ", kind " + kind;
        movedOnce();
        delays(slow);
        allLosePowerAndOneItsDisk((kind & 1) == 1, (kind & 2) == 2);
        set.awaitSeated(2, LONGEST_MS);
        assertThat(about, set.replicas[2].voting(), is(true));
        assertThat(about, set.replicas[3].voting(), is(true));
        assertThat(about, set.replicas[2].voterSet().voters.get(0).address, is(SimSet.AT[2]));
        set.kill(1);
        assertThat(about, read(), is("new"));
        assertThat(about, set.net.handlerFaults(), empty());
        played++;
      }
    }
    System.out.println("a join of a slot held before: " + played + " orders, none in vain");
  }

  /** Its slot is another's for good: the other two vote on, and it is a spare that can be sent. */
  @Test
  void oneWhoseSlotWasTakenLeavesItAndIsASpare() {
    for (int slow = 0; slow < 8; slow++) {
      for (int kind = 0; kind < 2; kind++) {
        about = "slow " + slow + ", kind " + kind;
        set = new SimSet().founded();
        put("old");
        set.net.isolate(SimSet.AT[2]);
        set.replicas[3].learn(set.founding);
        set.replicas[3].join(2, 2);
        set.awaitSeated(3, 5_000);
        put("new");
        delays(slow);
        for (int i = 0; i < SimSet.AT.length; i++) {
          set.kill(i);
        }
        set.disks[2].wipe();
        set.net.healAll();
        set.start(1);
        set.start(2);
        set.replicas[2].learn(set.founding);
        set.timers.advance(kind == 0 ? 0 : LATE_MS);
        set.start(3);
        set.timers.advance(6_000);
        assertThat(about, set.replicas[1].voting() && set.replicas[3].voting(), is(true));
        assertThat(about, read(), is("new"));
        set.replicas[2].join(0, 2);
        set.awaitSeated(2, 5_000);
        assertThat(about, set.replicas[2].voting(), is(true));
        set.kill(1);
        assertThat(about, read(), is("new"));
      }
    }
  }

  /**
   * All of: a spare's take-over of slot 2 that is known at 0, at 1, or at nobody; then one of the
   * three loses its memory, or none; the spare lives on, or is gone for good where the set bears
   * that; each order of the answers to the wiped member.
   */
  @Test
  void oneUnfinishedTakeOverAndOneLossInAllOrders() {
    int played = 0;
    for (int knows = 0; knows < 3; knows++) {
      for (int wiped = 0; wiped < 4; wiped++) {
        for (int gone = 0; gone < 2; gone++) {
          boolean borne = gone == 0 || wiped >= 2 || knows == 2;
          for (int slow = 0; slow < 8 && borne; slow++) {
            about = knows + " knows, " + wiped + " wiped, gone " + gone + ", slow " + slow;
            unfinished(knows, wiped, gone == 1, slow);
            played++;
          }
        }
      }
    }
    System.out.println("one unfinished take-over and one loss: " + played + " orders");
  }

  private void unfinished(int knows, int wiped, boolean gone, int slow) {
    set = new SimSet().founded();
    put("new");
    for (int i = 0; i < 2; i++) {
      if (i != knows) {
        set.net.cutBoth(SimSet.AT[3], SimSet.AT[i]);
      }
    }
    set.replicas[3].learn(set.founding);
    set.replicas[3].join(2, 2);
    set.timers.advance(1_500);
    assertThat(about, set.replicas[3].voting(), is(false));
    if (gone) {
      set.kill(3);
    }
    if (wiped < 3) {
      for (int i = 0; i < 4; i++) {
        if (i != wiped) {
          long ms = (slow >> Math.min(i, 2) & 1) == 1 ? 30 : 1;
          set.net.delay(SimSet.AT[wiped], SimSet.AT[i], ms, ms);
          set.net.delay(SimSet.AT[i], SimSet.AT[wiped], ms, ms);
        }
      }
      set.kill(wiped);
      set.disks[wiped].wipe();
      set.start(wiped);
      set.replicas[wiped].learn(set.founding);
    }
    set.net.healAll();
    long end = set.timers.now() + LONGEST_MS;
    int least = gone && wiped == 3 ? 2 : 3;
    while (voting() < least && set.timers.now() < end && set.timers.runNext()) {
      continue;
    }
    assertThat(about, voting() >= least, is(true));
    assertThat(about, read(), is("new"));
    assertThat(about, set.net.handlerFaults(), empty());
  }

  /** Slots of the newest voter set whose holders vote. */
  private int voting() {
    VoterSet newest = set.founding;
    for (int i = 0; i < SimSet.AT.length; i++) {
      if (set.net.nodeAt(SimSet.AT[i]) != null) {
        newest = VoterSets.merge(newest, set.replicas[i].voterSet());
      }
    }
    int voting = 0;
    for (int i = 0; i < SimSet.AT.length; i++) {
      int slot = VoterSets.ofInstance(newest, set.disks[i].instanceId());
      if (slot >= 0 && set.net.nodeAt(SimSet.AT[i]) != null && set.replicas[i].voting()) {
        voting++;
      }
    }
    return voting;
  }
}
