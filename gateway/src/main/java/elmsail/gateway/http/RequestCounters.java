package elmsail.gateway.http;

import elmsail.runtime.Counters;
import java.util.Locale;

/** Counts of what happened to requests since the start, among the figures of the process. */
public final class RequestCounters {

  /** What is counted. The metric's name is known to dashboards and does not follow the constant. */
  public enum Event {
    /** Complete responses of servers that were relayed. */
    SERVED("served"),
    /** 503 before the first configuration. */
    REJECTED_NO_CONFIG("refused_no_configuration"),
    /** 503 because no server could be used, or the limit for all bodies was reached. */
    REJECTED_NO_SERVER("refused_no_server"),
    /** 503 because no server ran the request before its deadline. */
    REJECTED_NOT_RUN("refused_not_run"),
    /** 503 by admission control. */
    REJECTED_OVERLOADED("refused_full"),
    /** 503 late in a shutdown. */
    REJECTED_DRAINING("refused_ending"),
    /** 404 without a matching route. */
    NO_ROUTE("no_route"),
    /** 400, 405 or 431 for an invalid request. */
    BAD_REQUEST("bad_request"),
    /** 413 for a body beyond the limit. */
    TOO_LARGE("too_large"),
    /** 408 for a request that came too slowly. */
    CLIENT_TIMEOUT("client_slow"),
    /** Clients that disconnected before the end of their response. */
    CLIENT_DISCONNECTED("client_left"),
    /** 502 or 504 because the request may have run. */
    BAD_GATEWAY("bad_gateway"),
    /** Requests whose deadline passed. */
    DEADLINE_EXCEEDED("timed_out"),
    /** Responses that were aborted after they had started. */
    RESPONSE_ABORTED("broken_off"),
    /** Streams that continued at another server. */
    RESUMED("resumed"),
    /** Servers ejected for an error response. */
    SERVER_EJECTED("server_errored"),
    /** Requests retried after an error response. */
    RETRIED_AFTER_ERROR("retried_after_error"),
    /** Probes of half-open servers. */
    PROBED("probed"),
    /** Requests that left an unresponsive server. */
    SERVER_UNRESPONSIVE("gone_dark"),
    /** Calls to the batch API. */
    BATCH_CALL("lot_call"),
    /** Attempts at servers. */
    ATTEMPT("try"),
    /** Attempts that failed before a byte was sent. */
    ATTEMPT_NOT_SENT("try_unsent"),
    /** Attempts that the server says it did not run. */
    ATTEMPT_NOT_RUN("try_not_run"),
    /** Attempts that failed after they were sent. */
    ATTEMPT_SENT_FAILED("try_sent_failed"),
    /** Attempts with a complete response. */
    ATTEMPT_ANSWERED("try_answered"),
    /** Connections opened to servers. */
    CONNECTED("connected"),
    /** Connects to servers that failed. */
    CONNECT_FAILED("connect_failed"),
    /** Connections that a server closed under a request. */
    CLOSED_BY_SERVER("closed_by_server"),
    /** Connections closed for a response to another request. */
    FOREIGN_RESPONSE("foreign_answer"),
    /** Connections closed for a malformed response. */
    UNREADABLE_RESPONSE("unreadable_answer"),
    /** Batch items started at servers. */
    ITEM_STARTED("item"),
    /** Defects of the gateway on one connection. */
    FAULT("fault"),
    /** 401 for requests without a known key. */
    REJECTED_KEY("refused_key"),
    /** 503 because the keys in force are not known for sure. */
    REJECTED_NOT_CONFIRMED("refused_not_confirmed"),
    /** Requests without a further attempt because their key did not admit them any more. */
    KEY_REVOKED("key_revoked");

    private final String metricName;

    Event(String metricName) {
      this.metricName = metricName;
    }
  }

  private static final Event[] ALL = Event.values();

  private static final String PREFIX = "requests_";

  private final Counters.Counter[] counters = new Counters.Counter[ALL.length];

  /** Registers its counters among those of the process. */
  public RequestCounters(Counters registry) {
    for (Event event : ALL) {
      counters[event.ordinal()] = registry.counter(PREFIX + event.metricName);
    }
  }

  /** Counts one such event. */
  public void count(Event event) {
    counters[event.ordinal()].add(1);
  }

  /** How many such events there were since the start. */
  public long total(Event event) {
    return counters[event.ordinal()].value();
  }

  /** The events that occurred, as {@code NAME=COUNT}, by their metrics' names in capitals. */
  @Override
  public String toString() {
    StringBuilder line = new StringBuilder();
    for (Event event : ALL) {
      if (total(event) > 0) {
        String name = event.metricName.toUpperCase(Locale.ROOT);
        line.append(line.length() == 0 ? "" : " ").append(name).append('=').append(total(event));
      }
    }
    return line.toString();
  }
}
