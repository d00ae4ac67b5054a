package elmsail.controlplane;

import elmsail.batch.BatchItem;
import elmsail.batch.messages.JobBodyCodec;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.consensus.Replica;
import elmsail.consensus.ReplicaIdentity;
import elmsail.consensus.ReplicaListener;
import elmsail.rpc.HandlerRegistry;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.AcceptRequest;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.PrepareRequest;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.storage.DirectoryRecordStore;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Writes the data directories of a store, of a joining store and of a control-plane node with the
 * production classes. The replica receives the same requests as from other processes, so its own
 * code writes the records.
 *
 * <p>{@link #main} wrote the directories in the test resources. Those directories are never
 * regenerated, because they represent the disks of processes of earlier versions.
 */
final class PinnedDataDirectories {
  static final String STORE = "store";
  static final String JOINING_STORE = "joining-store";
  static final String CONTROL_PLANE = "controlplane";

  static final String OWN_ADDRESS = "10.0.0.1:7720";
  static final String OWN_MACHINE = "n1";

  /** A job with an answered item, an item that was given up, and an item with failed attempts. */
  static final String OPEN_JOB = "open-job";

  static final String ENDED_JOB = "ended/50%";

  /** Written in the first format of job records. */
  static final String OLD_JOB = "old-job";

  /** A job that was not accepted: the replica holds only a promise for its key. */
  static final String REFUSED_JOB = "refused-job";

  /** A job that the store copied from another store when it joined. */
  static final String COPIED_JOB = "copied-job";

  /** A job that was dropped after its retention time. */
  static final String DROPPED_JOB = "dropped-job";

  static final String TEXT = "the text of a result";
  static final List<String> CONFIGS = List.of("{\"edition\":3}", "{\"edition\":400}");

  /** The value of a configuration of version 7 in the format before the current one. */
  static final byte[] OLD_CONFIG =
      HexFormat.of()
          .parseHex(
              "000000000000000700000001"
                  + "0000000000000005000102030405060708090a0b0c0d0e0f"
                  + "7b7d");

  private static final long MAX_BYTES = 1 << 24;
  private static final long PROPOSER_ID = 0x0a0b0c0d0e0fL;
  private static final int COPIED_FLAGS = 3;

  private PinnedDataDirectories() {}

  /** Writes the directories into the folder that is the first argument. */
  public static void main(String[] args) {
    Path folder = Path.of(args[0]);
    writeStore(folder.resolve(STORE));
    writeJoiningStore(folder.resolve(JOINING_STORE));
    writeControlPlane(folder.resolve(CONTROL_PLANE));
  }

  static DirectoryRecordStore open(Path folder) {
    return DirectoryRecordStore.open(folder, MAX_BYTES, Runnable::run);
  }

  /** A store with jobs in each of their states. */
  static void writeStore(Path folder) {
    try (DirectoryRecordStore disk = open(folder)) {
      IsolatedReplica writer = new IsolatedReplica(StoreNode.VOTER_SET_NAME, disk);
      writer.replica.bootstrap(voterSet(disk.instanceId()));
      Blob body = blob(JobBodyCodec.blobName(body()), body());
      writer.commit(JobRecord.registerKey(OPEN_JOB), openJob().encode(), List.of(body, text()));
      writer.commit(JobRecord.registerKey(ENDED_JOB), endedJob().encode(), List.of(body));
      writer.commit(JobRecord.registerKey(OLD_JOB), oldJobBytes(), List.of());
      writer.prepare(JobRecord.registerKey(REFUSED_JOB), List.of());
      writer.commit(JobRecord.registerKey(DROPPED_JOB), endedJob().encode(), List.of(body));
      writer.replica.dropKey(JobRecord.registerKey(DROPPED_JOB));
      disk.write(List.of(new Change("shelf/k/lot%2F" + COPIED_JOB, copiedState()))).join();
    }
  }

  /** A store that has begun to take over the slot of another one. */
  static void writeJoiningStore(Path folder) {
    try (DirectoryRecordStore disk = open(folder)) {
      IsolatedReplica writer = new IsolatedReplica(StoreNode.VOTER_SET_NAME, disk);
      VoterSet others = voterSet(1);
      others.voters.get(0).address = "10.0.0.4:7720";
      others.voters.get(0).machine = "n4";
      writer.replica.learn(others);
      writer.replica.join(0, 2);
    }
  }

  /** A control-plane node that has voted on each of the register's keys. */
  static void writeControlPlane(Path folder) {
    try (DirectoryRecordStore disk = open(folder)) {
      RecordStore records = new SynchronousRecords(disk, disk.instanceId());
      records.write(List.of(new Change("notary/born", new byte[] {1})));
      VoterSet voters = voterSet(disk.instanceId());
      BootstrapAcceptor acceptor = new BootstrapAcceptor();
      acceptor.prepare(5);
      acceptor.accept(5, voters);
      acceptor.prepare(9);
      records.write(List.of(new Change("head-founding", acceptor.encode())));
      IsolatedReplica writer = new IsolatedReplica(ControlPlaneVoters.VOTER_SET_NAME, disk);
      writer.replica.bootstrap(voters);
      writer.commit(ConfigChangeHandler.KEY, config().encode(), List.of());
      writer.commit(DecommissionList.KEY, decommissioned(), List.of());
      writer.commit(StoreBootstrap.KEY, VoterSetValue.encode(voters), List.of());
      writer.commit(SingletonLease.KEY, leaseTerm(), List.of());
      writer.commit("timetable-of-old", OLD_CONFIG, List.of());
    }
  }

  static VoterSet voterSet(long ownInstanceId) {
    VoterSet voterSet = new VoterSet();
    voterSet.voters.add(VoterSetValue.voter(OWN_ADDRESS, OWN_MACHINE, ownInstanceId, 1));
    voterSet.voters.add(VoterSetValue.voter("10.0.0.2:7720", "n2", 22, 1));
    voterSet.voters.add(VoterSetValue.voter("10.0.0.3:7720", "n3", -33, 1));
    return voterSet;
  }

  static ConfigHistory config() {
    ConfigHistory history = ConfigHistory.EMPTY;
    byte[] first = CONFIGS.get(0).getBytes(StandardCharsets.UTF_8);
    history = history.append(3, first, ConfigHistory.replacementDigest(0, first));
    byte[] second = CONFIGS.get(1).getBytes(StandardCharsets.UTF_8);
    return history.append(400, second, ConfigHistory.amendmentDigest(3, second));
  }

  static byte[] decommissioned() {
    return DecommissionList.encodeWith(Set.of("n2"), "n5");
  }

  static byte[] leaseTerm() {
    return ByteBuffer.allocate(2 * Long.BYTES).putLong(4).putLong(PROPOSER_ID).array();
  }

  static byte[] body() {
    return JobBodyCodec.encode(
        List.of(
            new BatchItem("a", "/p/1", Map.of("Content-Type", "t/p"), new byte[] {1, 2}, 940),
            new BatchItem("b", "/p/2", Map.of(), new byte[0], 0),
            new BatchItem("\u00fc", "/p/3", Map.of("X", "y z"), new byte[] {3}, 7)));
  }

  static Blob text() {
    return blob(JobRecord.textBlobNameOf(1, 2), TEXT.getBytes(StandardCharsets.UTF_8));
  }

  static JobRecord openJob() {
    return new JobRecord(
        4,
        description(),
        List.of(
            new JobRecord.Result(1, true, 2, TEXT.length()), new JobRecord.Result(0, false, 1, 0)),
        false,
        OWN_ADDRESS,
        2,
        1_234,
        List.of(new JobRecord.FailedAttempts(2, 3)));
  }

  static JobRecord endedJob() {
    return new JobRecord(2, description(), List.of(), true, OWN_ADDRESS, 1, 5, List.of());
  }

  /** {@link #endedJob} in the first format, which did not store failed attempts. */
  private static byte[] oldJobBytes() {
    byte[] current = endedJob().encode();
    byte[] old = java.util.Arrays.copyOf(current, current.length - 1);
    old[0] = 1;
    return old;
  }

  /**
   * The record of a key that a replica has copied: promised ballot, accepted ballot, flags, value.
   */
  private static byte[] copiedState() {
    byte[] value = endedJob().encode();
    return ByteBuffer.allocate(4 * Long.BYTES + 1 + value.length)
        .putLong(6)
        .putLong(PROPOSER_ID)
        .putLong(5)
        .putLong(PROPOSER_ID)
        .put((byte) COPIED_FLAGS)
        .put(value)
        .array();
  }

  private static JobDescription description() {
    return new JobDescription(
        "route",
        "h.example",
        400,
        10_000,
        60_000,
        JobBodyCodec.blobName(body()),
        List.of(
            new JobRecord.Item("a", 940),
            new JobRecord.Item("b", 0),
            new JobRecord.Item("\u00fc", 7)));
  }

  private static Blob blob(String name, byte[] bytes) {
    Blob blob = new Blob();
    blob.name = name;
    blob.bytes = bytes;
    return blob;
  }

  /** A replica that handles the requests of this test and whose own calls are never answered. */
  private static final class IsolatedReplica {
    private final String voterSetName;
    private final HandlerRegistry handlers = new HandlerRegistry();
    private final Replica replica;
    private long round;

    IsolatedReplica(String voterSetName, DirectoryRecordStore disk) {
      this.voterSetName = voterSetName;
      replica =
          new Replica(
              new ReplicaIdentity(voterSetName, OWN_ADDRESS, OWN_MACHINE),
              new SynchronousRecords(disk, disk.instanceId()),
              new ReplicaListener() {},
              handlers,
              new UnansweredRpcClient(),
              new ManualTimers(),
              ProcessMetrics.strict());
    }

    /**
     * Runs the prepare and the accept phase for a key; the blobs are sent with the prepare request.
     */
    void commit(String key, byte[] value, List<Blob> blobs) {
      prepare(key, blobs);
      AcceptRequest request = new AcceptRequest();
      request.set = voterSetName;
      request.key = key;
      request.ballot = ballot(round);
      request.nextBallot = ballot(round + 1);
      request.value = value;
      request.voterSet = replica.voterSet();
      handle(request);
    }

    void prepare(String key, List<Blob> blobs) {
      PrepareRequest request = new PrepareRequest();
      request.set = voterSetName;
      request.key = key;
      request.ballot = ballot(++round);
      request.voterSet = replica.voterSet();
      request.blobs = new ArrayList<>(blobs);
      handle(request);
    }

    private void handle(Object request) {
      handlers.handle(request).toCompletableFuture().join();
    }

    private static Ballot ballot(long round) {
      Ballot ballot = new Ballot();
      ballot.round = round;
      ballot.proposerId = PROPOSER_ID;
      return ballot;
    }
  }

  private static final class UnansweredRpcClient implements RpcClient {
    @Override
    public <A> CompletableFuture<A> call(
        String address, Object request, Class<A> answer, long timeoutMs) {
      return new CompletableFuture<>();
    }
  }
}
