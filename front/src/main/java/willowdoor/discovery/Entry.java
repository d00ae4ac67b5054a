package willowdoor.discovery;

/** One template server as the list holds it; a lease of nought does not end. */
record Entry(
    String id,
    String addr,
    String zone,
    String kind,
    int cell,
    State state,
    double weight,
    long startedMs,
    long leaseMs) {

  /** As the list words it. */
  enum State {
    ACTIVE,
    LEAVING,
    LEFT
  }

  Entry in(State other) {
    return new Entry(id, addr, zone, kind, cell, other, weight, startedMs, leaseMs);
  }
}
