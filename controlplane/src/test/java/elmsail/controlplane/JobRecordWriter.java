package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import elmsail.consensus.Register;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Writes jobs with a body each to the stores, like a gateway that reaches all stores, and reads
 * them back. Checks that an acknowledged job is never read as absent.
 */
final class JobRecordWriter {
  private static final int MAX_PENDING = 3;
  private static final int CALL_TIMEOUT_MS = 1_500;
  private static final byte[] BODY = new byte[3_000];
  private static final byte[] RECORD = {1};

  private final String scenario;
  private final SimulatedCluster cluster;
  private final Random random;
  private final JobStoreClient client;
  private final Register register;
  private final Set<String> lostStores = new HashSet<>();
  private final List<Integer> written = new ArrayList<>();
  private int nextJob;
  private int pendingCalls;

  JobRecordWriter(String scenario, SimulatedCluster cluster, Random random) {
    this.scenario = scenario;
    this.cluster = cluster;
    this.random = random;
    client = new JobStoreClient(cluster, this::votingStores);
    register = client.register();
  }

  /** Stops reading the voter set of that store, which is lost permanently. */
  void ignoreStore(String store) {
    lostStores.add(store);
  }

  /** The newest voter set of the running stores that vote. */
  VoterSet newestVoterSet() {
    return client.current();
  }

  private List<String> votingStores() {
    List<String> voting = new ArrayList<>();
    for (String store : cluster.stores.keySet()) {
      boolean isRunning = cluster.net.nodeAt(cluster.address(store)) != null;
      if (isRunning
          && !lostStores.contains(store)
          && cluster.stores.get(store).replica().isVoting()) {
        voting.add(store);
      }
    }
    return voting;
  }

  int written() {
    return written.size();
  }

  /** Begins a write or a read unless the limit of pending calls is reached. */
  void step() {
    if (pendingCalls >= MAX_PENDING || newestVoterSet().voters.isEmpty()) {
      return;
    }
    pendingCalls++;
    if (written.isEmpty() || random.nextBoolean()) {
      write(nextJob++);
    } else {
      read(written.get(random.nextInt(written.size())));
    }
  }

  private void write(int job) {
    Blob body = new Blob();
    body.name = "body";
    body.bytes = BODY;
    register
        .change(
            "lot/" + job,
            found -> new Register.ProposedValue(RECORD, List.of()),
            List.of(body),
            null,
            CALL_TIMEOUT_MS)
        .whenComplete(
            (outcome, failure) -> {
              pendingCalls--;
              if (failure == null) {
                written.add(job);
              }
            });
  }

  private void read(int job) {
    register
        .read("lot/" + job, null, CALL_TIMEOUT_MS)
        .whenComplete(
            (current, failure) -> {
              pendingCalls--;
              if (failure == null && current.value() == null) {
                jobsReadAsAbsent.add(job);
              }
            });
  }

  /** Jobs read as absent although they were acknowledged. */
  private final List<Integer> jobsReadAsAbsent = new ArrayList<>();

  /** Asserts that each acknowledged job has its body now, and was never read as absent. */
  void assertAllJobsReadable() {
    assertThat(scenario + ": read as absent", jobsReadAsAbsent, equalTo(List.of()));
    for (int job : List.copyOf(written)) {
      String description = scenario + ": job " + job;
      CompletableFuture<Register.VersionedValue> value =
          register.read("lot/" + job, null, CALL_TIMEOUT_MS);
      assertThat(description, cluster.awaitWithin(2 * CALL_TIMEOUT_MS, value::isDone), is(true));
      assertThat(description, value.join().value(), equalTo(RECORD));
      CompletableFuture<byte[]> body = register.readBlob("lot/" + job, "body", CALL_TIMEOUT_MS);
      assertThat(description, cluster.awaitWithin(2 * CALL_TIMEOUT_MS, body::isDone), is(true));
      assertThat(description, body.join(), notNullValue());
      assertThat(description, body.join().length, is(BODY.length));
    }
  }
}
