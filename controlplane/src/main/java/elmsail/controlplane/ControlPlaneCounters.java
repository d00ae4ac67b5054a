package elmsail.controlplane;

import elmsail.runtime.Counters;

/** What a control-plane node counts; on the loop. */
final class ControlPlaneCounters {

  /** Times that a store was told to join the voters. */
  final Counters.Counter joinsDirected;

  /** 1 while this node holds the singleton lease. */
  final Counters.Counter leaseHeld;

  /** Takes its counters from those of the process. */
  ControlPlaneCounters(Counters counters) {
    joinsDirected = counters.of("control_joins_directed");
    leaseHeld = counters.of("control_lease_held");
  }
}
