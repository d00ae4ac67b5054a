package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.VoterSet;
import elmsail.storage.RecordStore;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The content of a data directory for one set, read for reports without running a replica.
 *
 * @param voterSet without voters if none is known
 * @param ownSlot the voter slot that names this instance, or -1
 * @param caughtUpEpoch the epoch under which this instance is an initial voter or completed its
 *     join; 0: none
 * @param voting whether a process that is started on the directory votes at once
 * @param keys the keys in the order of their names
 */
public record RestoredReplica(
    String set,
    VoterSet voterSet,
    int ownSlot,
    int caughtUpEpoch,
    boolean voting,
    List<StoredKey> keys) {
  private static final String[] RECORD_KINDS = {"seating", "seated", "k/", "b/"};

  /**
   * One key. A key without a ballot and a value has blobs only.
   *
   * @param fromStateTransfer whether the value was copied from another voter and is not a vote
   * @param valueBytes the size of the value; -1 if nothing was accepted
   * @param blobs the number of its blobs
   */
  public record StoredKey(
      String name,
      Ballot promised,
      Ballot accepted,
      boolean fromStateTransfer,
      int valueBytes,
      int blobs) {}

  /**
   * Reads all sets that have records in the store.
   *
   * @throws elmsail.runtime.ElmsailException of code {@code STORAGE_FAILURE} if a record cannot be
   *     decoded
   */
  public static List<RestoredReplica> of(RecordStore records) {
    TreeSet<String> names = new TreeSet<>();
    for (String record : records.names("")) {
      int slash = record.indexOf('/');
      for (String kind : RECORD_KINDS) {
        if (slash > 0 && record.startsWith(kind, slash + 1)) {
          names.add(record.substring(0, slash));
        }
      }
    }
    List<RestoredReplica> sets = new ArrayList<>(names.size());
    for (String name : names) {
      sets.add(readSet(name, records));
    }
    return sets;
  }

  private static RestoredReplica readSet(String set, RecordStore records) {
    RecordNames names = new RecordNames(set);
    int caughtUpEpoch = RecordNames.epochFromBytes(records.read(names.votingRecord()));
    VoterSet voterSet = VoterSetCodec.decode(records.read(names.voterSetRecord()));
    ReplicaMembership membership =
        new ReplicaMembership("", "", records.instanceId(), voterSet, caughtUpEpoch);
    TreeSet<String> all = new TreeSet<>(names.keysIn(records));
    for (String blob : records.names(names.blobPrefix())) {
      all.add(names.keyOfBlob(blob));
    }
    List<StoredKey> keys = new ArrayList<>(all.size());
    for (String key : all) {
      AcceptorState state = AcceptorState.fromBytes(records.read(names.keyRecord(key)));
      int blobs = 0;
      for (String blob : records.names(names.blobPrefix(key))) {
        blobs += blob.isEmpty() ? 0 : 1;
      }
      keys.add(
          new StoredKey(
              key,
              state.promised(),
              state.accepted(),
              state.fromStateTransfer(),
              state.value() == null ? -1 : state.value().length,
              blobs));
    }
    return new RestoredReplica(
        set,
        voterSet,
        membership.ownSlot(),
        caughtUpEpoch,
        membership.isVoting(),
        List.copyOf(keys));
  }
}
