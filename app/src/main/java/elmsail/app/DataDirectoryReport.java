package elmsail.app;

import com.fasterxml.jackson.core.JsonGenerator;
import elmsail.consensus.RestoredReplica;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Voter;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.storage.DirectoryRecordStore;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What a data directory holds. A copy is read, as opening a directory compacts it.
 *
 * @param files number of record files, without those still being written
 * @param bytes of all these files
 */
record DataDirectoryReport(
    long instanceId, int files, long bytes, int records, List<RestoredReplica> sets) {
  private static final String RECORD_FILE_PREFIX = "v-";
  private static final String INCOMPLETE_FILE_SUFFIX = ".part";

  /** No limit: nothing is written. */
  private static final long MAX_BYTES = 1L << 50;

  /**
   * Reads a data directory without changing it.
   *
   * @throws ElmsailException STORAGE_FAILURE if it has no records, if they cannot be read, or if it
   *     changed while it was copied
   */
  static DataDirectoryReport read(Path directory) {
    Path copy = null;
    try {
      copy = Files.createTempDirectory("elmsail-data");
      return readCopy(directory, copy);
    } catch (IOException e) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE,
          "the folder cannot be copied (is its process running?): " + e,
          e);
    } finally {
      delete(copy);
    }
  }

  private static DataDirectoryReport readCopy(Path directory, Path copy) throws IOException {
    int files = 0;
    long bytes = 0;
    try (DirectoryStream<Path> all = Files.newDirectoryStream(directory)) {
      for (Path file : all) {
        String name = file.getFileName().toString();
        if (name.startsWith(RECORD_FILE_PREFIX) && !name.endsWith(INCOMPLETE_FILE_SUFFIX)) {
          Files.copy(file, copy.resolve(name));
          bytes += Files.size(copy.resolve(name));
          files++;
        }
      }
    }
    if (files == 0) {
      throw new ElmsailException(ErrorCode.STORAGE_FAILURE, "no records in " + directory);
    }
    try (DirectoryRecordStore records = DirectoryRecordStore.open(copy, MAX_BYTES, Runnable::run)) {
      int count = 0;
      for (String name : records.names("")) {
        count += name.isEmpty() ? 0 : 1;
      }
      return new DataDirectoryReport(
          records.instanceId(), files, bytes, count, RestoredReplica.of(records));
    }
  }

  private static void delete(Path copy) {
    if (copy == null) {
      return;
    }
    List<Path> files = new ArrayList<>();
    try {
      try (DirectoryStream<Path> all = Files.newDirectoryStream(copy)) {
        all.forEach(files::add);
      }
      for (Path file : files) {
        Files.deleteIfExists(file);
      }
      Files.deleteIfExists(copy);
    } catch (IOException e) {
      // A leftover in the temporary directory does no harm; the report is complete.
    }
  }

  /** Prints the report for a reader. */
  void print(PrintStream out) {
    out.println(
        "instance "
            + Long.toHexString(instanceId)
            + ", "
            + files
            + " files, "
            + bytes
            + " bytes, "
            + records
            + " records");
    for (RestoredReplica set : sets) {
      out.println(
          "set "
              + set.set()
              + ": "
              + (set.ownSlot() < 0
                  ? "holds no slot"
                  : "slot " + set.ownSlot() + (set.voting() ? ", votes" : ", does not vote")));
      for (int slot = 0; slot < set.voterSet().voters.size(); slot++) {
        out.println("  slot " + slot + ": " + describe(set.voterSet().voters.get(slot)));
      }
      for (RestoredReplica.StoredKey key : set.keys()) {
        out.println("  key " + describe(key));
      }
    }
  }

  private static String describe(Voter voter) {
    return voter.address
        + " "
        + voter.machine
        + ", instance "
        + Long.toHexString(voter.instanceId)
        + ", epoch "
        + voter.epoch;
  }

  private static String describe(RestoredReplica.StoredKey key) {
    return key.name()
        + ": promised "
        + describe(key.promised())
        + ", accepted "
        + describe(key.accepted())
        + (key.fromStateTransfer() ? " (copied)" : "")
        + ", "
        + (key.valueBytes() < 0 ? "no value" : "value of " + key.valueBytes() + " bytes")
        + ", "
        + key.blobs()
        + " blobs";
  }

  private static String describe(Ballot ballot) {
    return ballot.round + "." + Long.toHexString(ballot.proposerId);
  }

  /** Writes the report as one JSON object. */
  void write(JsonGenerator json) throws IOException {
    json.writeStartObject();
    json.writeStringField("instance_id", Long.toHexString(instanceId));
    json.writeNumberField("files", files);
    json.writeNumberField("bytes", bytes);
    json.writeNumberField("records", records);
    json.writeArrayFieldStart("sets");
    for (RestoredReplica set : sets) {
      write(json, set);
    }
    json.writeEndArray();
    json.writeEndObject();
  }

  private static void write(JsonGenerator json, RestoredReplica set) throws IOException {
    json.writeStartObject();
    json.writeStringField("set", set.set());
    json.writeNumberField("own_slot", set.ownSlot());
    json.writeNumberField("caught_up", set.caughtUpEpoch());
    json.writeBooleanField("votes", set.voting());
    json.writeArrayFieldStart("voters");
    for (Voter voter : set.voterSet().voters) {
      write(json, voter);
    }
    json.writeEndArray();
    json.writeArrayFieldStart("keys");
    for (RestoredReplica.StoredKey key : set.keys()) {
      write(json, key);
    }
    json.writeEndArray();
    json.writeEndObject();
  }

  private static void write(JsonGenerator json, Voter voter) throws IOException {
    json.writeStartObject();
    json.writeStringField("address", voter.address);
    json.writeStringField("station", voter.machine);
    json.writeStringField("instance_id", Long.toHexString(voter.instanceId));
    json.writeNumberField("epoch", voter.epoch);
    json.writeEndObject();
  }

  private static void write(JsonGenerator json, RestoredReplica.StoredKey key) throws IOException {
    json.writeStartObject();
    json.writeStringField("key", key.name());
    json.writeStringField("promised", describe(key.promised()));
    json.writeStringField("accepted", describe(key.accepted()));
    json.writeBooleanField("copied", key.fromStateTransfer());
    json.writeNumberField("value_bytes", key.valueBytes());
    json.writeNumberField("blobs", key.blobs());
    json.writeEndObject();
  }
}
