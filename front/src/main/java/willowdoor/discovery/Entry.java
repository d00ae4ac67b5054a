package willowdoor.discovery;

/** One template server of the list; a lease of 0 does not expire. */
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

  /** The state; the list contains its name in lower case. */
  enum State {
    ACTIVE,
    LEAVING,
    LEFT
  }

  Entry in(State other) {
    return new Entry(id, addr, zone, kind, cell, other, weight, startedMs, leaseMs);
  }
}
