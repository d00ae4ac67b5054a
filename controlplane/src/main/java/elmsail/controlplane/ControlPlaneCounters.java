package elmsail.controlplane;

import elmsail.runtime.Counters;

/** The counters of a control-plane node. Updated on the event loop. */
final class ControlPlaneCounters {

  /** Pulls that were answered. */
  final Counters.Counter pullsAnswered;

  /** Pulls that were rejected for lack of contact with a majority of the voters. */
  final Counters.Counter pullsRefused;

  /** Operators' configuration changes that were committed: status 200. */
  final Counters.Counter changesCommitted;

  /** Changes that were rejected and not committed by that call: status 400, 412 or 503. */
  final Counters.Counter changesRejected;

  /** Changes whose outcome is unknown, so that they may be committed or not: status 504. */
  final Counters.Counter changesOutcomeUnknown;

  /** Server lists that were read from the platform. */
  final Counters.Counter serverListReads;

  /** Reads of the server list that failed. */
  final Counters.Counter serverListFailures;

  /** Assignments of voter slots to spares. */
  final Counters.Counter joinsDirected;

  /** Registers the counters with those of the process. */
  ControlPlaneCounters(Counters counters) {
    pullsAnswered = counters.counter("control_pulls_answered");
    pullsRefused = counters.counter("control_pulls_no_contact");
    changesCommitted = counters.counter("control_orders_acknowledged");
    changesRejected = counters.counter("control_orders_refused");
    changesOutcomeUnknown = counters.counter("control_orders_unclear");
    serverListReads = counters.counter("control_lists_read");
    serverListFailures = counters.counter("control_lists_failed");
    joinsDirected = counters.counter("control_joins_directed");
  }

  /** Counts the outcome of a configuration change, by the HTTP status of the reply. */
  void countChange(int status) {
    switch (status) {
      case 200 -> changesCommitted.add(1);
      case 504 -> changesOutcomeUnknown.add(1);
      default -> changesRejected.add(1);
    }
  }
}
