package elmsail.rpc;

import elmsail.runtime.Counters;

/** Counters of the calls of a process since its start; confined to the event loop. */
public final class RpcCounters {
  public long calls;
  public long responses;

  /** Calls for which the peer responded with an error code. */
  public long failures;

  public long notSent;
  public long connectionLost;
  public long timeouts;
  public long resourceExhausted;

  /** Responses to calls that had already completed, or were not sent on that connection. */
  public long lateResponses;

  /** Responses that were ready after their connection had closed. */
  public long undeliveredResponses;

  /** Connections closed because of an invalid or unexpected frame. */
  public long malformedConnections;

  /** Connections closed because the called process is not the intended one. */
  public long misdirectedConnections;

  /** Connections closed because the peer speaks another protocol version. */
  public long unsupportedVersions;

  /** Responses of another type than the call expects. */
  public long unexpectedResponseTypes;

  /** Connections that reached another instance than the previous one at the same address. */
  public long newInstances;

  /** Connections closed by a keepalive timeout. */
  public long keepaliveTimeouts;

  public long requestsReceived;
  public long connectionsOpened;
  public long failedConnects;
  public long pings;
  public long bytesReceived;
  public long bytesSent;

  /** Registers these counters among the metrics of the process. */
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
