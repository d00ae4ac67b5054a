package elmsail.inner.words;

import java.util.ArrayList;
import java.util.List;

/**
 * The seats of one set, in their order. A message of an older seating is refused, and answered with the
 * newer.
 */
public final class Seating {
  public List<Seat> seats = new ArrayList<>();
}
