package elmsail.gateway.servers;

import elmsail.config.ServerEntry;
import elmsail.gateway.load.PeerLoads;
import elmsail.gateway.load.ServerLoad;

/**
 * Load of one server: this gateway's own open attempts, combined with what the server reports in
 * its responses or, where it reports nothing, with what the other gateways have open there. Owned
 * by the gateway's event loop.
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
   * Starts with nothing open.
   *
   * @param sameZone whether the server is in this gateway's zone
   * @param slotHoldTime shared by all servers of the service
   * @param peerLoads what all gateways have open
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
    ownPendingPrefillTokens += uncachedTokens(attempt);
    notifyLoadChanged();
  }

  /** The first byte of the attempt's response came: its prompt has been read. */
  void onResponseStarted(Attempt attempt) {
    ownPendingPrefillTokens -= uncachedTokens(attempt);
    notifyLoadChanged();
  }

  /** Counts an attempt that ended, with or without a response. */
  void onAttemptEnded(Attempt attempt) {
    openAttempts--;
    openItems -= attempt.request().isBatchItem() ? 1 : 0;
    ownPendingPrefillTokens -= attempt.hasResponse() ? 0 : uncachedTokens(attempt);
    notifyLoadChanged();
  }

  private void notifyLoadChanged() {
    if (!reportsLoad()) {
      onLoadChanged.run();
    }
  }

  private static int uncachedTokens(Attempt attempt) {
    Prompt prompt = attempt.request().prompt();
    return prompt.totalTokens() - prompt.sharedPrefixTokens();
  }

  /**
   * Records the value of a load header, {@code RUNNING,WAITING,SLOTS}; malformed ones are ignored.
   */
  void recordReport(String headerValue, long now) {
    reportedLoad.update(headerValue, openAttempts, now);
  }

  /**
   * Records a complete response.
   *
   * @param holdTimeMs from its first byte to its last
   */
  void recordSlotHoldTime(long holdTimeMs) {
    slotHoldTime.observe(holdTimeMs);
  }

  /** How many of this gateway's open attempts are batch items. */
  int openItems() {
    return openItems;
  }

  /** What this gateway has open there. */
  ServerLoad ownLoad() {
    return new ServerLoad(openAttempts - openItems, openItems, ownPendingPrefillTokens);
  }

  /** Whether the server reports its load; what other gateways have open is not used then. */
  boolean reportsLoad() {
    return reportedLoad.isKnown();
  }

  /** Whether it reported a moment ago that nothing is queued and many slots are free. */
  boolean reportsIdle(long now) {
    return reportedLoad.isIdle(entry.maxConcurrency(), now);
  }

  /** What all known gateways have open there; at least this gateway's own load. */
  ServerLoad sharedLoad() {
    return ownLoad().max(peerLoads.loadOf(entry.id()));
  }

  /** Prompt tokens of open requests without a response, as far as they are known. */
  int pendingPrefillTokens() {
    return reportsLoad() ? ownPendingPrefillTokens : sharedLoad().pendingPrefillTokens();
  }

  /** Estimate of the requests of all gateways that run there. */
  double runningRequests(long now) {
    if (!reportsLoad()) {
      int open = sharedLoad().open();
      return entry.maxConcurrency() > 0 ? Math.min(entry.maxConcurrency(), open) : open;
    }
    return reportedLoad.running(openAttempts, now);
  }

  /** Estimate of the requests of all gateways that are queued there. */
  double queuedRequests(long now) {
    if (!reportsLoad()) {
      return queueLengthForNextRequest(sharedLoad().open());
    }
    return reportedLoad.queued(now);
  }

  /** How many of the open requests one more would wait for. */
  private int queueLengthForNextRequest(int open) {
    boolean full = entry.maxConcurrency() > 0 && open >= entry.maxConcurrency();
    return full ? open - entry.maxConcurrency() + 1 : 0;
  }

  /** Mean time between two slots that become free while the server is full, in ms. */
  double slotReleaseIntervalMs() {
    return reportsLoad()
        ? SlotHoldTime.DEFAULT_RELEASE_INTERVAL_MS
        : slotHoldTime.releaseIntervalMs(entry.maxConcurrency());
  }

  /** How many batch items may be started there now by load alone; see {@link ItemAdmission}. */
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
