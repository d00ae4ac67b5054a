package elmsail.gateway.http;

import elmsail.runtime.Counters;
import java.util.Locale;

/** Counters of request events since the start, registered among the metrics of the process. */
public final class RequestCounters {

  /**
   * The counted events. Dashboards use the metric names, so a renamed constant keeps its metric
   * name.
   */
  public enum Event {
    /** Complete responses of servers that were relayed to clients. */
    SERVED("served"),
    /** 503 before the first configuration. */
    REJECTED_NO_CONFIG("refused_no_configuration"),
    /** 503 because no server was available, or the limit for all bodies was reached. */
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
    /** 408 for a request that arrived too slowly. */
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
    /** Requests that were moved away from an unresponsive server. */
    SERVER_UNRESPONSIVE("gone_dark"),
    /** Calls to the batch API. */
    BATCH_CALL("lot_call"),
    /** Attempts to run a request at a server. */
    ATTEMPT("try"),
    /** Attempts that failed before any byte was sent. */
    ATTEMPT_NOT_SENT("try_unsent"),
    /** Attempts that the server reported as not run. */
    ATTEMPT_NOT_RUN("try_not_run"),
    /** Attempts that failed after they were sent. */
    ATTEMPT_SENT_FAILED("try_sent_failed"),
    /** Attempts with a complete response. */
    ATTEMPT_ANSWERED("try_answered"),
    /** Connections opened to servers. */
    CONNECTED("connected"),
    /** Failed attempts to connect to servers. */
    CONNECT_FAILED("connect_failed"),
    /** Connections that a server closed during a request. */
    CLOSED_BY_SERVER("closed_by_server"),
    /** Connections closed because a response belonged to another request. */
    FOREIGN_RESPONSE("foreign_answer"),
    /** Connections closed because a response was malformed. */
    UNREADABLE_RESPONSE("unreadable_answer"),
    /** Batch items started at servers. */
    ITEM_STARTED("item"),
    /** Defects of the gateway on one connection. */
    FAULT("fault"),
    /** 401 for requests without a known key. */
    REJECTED_KEY("refused_key"),
    /** 503 because the gateway's configuration, and so its set of valid keys, is not confirmed. */
    REJECTED_NOT_CONFIRMED("refused_not_confirmed"),
    /** Requests that were not retried because their key had been revoked. */
    KEY_REVOKED("key_revoked");

    private final String metricName;

    Event(String metricName) {
      this.metricName = metricName;
    }
  }

  private static final Event[] ALL = Event.values();

  private static final String PREFIX = "requests_";

  private final Counters.Counter[] counters = new Counters.Counter[ALL.length];

  /** Registers the counters of all events. */
  public RequestCounters(Counters registry) {
    for (Event event : ALL) {
      counters[event.ordinal()] = registry.counter(PREFIX + event.metricName);
    }
  }

  /** Counts one event. */
  public void count(Event event) {
    counters[event.ordinal()].add(1);
  }

  /** The number of these events since the start. */
  public long total(Event event) {
    return counters[event.ordinal()].value();
  }

  /** The events that occurred, as {@code NAME=COUNT} with the metric name in upper case. */
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
