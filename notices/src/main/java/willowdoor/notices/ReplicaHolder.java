package willowdoor.notices;

/**
 * The process that holds the replica of a stream. A process that was restarted under the same
 * number holds nothing.
 *
 * @param member number in the roster, or -1 if no process holds a replica
 */
public record ReplicaHolder(int member, long generation) {
  static final ReplicaHolder NONE = new ReplicaHolder(-1, 0);

  boolean isAlive(FleetView view) {
    return view.alive(member, generation);
  }
}
