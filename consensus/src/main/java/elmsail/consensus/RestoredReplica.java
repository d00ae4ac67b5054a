package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.VoterSet;
import elmsail.storage.RecordStore;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * What a data folder holds of one set, read without taking part in it.
 *
 * @param voterSet as known there; without voter slots if nothing is known
 * @param ownSeat the voter slot that this instance holds or is claiming, or -1
 * @param caughtUpEpoch the epoch with which this instance was founded or has copied all; 0: none
 * @param voting whether a process started on the folder votes at once
 * @param keys in order of their names
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
   * One key; one without a value and a ballot has blobs alone.
   *
   * @param fromStateTransfer the value came from another voter slot when this voter slot was
   *     claimed, and counts as no vote
   * @param valueBytes -1 if nothing was accepted
   */
  public record StoredKey(
      String name,
      Ballot promised,
      Ballot accepted,
      boolean fromStateTransfer,
      int valueBytes,
      int blobs) {}

  /**
   * All sets that the records tell of.
   *
   * @throws elmsail.runtime.ElmsailException DISK if a record is not as it was written
   */
  public static List<RestoredReplica> of(RecordStore records) {
    TreeSet<String> names = new TreeSet<>();
    for (String record : records.names("")) {
      int slash = record.indexOf('/');
      for (String part : RECORD_KINDS) {
        if (slash > 0 && record.startsWith(part, slash + 1)) {
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
    int caughtUp = RecordNames.epochFromBytes(records.read(names.votingRecord()));
    VoterSet voterSet = VoterSetCodec.decode(records.read(names.voterSetRecord()));
    ReplicaMembership membership =
        new ReplicaMembership("", "", records.instanceId(), voterSet, caughtUp);
    TreeSet<String> all = new TreeSet<>(names.keys(records));
    for (String blob : records.names(names.blobs())) {
      all.add(names.keyOfBlob(blob));
    }
    List<StoredKey> keys = new ArrayList<>(all.size());
    for (String key : all) {
      AcceptorState state = AcceptorState.fromBytes(records.read(names.key(key)));
      int blobs = 0;
      for (String blob : records.names(names.blobs(key))) {
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
        set, voterSet, membership.ownSlot(), caughtUp, membership.isVoting(), List.copyOf(keys));
  }
}
