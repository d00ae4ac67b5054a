package willowdoor.notices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Model check of the real {@link Assignment}: runs every interleaving, to a stated depth, of the
 * actions of three members and a reader while the view changes. Each member gets a new view at any
 * time, and one or two members may be cut off. Orders are decided, sent later, followed late or
 * twice; time passes.
 */
class AssignmentModelTest {
  private static final int DEPTH = 9;
  private static final Limits LIMITS = Limits.standard();
  private static final FleetView ALL = view(1, false, 0, 1, 2);

  /**
   * Later view of each member: either member 2 is cut off, or members 1 and 2 are cut off while
   * member 0 remains in the majority with members that are not modeled.
   */
  private static final FleetView[][] LATER = {
    {view(2, false, 0, 1), view(2, false, 0, 1), view(2, true, 2)},
    {view(2, false, 0), view(2, true, 1, 2), view(2, true, 1, 2)}
  };

  private static final long KEY = 99;

  /**
   * A customer whose slow readers are moved to member 2, but to member 1 if only members 0 and 1
   * are left.
   */
  private static final long CUSTOMER =
      LongStream.range(1, 1_000)
          .filter(
              c ->
                  target(ALL, c) == 2 && target(LATER[0][0], c) == 1 && target(LATER[1][1], c) == 2)
          .findFirst()
          .orElseThrow();

  private static int target(FleetView view, long customer) {
    return new SlowReaderPlacement(view.members()).memberFor(customer, PaceClass.SLOW);
  }

  private static FleetView view(long epoch, boolean cutOff, int... members) {
    long digest = epoch * 1_000 + Arrays.hashCode(members);
    return new FleetView(
        epoch,
        digest,
        cutOff,
        Arrays.stream(members).mapToObj(i -> new FleetView.Member(i, 1, "d" + i)).toList());
  }

  /** One state, reached by a sequence of actions from the start. */
  private static final class ModelState {
    final Assignment[] member = new Assignment[3];
    final FleetView[] later;
    final FleetView[] view = {ALL, ALL, ALL};
    final long[] changedMs = new long[3];
    long nowMs = LIMITS.settleMs();

    /** Member to which the reader is connected, or -1 while it moves. */
    int at;

    long count;
    boolean movedHere;
    MoveOrder pending;

    /**
     * Move orders that the reader has received, newest last. It may follow any of them, also an old
     * one again.
     */
    final List<MoveOrder> received = new ArrayList<>();

    final List<Long> accepted = new ArrayList<>();
    String violation;

    ModelState(IntFunction<Assignment> factory, FleetView[] later) {
      this.later = later;
      for (int i = 0; i < 3; i++) {
        member[i] = factory.apply(i);
        member[i].view(ALL, 0);
      }
    }

    /**
     * Executes an action.
     *
     * @return whether the action was possible
     */
    boolean execute(int action) {
      if (action < 3) {
        if (view[action] != ALL) {
          return false;
        }
        view[action] = later[action];
        changedMs[action] = nowMs;
        member[action].view(view[action], nowMs);
        return true;
      }
      switch (action) {
        case 3:
          nowMs += LIMITS.settleMs() / 2;
          return nowMs < 4 * LIMITS.settleMs();
        case 4:
          return decide();
        case 5:
          return send();
        case 6:
          return follow(received.size() - 1);
        case 7:
          return follow(0);
        default:
          return connect(action - 8);
      }
    }

    private boolean decide() {
      if (at < 0 || pending != null || movedHere) {
        return false;
      }
      long rested = LIMITS.moveIntervalMs() * 16;
      pending = member[at].decide(KEY, CUSTOMER, PaceClass.SLOW, false, 0, count, rested, nowMs);
      return pending != null;
    }

    private boolean send() {
      if (pending == null) {
        return false;
      }
      MoveOrder order = pending;
      pending = null;
      if (member[at].tryIssue(order, nowMs)) {
        check("sends", at, order);
        received.add(order);
        at = -1;
      }
      return true;
    }

