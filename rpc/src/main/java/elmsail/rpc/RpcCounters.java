package elmsail.rpc;

import elmsail.runtime.Counters;

/**
 * Counts of an endpoint's calls and connections since its start; written and read on the loop. The
 * fields are the terms of the code, the metric names in {@link #registerWith} are those that
 * operators know.
 */
public final class RpcCounters {
  /** Calls that were started, of whatever outcome. */
  public long calls;

  /** Calls that completed with a response. */
  public long responses;

  /** Calls that the peer responded to with an error code. */
  public long failures;

  /** Calls that failed with NOT_SENT. */
  public long notSent;

  /** Calls that failed with CONNECTION_LOST. */
  public long connectionLost;

  /** Calls that failed with TIMEOUT. */
  public long timeouts;

  /** Calls that failed with RESOURCE_EXHAUSTED on this side. */
  public long resourceExhausted;

  /** Responses to calls that had already completed, or were never sent on that connection. */
  public long lateResponses;

  /** Responses that were ready after their connection had closed. */
  public long undeliveredResponses;

  /** Connections closed for a frame that cannot be decoded or is not allowed. */
  public long malformedConnections;

  /** Connections closed because the process called is not the intended one. */
  public long misdirectedConnections;

  /** Connections closed because the peer speaks another version of the protocol. */
  public long unsupportedVersions;

  /** Responses of another type than the call expects. */
  public long unexpectedResponseTypes;

  /** Connections that reached another instance than the previous one at the same address. */
  public long newInstances;

  /** Connections closed as the peer was unresponsive. */
  public long keepaliveTimeouts;

  public long requestsReceived;
  public long connectionsOpened;
  public long failedConnects;
  public long pings;
  public long bytesReceived;
  public long bytesSent;

  /** Registers these as metrics of the process. */
  public void registerWith(Counters counters) {
    counters.registerCounter("rpc_calls", () -> calls);
    counters.registerCounter("rpc_answers", () -> responses);
    counters.registerCounter("rpc_failures", () -> failures);
    counters.registerCounter("rpc_unsent", () -> notSent);
    counters.registerCounter("rpc_broken", () -> connectionLost);
    counters.registerCounter("rpc_silent", () -> timeouts);
    counters.registerCounter("rpc_full", () -> resourceExhausted);
    counters.registerCounter("rpc_late_answers", () -> lateResponses);
    counters.registerCounter("rpc_unheard_answers", () -> undeliveredResponses);
    counters.registerCounter("rpc_garbled_connections", () -> malformedConnections);
    counters.registerCounter("rpc_misdirected_connections", () -> misdirectedConnections);
    counters.registerCounter("rpc_unsupported_versions", () -> unsupportedVersions);
    counters.registerCounter("rpc_unexpected_answer_types", () -> unexpectedResponseTypes);
    counters.registerCounter("rpc_new_instances", () -> newInstances);
    counters.registerCounter("rpc_silent_connections", () -> keepaliveTimeouts);
    counters.registerCounter("rpc_requests_received", () -> requestsReceived);
    counters.registerCounter("rpc_connections_made", () -> connectionsOpened);
    counters.registerCounter("rpc_connections_refused", () -> failedConnects);
    counters.registerCounter("rpc_pings", () -> pings);
    counters.registerCounter("rpc_bytes_received", () -> bytesReceived);
    counters.registerCounter("rpc_bytes_sent", () -> bytesSent);
  }
}
