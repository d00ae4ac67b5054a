package elmsail.batch.run;

import elmsail.batch.ItemServers;
import java.util.EnumMap;
import java.util.Map;

/**
 * When one job reached the stages of its running at this gateway, how its items' runs ended and
 * what held their sending up. Times are in ms of the steady clock, printed from the job's
 * acceptance on.
 */
final class JobTimeline {
  /** Why ready items were not sent when the job was looked at. */
  enum Stall {
    /** The job's items are not fetched yet. */
    BODY,
    /** No majority of the stores has confirmed lately that the job is this gateway's. */
    UNCONFIRMED,
    /** No server has a place for a batch item. */
    NO_ROOM,
    /** Too many bytes of unlisted results are held. */
    MEMORY;

    /**
     * Why the items of a job whose body is there are not sent.
     *
     * @param confirmed whether a majority of the stores confirmed lately who runs the job
     * @param capacity how many items the servers may be given now
     */
    static Stall of(boolean confirmed, int capacity) {
      if (!confirmed) {
        return UNCONFIRMED;
      }
      return capacity <= 0 ? NO_ROOM : MEMORY;
    }
  }

  private static final long NOT_YET = -1;

  private final long acceptedAt;
  private final long adoptedAt;
  private final Map<Stall, Integer> stalls = new EnumMap<>(Stall.class);
  private final Map<ItemServers.RunOutcome, Integer> outcomes =
      new EnumMap<>(ItemServers.RunOutcome.class);
  private long bodyAt = NOT_YET;
  private long firstSentAt = NOT_YET;
  private long lastSentAt = NOT_YET;
  private long firstEventAt = NOT_YET;
  private long lastEndAt = NOT_YET;
  private long longestRunMs;
  private int runsSent;
  private int runsCancelled;

  /**
   * @param acceptedAt when the job was accepted, or later
   * @param adoptedAt when this gateway began to run it
   */
  JobTimeline(long acceptedAt, long adoptedAt) {
    this.acceptedAt = acceptedAt;
    this.adoptedAt = adoptedAt;
  }

  void onBodyLoaded(long now) {
    bodyAt = bodyAt == NOT_YET ? now : bodyAt;
  }

  void onStalled(Stall stall) {
    stalls.merge(stall, 1, Integer::sum);
  }

  void onSent(long now) {
    firstSentAt = firstSentAt == NOT_YET ? now : firstSentAt;
    lastSentAt = now;
    runsSent++;
  }

  void onEvent(long now) {
    firstEventAt = firstEventAt == NOT_YET ? now : firstEventAt;
  }

  /** A run ended by itself that began at {@code sentAt}. */
  void onEnded(ItemServers.RunOutcome outcome, long sentAt, long now) {
    outcomes.merge(outcome, 1, Integer::sum);
    longestRunMs = Math.max(longestRunMs, now - sentAt);
    lastEndAt = now;
  }

  /** A run was ended by this gateway. */
  void onCancelled() {
    runsCancelled++;
  }

  /** One line of the stages reached so far. */
  String describe(long now) {
    return "adopted="
        + since(adoptedAt)
        + " body="
        + since(bodyAt)
        + " first-sent="
        + since(firstSentAt)
        + " last-sent="
        + since(lastSentAt)
        + " first-event="
        + since(firstEventAt)
        + " last-end="
        + since(lastEndAt)
        + " now="
        + since(now)
        + " longest-run="
        + longestRunMs
        + " sent="
        + runsSent
        + " cut="
        + runsCancelled
        + " ends="
        + outcomes
        + " stalls="
        + stalls;
  }

  private String since(long at) {
    return at == NOT_YET ? "never" : Long.toString(at - acceptedAt);
  }
}
