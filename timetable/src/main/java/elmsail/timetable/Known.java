package elmsail.timetable;

import elmsail.inner.words.Roster;
import java.util.List;

/** What this process knows at present; kept up by the puller on the loop, read anywhere on the loop. */
public interface Known {
  /** The newest configuration that this life has seen, or null before the first: never an older one again. */
  Timetable timetable();

  /** All servers listed, closing ones too; empty before the first list. */
  List<ServerEntry> servers();

  /** How long ago the list was taken from the carrier, in ms; Long.MAX_VALUE before the first. */
  long listAgeMs();

  /** Never null; its seatings may be empty. */
  Roster roster();

  /** Called on the loop after any of these has changed. */
  void whenChanged(Runnable then);
}
