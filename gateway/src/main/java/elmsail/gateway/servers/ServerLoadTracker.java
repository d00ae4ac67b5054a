package elmsail.gateway.servers;

import elmsail.config.ServerEntry;
import elmsail.gateway.load.PeerLoads;
import elmsail.gateway.load.ServerLoad;

/**
 * Load of one server: this gateway's own open attempts, combined with the load that the server
 * reports in its responses or, if it reports none, with the open requests of the other gateways at
 * the server. Owned by the gateway's event loop.
 */
final class ServerLoadTracker {
  private final ServerEntry entry;
  private final boolean sameZone;
  private final SlotHoldTime slotHoldTime;
  private final PeerLoads peerLoads;
  private final Runnable onLoadChanged;
  private final ReportedLoad reportedLoad = new ReportedLoad();
  private int openAttempts;
  private int openItems;
  private long lastItemStartedAt = Long.MIN_VALUE / 2;
  private int ownPendingPrefillTokens;

  /**
   * Creates a tracker without open attempts.
   *
   * @param sameZone whether the server is in this gateway's zone
   * @param slotHoldTime shared by all servers of the service
   * @param peerLoads loads of all gateways
   * @param onLoadChanged runs after each change of this gateway's own load at a server that does
   *     not report its load itself
   */
  ServerLoadTracker(
      ServerEntry entry,
      boolean sameZone,
      SlotHoldTime slotHoldTime,
      PeerLoads peerLoads,
      Runnable onLoadChanged) {
    this.entry = entry;
    this.sameZone = sameZone;
    this.slotHoldTime = slotHoldTime;
    this.peerLoads = peerLoads;
    this.onLoadChanged = onLoadChanged;
  }

  /** Counts an attempt that starts. */
  void onAttemptStarted(Attempt attempt) {
    openAttempts++;
    if (attempt.request().isBatchItem()) {
      openItems++;
      lastItemStartedAt = attempt.startedAt();
    }
    ownPendingPrefillTokens += tokensAfterSharedPrefix(attempt);
    notifyLoadChanged();
  }

  /**
   * Called when the first byte of the attempt's response is received: the server has processed the
   * prompt.
   */
  void onResponseStarted(Attempt attempt) {
    ownPendingPrefillTokens -= tokensAfterSharedPrefix(attempt);
    notifyLoadChanged();
  }

  /** Counts an attempt that ended, with or without a response. */
  void onAttemptEnded(Attempt attempt) {
    openAttempts--;
    openItems -= attempt.request().isBatchItem() ? 1 : 0;
    ownPendingPrefillTokens -= attempt.hasResponse() ? 0 : tokensAfterSharedPrefix(attempt);
    notifyLoadChanged();
  }

  private void notifyLoadChanged() {
    if (!reportsLoad()) {
      onLoadChanged.run();
    }
  }

  private static int tokensAfterSharedPrefix(Attempt attempt) {
    Prompt prompt = attempt.request().prompt();
    return prompt.totalTokens() - prompt.sharedPrefixTokens();
  }

  /**
   * Records the value of a load header, {@code RUNNING,WAITING,SLOTS}; a malformed value is
   * ignored.
   */
  void recordReport(String headerValue, long now) {
    reportedLoad.update(headerValue, openAttempts, now);
  }

  /**
   * Records a complete response.
   *
   * @param holdTimeMs time from the first byte of the response to the last
   */
  void recordSlotHoldTime(long holdTimeMs) {
    slotHoldTime.observe(holdTimeMs);
  }

  /** How many of this gateway's open attempts are batch items. */
  int openItems() {
    return openItems;
  }

  /** This gateway's load at the server. */
  ServerLoad ownLoad() {
    return new ServerLoad(openAttempts - openItems, openItems, ownPendingPrefillTokens);
  }

  /** Whether the server reports its load; the loads of other gateways are not used in this case. */
  boolean reportsLoad() {
    return reportedLoad.isKnown();
  }

  /** Whether the server recently reported that nothing is queued and many slots are free. */
  boolean reportsIdle(long now) {
    return reportedLoad.isIdle(entry.maxConcurrency(), now);
  }

  /** The load of all known gateways at the server, at least this gateway's own load. */
  ServerLoad sharedLoad() {
    return ownLoad().max(peerLoads.loadOf(entry.id()));
  }

  /**
   * Prompt tokens of open requests without a response; only this gateway's if the server reports
   * its load.
   */
  int pendingPrefillTokens() {
    return reportsLoad() ? ownPendingPrefillTokens : sharedLoad().pendingPrefillTokens();
  }

  /** Estimate of the running requests of all gateways at the server. */
  double runningRequests(long now) {
    if (!reportsLoad()) {
      int open = sharedLoad().open();
      return entry.maxConcurrency() > 0 ? Math.min(entry.maxConcurrency(), open) : open;
    }
    return reportedLoad.running(openAttempts, now);
  }

  /** Estimate of the queued requests of all gateways at the server. */
  double queuedRequests(long now) {
    if (!reportsLoad()) {
      return queueLengthForNextRequest(sharedLoad().open());
    }
    return reportedLoad.queued(now);
  }

  /** How many of the open requests must end before a new request gets a slot. */
  private int queueLengthForNextRequest(int open) {
    boolean full = entry.maxConcurrency() > 0 && open >= entry.maxConcurrency();
    return full ? open - entry.maxConcurrency() + 1 : 0;
  }

  /** Mean time between two slot releases while the server is full, in ms. */
  double slotReleaseIntervalMs() {
    return reportsLoad()
        ? SlotHoldTime.DEFAULT_RELEASE_INTERVAL_MS
        : slotHoldTime.releaseIntervalMs(entry.maxConcurrency());
  }

  /**
   * How many batch items the load allows to be started at the server now; see {@link
   * ItemAdmission}.
   */
  int availableItemCapacity(long now) {
    return ItemAdmission.availableCapacity(
        new ItemAdmission.ServerState(
            entry.maxConcurrency(),
            runningRequests(now),
            queuedRequests(now),
            openItems,
            now - lastItemStartedAt,
            loadSource(),
            pendingPrefillTokens()));
  }

  private ItemAdmission.LoadSource loadSource() {
    if (reportsLoad()) {
      return ItemAdmission.LoadSource.REPORTED;
    }
    return sameZone ? ItemAdmission.LoadSource.SHARED : ItemAdmission.LoadSource.SHARED_OTHER_ZONE;
  }
}
