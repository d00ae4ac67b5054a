package willowdoor.notices;

/**
 * The process that keeps a copy of a stream: one that was started anew under the same number keeps
 * nothing.
 *
 * @param member its number in the roster, -1 where nobody keeps one
 */
public record Keeper(int member, long generation) {
  static final Keeper NONE = new Keeper(-1, 0);

  boolean there(FleetView view) {
    return view.alive(member, generation);
  }
}
