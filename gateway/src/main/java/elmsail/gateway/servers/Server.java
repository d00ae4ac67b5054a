package elmsail.gateway.servers;

import elmsail.config.ServerEntry;
import elmsail.gateway.load.PeerLoads;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One listed server under one address: its open attempts and connections, its {@linkplain
 * ServerHealth health} and its {@linkplain ServerLoadTracker load}. A server that returns with
 * another address is a new instance of this class. Owned by the gateway's event loop.
 */
public final class Server {
  private final ServerEntry entry;
  private final PrefixCacheEstimate prefixCache;

  /** Attempts that run or wait for a connection, oldest first. */
  private final Set<Attempt> openAttempts = new LinkedHashSet<>();

  private final ServerHealth health;
  private final ServerLoadTracker load;

  /**
   * Connections without a request, the longest idle first; maintained by the connections
   * themselves.
   */
  final ArrayDeque<ServerConnection> idleConnections = new ArrayDeque<>();

  /**
   * Number of connections that are connecting, in use or idle; maintained by {@link
   * ConnectionPool}.
   */
  int connectionCount;

  private boolean isRemoved;

  /** A server of this gateway's zone that no other gateway sends requests to. */
  Server(ServerEntry entry, long cacheTokens, OutlierDetector outliers) {
    this(entry, true, cacheTokens, outliers, new SlotHoldTime(), PeerLoads.NONE, () -> {});
  }

  /**
   * A server without open attempts or connections.
   *
   * @param sameZone whether the server is in this gateway's zone
   * @param cacheTokens assumed capacity of the server's prefix cache, in prompt tokens
   * @param outliers outlier detection of the server's service
   * @param slotHoldTime slot hold time of the server's service
   * @param peerLoads loads of all gateways
   * @param onLoadChanged runs when this gateway's load at the server has changed
   */
  Server(
      ServerEntry entry,
      boolean sameZone,
      long cacheTokens,
      OutlierDetector outliers,
      SlotHoldTime slotHoldTime,
      PeerLoads peerLoads,
      Runnable onLoadChanged) {
    this.entry = entry;
    prefixCache = new PrefixCacheEstimate(cacheTokens);
    health = new ServerHealth(outliers, openAttempts);
    load = new ServerLoadTracker(entry, sameZone, slotHoldTime, peerLoads, onLoadChanged);
  }

  /** The server's entry in the server list. */
  public ServerEntry entry() {
    return entry;
  }

  /** The server's id in the server list. */
  public String id() {
    return entry.id();
  }

  PrefixCacheEstimate prefixCache() {
    return prefixCache;
  }

  ServerHealth health() {
    return health;
  }

  ServerLoadTracker load() {
    return load;
  }

  /** Whether the server is draining or no longer listed, so that no new request is sent to it. */
  public boolean isRemoved() {
    return isRemoved;
  }

  /** Marks the server as removed; open attempts continue. */
  void markRemoved() {
    isRemoved = true;
    health.stopOutlierDetection();
  }

  /** A copy, so that the attempts may be cancelled during iteration. */
  List<Attempt> openAttempts() {
    return new ArrayList<>(openAttempts);
  }

  /** Number of this gateway's open attempts at the server, including batch items. */
  public int openAttemptCount() {
    return openAttempts.size();
  }

  /**
   * Registers an attempt that starts; returns true if the attempt is the probe of a half-open
   * server.
   */
  boolean onAttemptStarted(Attempt attempt) {
    openAttempts.add(attempt);
    load.onAttemptStarted(attempt);
    return health.tryStartProbe(attempt);
  }

  /** Called when the first byte of the attempt's response is received. */
  void onResponseStarted(Attempt attempt) {
    load.onResponseStarted(attempt);
    health.endProbe(attempt);
  }

  /** Called when the attempt has ended, with or without a response. */
  void onAttemptEnded(Attempt attempt) {
    health.endProbe(attempt);
    if (openAttempts.remove(attempt)) {
      load.onAttemptEnded(attempt);
    }
  }

  /**
   * Records a failed connect or a request without a response in time. Idle connections may be dead
   * as well. They are closed, so that the next request opens a new connection and a failed connect
   * is detected before the request is sent.
   */
  void recordFailure(long now) {
    health.recordFailure(now);
    for (ServerConnection connection : new ArrayList<>(idleConnections)) {
      connection.close();
    }
  }

  /**
   * Records a connection that broke during a request; several consecutive ones count as a failure.
   */
  void recordBrokenResponse(long now) {
    if (health.recordBrokenResponse()) {
      recordFailure(now);
    }
  }

  /**
   * Whether the server has sent nothing for so long that responses to open requests are unlikely.
   */
  public boolean isUnresponsive(long now) {
    return health.isUnresponsive(now);
  }

  /** Whether the server recently reported that nothing is queued and many slots are free. */
  public boolean reportsIdle(long now) {
    return load.reportsIdle(now);
  }

  /** How many batch items may be started at the server now; 0 while it is unhealthy. */
  public int availableItemCapacity(long now) {
    if (isRemoved
        || health.hasReturnedMisdirected()
        || health.isSuspect(now)
        || health.mustBeAvoided(true, now)) {
      return 0;
    }
    int capacity = load.availableItemCapacity(now);
    return health.isEjected() ? Math.min(1, capacity) : capacity; // one probe at a time
  }
}
