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
     * @param places how many items the servers may be given now
     */
    static Stall of(boolean confirmed, int places) {
      if (!confirmed) {
        return UNCONFIRMED;
      }
      return places <= 0 ? NO_ROOM : MEMORY;
    }
  }

  private static final long NEVER = -1;

  private final long acceptedAt;
  private final long adoptedAt;
  private final Map<Stall, Integer> stalls = new EnumMap<>(Stall.class);
  private final Map<ItemServers.Ended, Integer> ends = new EnumMap<>(ItemServers.Ended.class);
  private long bodyAt = NEVER;
  private long firstSentAt = NEVER;
  private long lastSentAt = NEVER;
  private long firstEventAt = NEVER;
  private long lastEndAt = NEVER;
  private long longestRunMs;
  private int sent;
  private int cut;

  /**
   * @param acceptedAt when the job was accepted, or later
   * @param adoptedAt when this gateway began to run it
   */
  JobTimeline(long acceptedAt, long adoptedAt) {
    this.acceptedAt = acceptedAt;
    this.adoptedAt = adoptedAt;
  }

  void bodyReady(long now) {
    bodyAt = bodyAt == NEVER ? now : bodyAt;
  }

  void stalled(Stall why) {
    stalls.merge(why, 1, Integer::sum);
  }

  void sent(long now) {
    firstSentAt = firstSentAt == NEVER ? now : firstSentAt;
    lastSentAt = now;
    sent++;
  }

  void event(long now) {
    firstEventAt = firstEventAt == NEVER ? now : firstEventAt;
  }

  /** A run ended by itself that began at {@code sentAt}. */
  void ended(ItemServers.Ended how, long sentAt, long now) {
    ends.merge(how, 1, Integer::sum);
    longestRunMs = Math.max(longestRunMs, now - sentAt);
    lastEndAt = now;
  }

  /** A run was ended by this gateway. */
  void cut() {
    cut++;
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
        + sent
        + " cut="
        + cut
        + " ends="
        + ends
        + " stalls="
        + stalls;
  }

  private String since(long at) {
    return at == NEVER ? "never" : Long.toString(at - acceptedAt);
  }
}
