package elmsail.rpc;

import elmsail.runtime.Counters;

/** How inner calls went, since the start; read on the loop. */
public final class RpcCounters {
  public long calls;
  public long responses;

  /** Calls that the peer answered with a code. */
  public long failures;

  public long notSent;
  public long connectionLost;
  public long timeouts;
  public long resourceExhausted;

  /** Answers to calls that had already ended, or that never went out on that connection. */
  public long lateResponses;

  /** Answers that were ready after their connection had closed. */
  public long undeliveredResponses;

  /** Connections closed for a frame that was none, or that was out of place. */
  public long malformedConnections;

  /** Connections closed because the process called is not the one that was meant. */
  public long misdirectedConnections;

  /** Connections closed because the other side speaks another version of the protocol. */
  public long unsupportedVersions;

  /** Answers whose type is not the one that the call waits for. */
  public long unexpectedResponseTypes;

  /** Connections that led to another instance than the one before at the same address. */
  public long newInstances;

  /** Connections closed for their silence. */
  public long keepaliveTimeouts;

  public long requestsReceived;
  public long connectionsOpened;
  public long failedConnects;
  public long pings;
  public long bytesReceived;
  public long bytesSent;

  /** Makes these part of the figures of the process. */
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
