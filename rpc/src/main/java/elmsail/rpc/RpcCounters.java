package elmsail.rpc;

import elmsail.runtime.Counters;

/** How inner calls went, since the start; read on the loop. */
public final class RpcCounters {
  public long calls;
  public long answers;

  /** Calls that the peer answered with a code. */
  public long failures;

  public long unsent;
  public long broken;
  public long silent;
  public long full;

  /** Answers to calls that had already ended, or that never went out on that connection. */
  public long late;

  /** Answers that were ready after their connection had closed. */
  public long unheard;

  /** Connections closed for a frame that was none, or that was out of place. */
  public long garbled;

  /** Connections closed because the process called is not the one that was meant. */
  public long misdirected;

  /** Connections closed because the other side speaks another version of the protocol. */
  public long unsupportedVersions;

  /** Answers whose type is not the one that the call waits for. */
  public long otherTypes;

  /** Connections that led to another instance than the one before at the same address. */
  public long newInstances;

  /** Connections closed for their silence. */
  public long silentConnections;

  public long asks;
  public long links;
  public long refusedConnects;
  public long pings;
  public long bytesIn;
  public long bytesOut;

  /** Makes these part of the figures of the process. */
  public void tellIn(Counters counters) {
    counters.read("rpc_calls", () -> calls);
    counters.read("rpc_answers", () -> answers);
    counters.read("rpc_failures", () -> failures);
    counters.read("rpc_unsent", () -> unsent);
    counters.read("rpc_broken", () -> broken);
    counters.read("rpc_silent", () -> silent);
    counters.read("rpc_full", () -> full);
    counters.read("rpc_late_answers", () -> late);
    counters.read("rpc_unheard_answers", () -> unheard);
    counters.read("rpc_garbled_connections", () -> garbled);
    counters.read("rpc_misdirected_connections", () -> misdirected);
    counters.read("rpc_unsupported_versions", () -> unsupportedVersions);
    counters.read("rpc_unexpected_answer_types", () -> otherTypes);
    counters.read("rpc_new_instances", () -> newInstances);
    counters.read("rpc_silent_connections", () -> silentConnections);
    counters.read("rpc_requests_received", () -> asks);
    counters.read("rpc_connections_made", () -> links);
    counters.read("rpc_connections_refused", () -> refusedConnects);
    counters.read("rpc_pings", () -> pings);
    counters.read("rpc_bytes_received", () -> bytesIn);
    counters.read("rpc_bytes_sent", () -> bytesOut);
  }
}