    /**
     * The reader follows an order, possibly late, or again although it has connected elsewhere
     * since.
     */
    private boolean follow(int which) {
      if (which < 0 || which >= received.size() || received.size() > 3) {
        return false;
      }
      MoveOrder order = received.get(which);
      boolean taken = member[order.target()].accept(order, nowMs);
      if (taken) {
        check("accepts", order.target(), order);
        if (accepted.contains(order.target() * 100L + order.count())) {
          violation = "member " + order.target() + " accepts order " + order.count() + " twice";
        }
        accepted.add(order.target() * 100L + order.count());
      }
      at = order.target();
      count = order.count();
      movedHere = taken;
      pending = null;
      return true;
    }

    /** The reader connects without an order, as after a broken connection. */
    private boolean connect(int to) {
      at = to;
      count = 0;
      movedHere = false;
      pending = null;
      return true;
    }

    private void check(String what, int by, MoveOrder order) {
      String who = "member " + by + " " + what + " an order of view " + order.epoch();
      if (view[by].cutOff()) {
        violation = who + ", and is cut off";
      } else if (order.epoch() != view[by].epoch() || order.digest() != view[by].digest()) {
        violation = who + ", and is in view " + view[by].epoch();
      } else if (view[by] != ALL && nowMs - changedMs[by] < LIMITS.settleMs()) {
        violation = who + ", which is not settled";
      }
    }

    String state() {
      StringBuilder received = new StringBuilder();
      this.received.forEach(
          order -> received.append(order.epoch()).append(order.count()).append(order.target()));
      return nowMs
          + ","
          + at
          + count
          + movedHere
          + (pending == null ? "" : pending.epoch())
          + received
          + accepted
          + Arrays.stream(view).map(FleetView::digest).toList()
          + Arrays.toString(changedMs);
    }
  }

  private record SearchResult(int states, List<Integer> trace, String violation) {}

  private static SearchResult search(IntFunction<Assignment> factory) {
    SearchResult first = search(factory, LATER[0]);
    SearchResult second = first.violation() != null ? first : search(factory, LATER[1]);
    return new SearchResult(first.states() + second.states(), second.trace(), second.violation());
  }

  private static SearchResult search(IntFunction<Assignment> factory, FleetView[] later) {
    Set<String> known = new HashSet<>();
    ArrayDeque<List<Integer>> open = new ArrayDeque<>();
    open.add(List.of());
    while (!open.isEmpty()) {
      List<Integer> path = open.remove();
      for (int action = 0; action < 11; action++) {
        ModelState world = new ModelState(factory, later);
        path.forEach(world::execute);
        if (!world.execute(action)) {
          continue;
        }
        List<Integer> longer = new ArrayList<>(path);
        longer.add(action);
        if (world.violation != null) {
          return new SearchResult(known.size(), longer, world.violation);
        }
        if (known.add(world.state()) && longer.size() < DEPTH) {
          open.add(longer);
        }
      }
    }
    return new SearchResult(known.size(), List.of(), null);
  }

  @Test
  void noOrderIsExecutedOutsideItsView() {
    SearchResult result = search(i -> new Assignment(i, LIMITS));
    System.out.println(
        "assignments: " + result.states() + " states, every interleaving to depth " + DEPTH);
    assertEquals(null, result.violation(), () -> "by " + result.trace());
    assertTrue(result.states() > 1_000, "states " + result.states());
  }

  @Test
  void detectsAnIgnoredViewNumber() {
    assertDetected(
        search(
            i ->
                new Assignment(i, LIMITS) {
                  @Override
                  boolean matchesView(MoveOrder order) {
                    return true;
                  }
                }));
  }

  @Test
  void detectsMovesByACutOffMember() {
    assertDetected(
        search(
            i ->
                new Assignment(i, LIMITS) {
                  @Override
                  boolean mayMoveReaders() {
                    return true;
                  }
                }));
  }

  @Test
  void detectsAnOrderAcceptedTwice() {
    assertDetected(
        search(
            i ->
                new Assignment(i, LIMITS) {
                  @Override
                  boolean isNewest(MoveOrder order) {
                    return true;
                  }
                }));
  }

  @Test
  void detectsMovesInAnUnsettledView() {
    assertDetected(
        search(
            i ->
                new Assignment(i, LIMITS) {
                  @Override
                  boolean isSettled(long nowMs) {
                    return mayMoveReaders();
                  }
                }));
  }

  private static void assertDetected(SearchResult result) {
    System.out.println("found: " + result.violation() + ", by " + result.trace());
    assertNotNull(result.violation());
    assertTrue(result.trace().size() <= DEPTH);
  }
}
