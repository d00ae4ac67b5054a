package elmsail.register;

import elmsail.inner.words.Seating;

/** The asker's knowledge of a set's seats. */
public interface Seatings {
  /** As known now; without seats if nothing is known. */
  Seating of();

  /** A voter told this one: to be merged by the higher incarnation of each seat. */
  void told(Seating newer);
}
