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
 * The calls to the platform that only the holder of the singleton lease may make. Each carries this
 * machine's name and, as its fencing token, the lease's term. All duties of a process share one
 * client, and thereby the platform's rate limit. Runs on the event loop.
 *
 * <p>Nothing is retried here: a caller repeats a call whose outcome is not {@link
 * Outcome#ACCEPTED}, after a backoff, and with the same content unless the platform takes the last
 * call for what holds.
 */
final class PlatformDutyClient {

  /** What became of a call. */
  enum Outcome {
    /** The platform has taken it in. */
    ACCEPTED,

    /** Not sent: this process does not hold the lease in that term, or no longer. */
    NOT_HOLDER,

    /** Refused, as another holder has used a higher term: the lease is given up. */
    FENCED,

    /** Over the rate of this client, so not sent, or of the platform, which did not take it in. */
    RATE_LIMITED,

    /** No answer, or one that says nothing: the platform may have taken it in, or may yet do so. */
    UNKNOWN
  }

  /** Names the machine that holds the duty. */
  static final String HOLDER_HEADER = "Elmsail-Duty-Holder";

  /** The fencing token: the term of the lease. */
  static final String FENCE_HEADER = "Elmsail-Fence";

  /** A platform that is slow answers within this time. */
  static final long CALL_TIMEOUT_MS = 2_500;

  /** The rest of the platform's rate is for the holder before or after this one. */
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
   * Creates a client of the platform of these settings.
   *
   * @param settings of this process; they name a platform
   * @param lease whose holder makes the calls; it learns of refused terms
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
   * Makes a call, unless this process does not hold the lease in that term at this moment.
   *
   * @param path of the duty
   * @param json the body
   * @param term in which the caller decided to call
   * @return completes on the loop, never fails
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
        LOG.warn("the platform has refused term {} at {}", term, path);
        lease.onFenced(term);
        return Outcome.FENCED;
      }
      case TOO_MANY_REQUESTS -> {
        counters.callsRateLimited.add(1);
        return Outcome.RATE_LIMITED;
      }
      default -> {
        counters.callsUnknown.add(1);
        LOG.warn("the platform has answered {} at {}", response.status(), path);
        return Outcome.UNKNOWN;
      }
    }
  }
}
