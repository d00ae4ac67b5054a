package willowdoor.purge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * A message that is sent repeatedly, with growing intervals, to the members that have not answered
 * it.
 */
final class Retransmission {
  private static final int MAX_GAP_FACTOR = 8;

  final Message message;
  final TreeSet<Integer> recipients;
  private long nextSendAt;
  private long gapMs;
  private int sendsLeft;

  Retransmission(Message message, Collection<Integer> to, long now, Timing timing, int times) {
    this.message = message;
    this.recipients = new TreeSet<>(to);
    nextSendAt = now;
    gapMs = timing.resendMs();
    sendsLeft = times;
  }

  Retransmission(Retransmission other) {
    message = other.message;
    recipients = new TreeSet<>(other.recipients);
    nextSendAt = other.nextSendAt;
    gapMs = other.gapMs;
    sendsLeft = other.sendsLeft;
  }

  /** Whether nothing more is to be sent. */
  boolean isFinished() {
    return sendsLeft == 0 || recipients.isEmpty();
  }

  List<Effect> sendIfDue(long now, Timing timing) {
    List<Effect> effects = new ArrayList<>();
    if (now >= nextSendAt && !isFinished()) {
      for (int member : recipients) {
        effects.add(new Effect.Send(member, message));
      }
      sendsLeft--;
      nextSendAt = now + gapMs;
      gapMs = Math.min(2 * gapMs, MAX_GAP_FACTOR * timing.resendMs());
    }
    return effects;
  }
}
