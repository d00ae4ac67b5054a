package elmsail.batch.run;

import elmsail.batch.ItemServers;
import java.util.EnumMap;
import java.util.Map;

/**
 * Records when a job reached each stage of its execution at this gateway, how the runs of its items
 * ended and why items were not started. Times are in ms of the steady clock, and are printed
 * relative to the job's acceptance. Confined to the gateway's event loop.
 */
final class JobTimeline {
  /**
   * Why ready items were not started in a dispatch. Operators read the log text, which must not
   * change when a constant is renamed.
   */
  enum Stall {
    /** The body of the job is not loaded yet. */
    BODY_NOT_LOADED("BODY"),
    /** No majority of the stores has confirmed the lease recently. */
    LEASE_UNCONFIRMED("UNCONFIRMED"),
    /** No server has capacity for a batch item. */
    NO_CAPACITY("NO_ROOM"),
    /** Unrecorded results take too much memory. */
    MEMORY_FULL("MEMORY");

    private final String logText;

    Stall(String logText) {
      this.logText = logText;
    }

    /** The text of this reason in log lines. */
    @Override
    public String toString() {
      return logText;
    }

    /**
     * Returns the reason why an item of a job whose body is loaded was not started.
     *
     * @param leaseConfirmed whether a majority of the stores has confirmed the lease recently
     * @param capacity the number of items of the route that the servers can accept
     */
    static Stall of(boolean leaseConfirmed, int capacity) {
      if (!leaseConfirmed) {
        return LEASE_UNCONFIRMED;
      }
      return capacity <= 0 ? NO_CAPACITY : MEMORY_FULL;
    }
  }

  private static final long NOT_REACHED = -1;

  private final long acceptedAt;
  private final long adoptedAt;
  private final Map<Stall, Integer> stalls = new EnumMap<>(Stall.class);
  private final Map<ItemServers.RunOutcome, Integer> outcomes =
      new EnumMap<>(ItemServers.RunOutcome.class);
  private long bodyAt = NOT_REACHED;
  private long firstSentAt = NOT_REACHED;
  private long lastSentAt = NOT_REACHED;
  private long firstEventAt = NOT_REACHED;
  private long lastEndAt = NOT_REACHED;
  private long longestRunMs;
  private int runsSent;
  private int runsCancelled;

  /**
   * @param acceptedAt an upper bound on the time when the job was accepted
   * @param adoptedAt when this gateway started to run the job
   */
  JobTimeline(long acceptedAt, long adoptedAt) {
    this.acceptedAt = acceptedAt;
    this.adoptedAt = adoptedAt;
  }

  /** The body was loaded; only the first call has an effect. */
  void onBodyLoaded(long now) {
    bodyAt = bodyAt == NOT_REACHED ? now : bodyAt;
  }

  /** Ready items were not started in a dispatch. */
  void onStalled(Stall stall) {
    stalls.merge(stall, 1, Integer::sum);
  }

  /** A run was sent to a server. */
  void onSent(long now) {
    firstSentAt = firstSentAt == NOT_REACHED ? now : firstSentAt;
    lastSentAt = now;
    runsSent++;
  }

  /** An event of a run was received. */
  void onEvent(long now) {
    firstEventAt = firstEventAt == NOT_REACHED ? now : firstEventAt;
  }

  /** A run that was sent at {@code sentAt} ended without being cancelled. */
  void onEnded(ItemServers.RunOutcome outcome, long sentAt, long now) {
    outcomes.merge(outcome, 1, Integer::sum);
    longestRunMs = Math.max(longestRunMs, now - sentAt);
    lastEndAt = now;
  }

  /** This gateway cancelled a run. */
  void onCancelled() {
    runsCancelled++;
  }

  /** The stages reached so far, as {@code key=value} on one line. */
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
    return at == NOT_REACHED ? "never" : Long.toString(at - acceptedAt);
  }
}
