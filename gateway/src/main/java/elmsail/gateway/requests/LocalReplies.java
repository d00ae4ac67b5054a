package elmsail.gateway.requests;

import elmsail.batch.BatchService;
import elmsail.gateway.http.Headers;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.random.RandomGenerator;

/** Responses of the gateway itself, as opposed to those relayed from a server. */
public final class LocalReplies {
  private static final double MIN_RETRY_AFTER_S = 0.05;
  private static final double RETRY_AFTER_JITTER_S = 0.15;
  private static final double STARTUP_RETRY_AFTER_S = 0.6;

  private static final int UNAUTHORIZED = 401;

  /** Reports that the request has not run, so that the client may retry it. */
  static final int SERVICE_UNAVAILABLE = 503;

  private LocalReplies() {}

  /** The delay after which a rejected client is to retry, in s, with jitter. */
  static double retryAfterSeconds(RandomGenerator random) {
    return MIN_RETRY_AFTER_S + RETRY_AFTER_JITTER_S * random.nextDouble();
  }

  /**
   * The delay after which a client is to retry while the gateway has not received its configuration
   * or its servers, in s, with jitter: about a third of the longest time that a client waits.
   */
  static double startupRetryAfterSeconds(RandomGenerator random) {
    return STARTUP_RETRY_AFTER_S + 2 * RETRY_AFTER_JITTER_S * random.nextDouble();
  }

  /**
   * Sends an empty response.
   *
   * @param id the request's id, or null
   * @param retryAfterS the value of {@code Retry-After} in s, or 0 for no such header
   */
  public static void send(ResponseSink client, int status, String id, double retryAfterS) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (id != null) {
      headers.set(Headers.REQUEST_ID, id);
    }
    setChallenge(headers, status);
    setRetryAfter(headers, retryAfterS);
    client.sendResponse(status, headers, Unpooled.EMPTY_BUFFER);
  }

  /**
   * Sends the reply to a batch call. A body that starts with a brace is sent as {@code
   * application/json}. Status 0 stands for an unknown outcome: the response is aborted.
   */
  static void sendBatchReply(ResponseSink client, BatchService.Reply reply) {
    if (reply.status() == 0) {
      client.abort();
      return;
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    byte[] body = reply.body() == null ? new byte[0] : reply.body();
    if (body.length > 0) {
      headers.set("Content-Type", body[0] == '{' ? "application/json" : "application/octet-stream");
    }
    setChallenge(headers, reply.status());
    setRetryAfter(headers, reply.retryAfterS());
    client.sendResponse(reply.status(), headers, Unpooled.wrappedBuffer(body));
  }

  /** A response with status 401 must have a challenge (RFC 9110, section 15.5.2). */
  private static void setChallenge(HttpHeaders headers, int status) {
    if (status == UNAUTHORIZED) {
      headers.set(Headers.WWW_AUTHENTICATE, "Bearer");
    }
  }

  private static void setRetryAfter(HttpHeaders headers, double seconds) {
    if (seconds > 0) {
      headers.set(
          Headers.RETRY_AFTER, Double.toString(Math.max(1, Math.round(seconds * 1_000)) / 1_000.0));
    }
  }
}
