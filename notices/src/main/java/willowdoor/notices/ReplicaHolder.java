package willowdoor.notices;

/**
 * The process that keeps a copy of a stream: one that was started anew under the same number keeps
 * nothing.
 *
 * @param member its number in the roster, -1 where nobody keeps one
 */
public record ReplicaHolder(int member, long generation) {
  static final ReplicaHolder NONE = new ReplicaHolder(-1, 0);

  boolean isAlive(FleetView view) {
    return view.alive(member, generation);
  }
}
