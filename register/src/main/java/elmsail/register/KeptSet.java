package elmsail.register;

import elmsail.disk.Records;
import elmsail.inner.words.Ballot;
import elmsail.inner.words.Seating;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * What a data folder holds of one set, read without taking part in it.
 *
 * @param seating as known there; without seats if nothing is known
 * @param ownSeat the seat that this life holds or is claiming, or -1
 * @param caughtUp the incarnation with which this life was founded or has copied all; 0: none
 * @param votes whether a process started on the folder votes at once
 * @param keys in order of their names
 */
public record KeptSet(String set, Seating seating, int ownSeat, int caughtUp, boolean votes, List<Key> keys) {
  private static final String[] PARTS = {"seating", "seated", "k/", "b/"};

  /**
   * One key; one without a value and a ballot has blobs alone.
   *
   * @param copied the value came from another seat when this seat was claimed, and counts as no vote
   * @param valueBytes -1 if nothing was accepted
   */
  public record Key(String name, Ballot promised, Ballot accepted, boolean copied, int valueBytes,
      int blobs) {
  }

  /**
   * All sets that the records tell of.
   *
   * @throws elmsail.station.ElmsailException DISK if a record is not as it was written
   */
  public static List<KeptSet> of(Records records) {
    TreeSet<String> names = new TreeSet<>();
    for (String record : records.names("")) {
      int slash = record.indexOf('/');
      for (String part : PARTS) {
        if (slash > 0 && record.startsWith(part, slash + 1)) {
          names.add(record.substring(0, slash));
        }
      }
    }
    List<KeptSet> sets = new ArrayList<>(names.size());
    for (String name : names) {
      sets.add(one(name, records));
    }
    return sets;
  }

  private static KeptSet one(String set, Records records) {
    KeptNames names = new KeptNames(set);
    int caughtUp = KeptNames.incarnation(records.read(names.seated()));
    Seating seating = SeatingBytes.seating(records.read(names.seating()));
    Membership membership = new Membership("", "", records.life(), seating, caughtUp);
    TreeSet<String> all = new TreeSet<>(names.keys(records));
    for (String blob : records.names(names.blobs())) {
      all.add(names.keyOfBlob(blob));
    }
    List<Key> keys = new ArrayList<>(all.size());
    for (String key : all) {
      KeyState state = KeyState.of(records.read(names.key(key)));
      int blobs = 0;
      for (String blob : records.names(names.blobs(key))) {
        blobs += blob.isEmpty() ? 0 : 1;
      }
      keys.add(new Key(key, state.promised(), state.accepted(), state.copied(),
          state.value() == null ? -1 : state.value().length, blobs));
    }
    return new KeptSet(set, seating, membership.ownSeat(), caughtUp, membership.seated(), List.copyOf(keys));
  }
}
