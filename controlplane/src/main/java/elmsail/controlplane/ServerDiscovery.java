package elmsail.controlplane;

import elmsail.config.PlatformClient;
import elmsail.config.ServerEntry;
import elmsail.config.ServerListCodec;
import elmsail.config.watch.WatchServer;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Polls the platform for the list of model servers while this process holds the singleton lease,
 * and publishes the list under the lease's term. Backs off after failures; the backoff is longer if
 * the platform limits the rate. Runs on the event loop.
 */
final class ServerDiscovery {
  private static final long POLL_INTERVAL_MS = 500;
  private static final long MAX_POLL_INTERVAL_MS = 4_000;

  /** The rest of the platform's rate limit is left to gateways that receive no published list. */
  private static final double PLATFORM_RATE_SHARE = 0.5;

  /**
   * Remaining warm-up times are rounded up to this step, so that not every poll yields a new list
   * version.
   */
  private static final long WARM_UP_STEP_MS = 1_000;

  private final PlatformClient platform;
  private final double platformCallsPerSecond;
  private final Timers timers;
  private final WatchServer watchServer;
  private final LongSupplier term;
  private final ControlPlaneCounters counters;
  private long epoch;
  private long version;
  private byte[] lastPublished;
  private long pollIntervalMs = POLL_INTERVAL_MS;

  /**
   * Delay before the first poll, which does not require the lease, so that a cold start does not
   * wait for a lease.
   */
  private static final long INITIAL_POLL_DELAY_MS = 100;

  private static final long TERM_BEFORE_FIRST_LEASE = 0;

  private boolean initialPollSent;
  private boolean closed;

  /**
   * Creates a poller that sends nothing before {@link #start()}.
   *
   * @param platform client of the platform to poll
   * @param platformCallsPerSecond the platform's rate limit for all processes together
   * @param watchServer publishes the list
   * @param term the current term in which this process holds the lease; 0 if it does not hold the
   *     lease
   */
  ServerDiscovery(
      PlatformClient platform,
      double platformCallsPerSecond,
      Timers timers,
      WatchServer watchServer,
      LongSupplier term,
      ControlPlaneCounters counters) {
    this.platform = platform;
    this.platformCallsPerSecond = platformCallsPerSecond;
    this.timers = timers;
    this.watchServer = watchServer;
    this.term = term;
    this.counters = counters;
  }

  void start() {
    timers.schedule(INITIAL_POLL_DELAY_MS, this::pollOnceWithoutLease);
    poll();
  }

  /**
   * Polls once and publishes the list unless a list is already published; any list of the lease
   * holder is newer.
   */
  private void pollOnceWithoutLease() {
    if (closed || initialPollSent || watchServer.hasServers() || term.getAsLong() != 0) {
      return;
    }
    initialPollSent = true;
    platform
        .fetch()
        .whenComplete(
            (servers, failure) -> {
              (failure == null ? counters.serverListReads : counters.serverListFailures).add(1);
              if (failure == null && !closed && !watchServer.hasServers()) {
                watchServer.setServers(
                    TERM_BEFORE_FIRST_LEASE,
                    1,
                    ServerListCodec.encode(roundWarmUpTimes(servers)),
                    platform.fetchedAtMs());
              }
            });
  }

  private void poll() {
    if (closed) {
      return;
    }
    long pollTerm = term.getAsLong();
    if (pollTerm == 0) {
      pollIntervalMs = POLL_INTERVAL_MS;
      timers.schedule(POLL_INTERVAL_MS / 5, this::poll);
      return;
    }
    platform.fetch().whenComplete((servers, failure) -> onPolled(pollTerm, servers, failure));
  }

  private void onPolled(long pollTerm, List<ServerEntry> servers, Throwable failure) {
    (failure == null ? counters.serverListReads : counters.serverListFailures).add(1);
    if (failure == null) {
      pollIntervalMs = POLL_INTERVAL_MS;
      publish(pollTerm, servers);
    } else {
      pollIntervalMs = Math.min(MAX_POLL_INTERVAL_MS, increasedInterval(failure));
    }
    timers.schedule(Math.max(pollIntervalMs, minIntervalMs()), this::poll);
  }

  private long increasedInterval(Throwable failure) {
    boolean isRateLimited = ElmsailException.codeOf(failure) == ErrorCode.RESOURCE_EXHAUSTED;
    return isRateLimited ? pollIntervalMs * 2 : Math.max(POLL_INTERVAL_MS, pollIntervalMs * 3 / 2);
  }

  /** The shortest poll interval that keeps to this node's rate limit, given one call per page. */
  private long minIntervalMs() {
    if (platformCallsPerSecond <= 0) {
      return MAX_POLL_INTERVAL_MS;
    }
    return (long)
        (platform.lastPageCount() * 1_000 / (platformCallsPerSecond * PLATFORM_RATE_SHARE));
  }

  private void publish(long pollTerm, List<ServerEntry> servers) {
    if (closed || term.getAsLong() != pollTerm) {
      return;
    }
    byte[] bytes = ServerListCodec.encode(roundWarmUpTimes(servers));
    if (pollTerm != epoch) {
      epoch = pollTerm;
      version = 1;
    } else if (!Arrays.equals(bytes, lastPublished)) {
      version++;
    }
    lastPublished = bytes;
    watchServer.setServers(epoch, version, bytes, platform.fetchedAtMs());
  }

  private static List<ServerEntry> roundWarmUpTimes(List<ServerEntry> servers) {
    List<ServerEntry> rounded = new ArrayList<>(servers.size());
    for (ServerEntry server : servers) {
      long warmUpLeftMs =
          (server.warmUpRemainingMs() + WARM_UP_STEP_MS - 1) / WARM_UP_STEP_MS * WARM_UP_STEP_MS;
      rounded.add(
          new ServerEntry(
              server.id(),
              server.service(),
              server.address(),
              server.zone(),
              server.maxConcurrency(),
              server.draining(),
              warmUpLeftMs));
    }
    return rounded;
  }

  void close() {
    closed = true;
  }
}
