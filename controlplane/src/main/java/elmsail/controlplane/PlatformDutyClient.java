package elmsail.controlplane;

import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpClient;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the calls to the platform that only the holder of the singleton lease may make. Each call
 * carries this machine's name and, as a fencing token, the lease's term. All duties of a process
 * share one client and its rate limit. Runs on the event loop.
 *
 * <p>The client does not retry. The caller repeats a call whose outcome is not {@link
 * Outcome#ACCEPTED} after a backoff. A repeated call must have the same content, except where the
 * platform applies the last call that it accepts.
 */
final class PlatformDutyClient {

  /** The outcome of a call. */
  enum Outcome {
    /** The platform accepted the call. */
    ACCEPTED,

    /** The call was not sent, because this process does not hold the lease in that term. */
    NOT_HOLDER,

    /**
     * The platform rejected the call because another holder has used a higher term; the lease is
     * released.
     */
    FENCED,

    /**
     * The call was not sent because it exceeds this client's rate limit, or the platform rejected
     * it because of its own rate limit.
     */
    RATE_LIMITED,

    /**
     * No response, or a status that leaves the outcome open: the platform may have accepted the
     * call or may still accept it.
     */
    UNKNOWN
  }

  /** Header with the name of the lease holder's machine. */
  static final String HOLDER_HEADER = "Elmsail-Duty-Holder";

  /** Header with the fencing token, which is the term of the lease. */
  static final String FENCE_HEADER = "Elmsail-Fence";

  /** A slow platform still responds within this time. */
  static final long CALL_TIMEOUT_MS = 2_500;

  /** The rest of the platform's rate limit is left to the previous or next holder. */
  private static final double RATE_SHARE = 0.5;

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final Logger LOG = LoggerFactory.getLogger(PlatformDutyClient.class);

  private final HttpClient client;
  private final String address;
  private final String machine;
  private final DutyLease lease;
  private final DutyCounters counters;
  private final TokenBucket rateLimit;

  /**
   * Creates a client for the platform that the settings name.
   *
   * @param settings of this process; must name a platform
   * @param lease whose holder makes the calls; notified of rejected terms
   */
  PlatformDutyClient(
      HttpClient client, Settings settings, Timers timers, DutyLease lease, DutyCounters counters) {
    this.client = client;
    this.address = settings.platform().address();
    this.machine = settings.machine();
    this.lease = lease;
    this.counters = counters;
    this.rateLimit =
        new TokenBucket(timers, settings.platform().maxDutyCallsPerSecond() * RATE_SHARE);
  }

  /**
   * Sends a call if this process holds the lease in that term at this moment.
   *
   * @param path of the platform's endpoint
   * @param json the request body
   * @param term in which the caller decided to send the call
   * @return the outcome; completes on the event loop and never fails
   */
  CompletableFuture<Outcome> post(String path, byte[] json, long term) {
    if (term <= 0 || lease.term() != term) {
      return CompletableFuture.completedFuture(Outcome.NOT_HOLDER);
    }
    if (!rateLimit.tryTake()) {
      return CompletableFuture.completedFuture(Outcome.RATE_LIMITED);
    }
    counters.calls.add(1);
    Map<String, String> headers =
        Map.of(
            HOLDER_HEADER,
            machine,
            FENCE_HEADER,
            Long.toString(term),
            "Content-Type",
            "application/json");
    return client
        .post(address, path, headers, json, CALL_TIMEOUT_MS)
        .handle((response, failure) -> onResponse(path, term, response, failure));
  }

  private Outcome onResponse(
      String path, long term, SimpleHttpResponse response, Throwable failure) {
    if (failure != null) {
      counters.callsUnknown.add(1);
      return Outcome.UNKNOWN;
    }
    switch (response.status()) {
      case OK -> {
        return Outcome.ACCEPTED;
      }
      case CONFLICT -> {
        counters.callsFenced.add(1);
        LOG.warn(
            "platform rejected duty call: term {} superseded at {}; releasing the lease",
            term,
            path);
        lease.onFenced(term);
        return Outcome.FENCED;
      }
      case TOO_MANY_REQUESTS -> {
        counters.callsRateLimited.add(1);
        return Outcome.RATE_LIMITED;
      }
      default -> {
        counters.callsUnknown.add(1);
        LOG.warn(
            "platform responded with unexpected status {} to duty call {}; outcome unknown",
            response.status(),
            path);
        return Outcome.UNKNOWN;
      }
    }
  }
}
