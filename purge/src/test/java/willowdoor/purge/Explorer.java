package willowdoor.purge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Visits all states of a {@link FleetModel} that can be reached with a number of actions, in
 * breadth-first order.
 */
final class Explorer {
  /**
   * By state number: the number of the expanded state from which it was reached. The trace follows
   * these numbers back.
   */
  private int[] parents = new int[1 << 16];

  private int[] actions = new int[1 << 16];
  private final LongMap seen = new LongMap();
  private final FleetModel model;
  private List<int[]> level = new ArrayList<>();
  private List<int[]> nextLevel = new ArrayList<>();
  private int expandedState;
  private boolean last;
  private int brokenAt = -1;
  private int depth;

  /**
   * All states up to {@code depth} were visited; {@code exhausted}: there are no further states.
   */
  record Report(
      int states,
      int depth,
      boolean exhausted,
      int parts,
      long completes,
      long lateWrites,
      String broken,
      List<String> trace) {}

  Explorer(FleetModel model, List<String> script) {
    this.model = model;
    int[] state = model.start();
    for (String prefix : script) {
      int[][] found = new int[1][];
      model.next(
          state,
          (after, action) -> {
            if (found[0] == null && model.describe(action).startsWith(prefix)) {
              found[0] = after;
            }
          });
      if (found[0] == null) {
        throw new IllegalArgumentException(
            "no action that starts with \"" + prefix + "\" is possible in this state");
      }
      state = found[0];
    }
    visit(state, 0);
    level = nextLevel;
  }

  /** Explores up to a depth, or up to the last level that is complete within a number of states. */
  Report run(int maxDepth, int maxStates) {
    int next = 0;
    while (depth < maxDepth && !level.isEmpty() && brokenAt < 0) {
      depth++;
      last = depth == maxDepth;
      nextLevel = new ArrayList<>();
      for (int i = 0; i < level.size() && brokenAt < 0; i++) {
        expandedState = next++;
        model.next(level.get(i), this::visit);
        level.set(i, null);
        if (seen.size() > maxStates) {
          return report(depth - 1, false);
        }
      }
      level = nextLevel;
    }
    return report(depth, !last && level.isEmpty());
  }

  private Report report(int whole, boolean exhausted) {
    return new Report(
        seen.size(),
        whole,
        exhausted,
        model.parts.size(),
        model.completes,
        model.lateWrites,
        model.broken,
        trace());
  }

  private void visit(int[] state, int action) {
    int number = seen.size();
    if (brokenAt >= 0 || !seen.add(model.print(state), number) && model.broken == null) {
      return;
    }
    if (number == actions.length) {
      parents = Arrays.copyOf(parents, 2 * number);
      actions = Arrays.copyOf(actions, 2 * number);
    }
    parents[number] = expandedState;
    actions[number] = action;
    if (model.broken != null) {
      brokenAt = number;
    }
    if (!last) {
      nextLevel.add(state);
    }
  }

  private List<String> trace() {
    ArrayDeque<String> words = new ArrayDeque<>();
    for (int i = brokenAt; i > 0; i = parents[i]) {
      words.addFirst(model.describe(actions[i]));
    }
    return List.copyOf(words);
  }
}
