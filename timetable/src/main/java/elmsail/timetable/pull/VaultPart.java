package elmsail.timetable.pull;

import elmsail.inner.words.Seating;

/**
 * What a vault tells of itself with each pull.
 *
 * @param seated whether it holds a seat and has caught up
 * @param emptied whether no lot needs its disk any more
 * @param shelf the seating that it knows
 */
public record VaultPart(boolean seated, boolean emptied, Seating shelf) {
  /** What processes without a vault tell. */
  public static final VaultPart NONE = new VaultPart(false, false, new Seating());
}
