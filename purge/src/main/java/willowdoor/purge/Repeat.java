package willowdoor.purge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** A message that is sent again, with growing gaps, to those that have not answered it. */
final class Repeat {
  private static final int MAX_GAP = 8;

  final Message message;
  final TreeSet<Integer> to;
  private long at;
  private long gap;
  private int left;

  Repeat(Message message, Collection<Integer> to, long now, Timing timing, int times) {
    this.message = message;
    this.to = new TreeSet<>(to);
    at = now;
    gap = timing.resendMs();
    left = times;
  }

  Repeat(Repeat other) {
    message = other.message;
    to = new TreeSet<>(other.to);
    at = other.at;
    gap = other.gap;
    left = other.left;
  }

  /** Whether there is nothing more to send. */
  boolean over() {
    return left == 0 || to.isEmpty();
  }

  List<Effect> due(long now, Timing timing) {
    List<Effect> effects = new ArrayList<>();
    if (now >= at && !over()) {
      for (int member : to) {
        effects.add(new Effect.Send(member, message));
      }
      left--;
      at = now + gap;
      gap = Math.min(2 * gap, MAX_GAP * timing.resendMs());
    }
    return effects;
  }
}
