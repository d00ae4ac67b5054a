package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import elmsail.batch.BatchItem;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.store.JobStoreService;
import elmsail.consensus.Register;
import elmsail.consensus.RegisterClient;
import elmsail.consensus.VoterSetSource;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.simulation.SimNetwork;
import elmsail.simulation.SimNode;
import elmsail.storage.DirectoryRecordStore;
import elmsail.storage.RecordStore;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Control-plane nodes and stores start on the data directories that an earlier version wrote and
 * answer calls from that state. Guards against a change that makes such directories unreadable. The
 * directory belongs to the first of three voters; the second voter starts on a copy of it, the
 * third stays down.
 */
class PinnedDataDirectoriesStartTest {
  private static final long CALL_TIMEOUT_MS = 2_000;
  private static final long SETTLE_MS = 5_000;
  private static final Map<String, Long> INSTANCE_IDS_OF_COPIES = Map.of("n2", 22L);

  @TempDir Path temp;

  private final ManualTimers timers = new ManualTimers();
  private final SimNetwork net = new SimNetwork(1, timers);
  private final Map<String, RecordStore> disks = new TreeMap<>();
  private final Map<String, SimNode> nodes = new TreeMap<>();
  private final Map<String, ControlPlaneNode> controlPlaneNodes = new TreeMap<>();
  private final Map<String, StoreNode> stores = new TreeMap<>();
  private final Map<String, JobStoreService> jobStores = new TreeMap<>();

  @AfterEach
  void closeDisks() {
    disks.values().forEach(RecordStore::close);
  }

  private static String ip(String machine) {
    return "10.0.0." + machine.substring(1);
  }

  /**
   * The pinned voters have RPC port 7720, which is the second internal port of a control-plane
   * node.
   */
  private Settings settings(String machine, String service, int firstInternalPort) {
    return new Settings(
        machine,
        "r",
        "m",
        Set.of(service),
        ip(machine),
        "z",
        "r",
        Map.of(),
        Map.of("control", ip(machine) + ":8166"),
        firstInternalPort,
        7735,
        List.of("10.0.0.1:8166", "10.0.0.2:8166", "10.0.0.3:8166"),
        false,
        true,
        new Settings.Limits(1, 400, 4_000, 1_000, 64),
        temp.resolve(machine).toString(),
        Set.of(),
        1,
        new Settings.Bounds(
            3_000, 4_000, 5_000, 3_000, 8_000, 200, 2_000, 120, 120_000, 3_000, 1_000, 0.1, 2_000),
        null);
  }

  private RecordStore openCopy(String directory, String machine) throws Exception {
    Path pinned =
        Path.of(
            PinnedDataDirectoriesStartTest.class.getResource("pinned-data/" + directory).toURI());
    Path folder = Files.createDirectories(temp.resolve(machine));
    copyFiles(pinned, folder);
    DirectoryRecordStore disk = PinnedDataDirectories.open(folder);
    long instanceId = INSTANCE_IDS_OF_COPIES.getOrDefault(machine, disk.instanceId());
    RecordStore records = new SynchronousRecords(disk, instanceId);
    disks.put(machine, records);
    return records;
  }

  private static void copyFiles(Path from, Path to) throws IOException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(from)) {
      for (Path file : files) {
        Files.copy(file, to.resolve(file.getFileName().toString()));
      }
    }
  }

  private SimNode startNode(String machine) {
    SimNode node = net.startNode(ip(machine) + ":7720");
    nodes.put(machine, node);
    return node;
  }

  private void startControlPlaneNode(String machine, long processId) throws Exception {
    SimNode node = startNode(machine);
    NodeEnvironment environment =
        new NodeEnvironment(
            settings(machine, "head_office", 7719),
            node.timers(),
            node.rpcClient(),
            node.requestHandlers(),
            openCopy(PinnedDataDirectories.CONTROL_PLANE, machine),
            processId,
            ProcessMetrics.strict());
    ControlPlaneNode controlPlaneNode = new ControlPlaneNode(environment, null);
    controlPlaneNode.start();
    controlPlaneNodes.put(machine, controlPlaneNode);
  }

  /** Assembles a store in the same way as {@link StoreServer#start}. */
  private void startStore(String machine) throws Exception {
    SimNode node = startNode(machine);
    JobStoreService jobStore =
        new JobStoreService(
            node.timers(),
            () -> stores.containsKey(machine) && stores.get(machine).replica().isVoting(),
            key -> stores.get(machine).replica().dropKey(key),
            120_000,
            ProcessMetrics.strict());
    StoreNode store =
        new StoreNode(
            settings(machine, "vault", 7720),
            node.timers(),
            node.rpcClient(),
            node.requestHandlers(),
            openCopy(PinnedDataDirectories.STORE, machine),
            jobStore,
            ProcessMetrics.strict());
    stores.put(machine, store);
    jobStores.put(machine, jobStore);
    jobStore.registerHandlers(node.requestHandlers());
    jobStore.start();
    store.start();
  }

  private <T> T await(CompletableFuture<T> reply) {
    long endMs = timers.now() + 2 * CALL_TIMEOUT_MS;
    while (!reply.isDone() && timers.now() < endMs) {
      timers.advance(1);
    }
    assertThat("answered", reply.isDone(), is(true));
    return reply.join();
  }

  private String call(String machine, String method, String path, String basedOn, String body) {
    Map<String, String> headers = basedOn == null ? Map.of() : Map.of("elmsail-based-on", basedOn);
    SimpleHttpResponse response =
        await(
            controlPlaneNodes
                .get(machine)
                .operatorApi()
                .handle(new SimpleHttpRequest(method, path, Map.of(), headers, bytesOf(body))));
    return response.status() + " " + textOf(response.body());
  }

  private String get(String machine, String path) {
    return call(machine, "GET", path, null, "");
  }

  private String replace(String machine, String basedOn, long version) {
    String config = SimulatedCluster.config(version);
    return call(machine, "POST", "/Timetable.Replace", basedOn, config).substring(0, 3);
  }

  private static byte[] bytesOf(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String textOf(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private void startControlPlane() throws Exception {
    startControlPlaneNode("n1", 1_001);
    startControlPlaneNode("n2", 1_002);
    timers.advance(SETTLE_MS);
  }

  private void startStores() throws Exception {
    startStore("n1");
    startStore("n2");
    timers.advance(SETTLE_MS);
  }

  @Test
  void controlPlaneNodesAnswerOperatorsFromThePinnedDirectory() throws Exception {
    startControlPlane();
    for (String machine : List.of("n1", "n2")) {
      assertThat(controlPlaneNodes.get(machine).voters().isVoting(), is(true));
      assertThat(get(machine, "/Timetable.Read"), is("200 {\"edition\":400}"));
      assertThat(get(machine, "/Retire.Read/n2"), is("200 {\"state\":\"in_service\"}"));
      assertThat(get(machine, "/Retire.Read/n5"), is("200 {\"state\":\"in_service\"}"));
      assertThat(get(machine, "/Retire.Read/n7").substring(0, 3), is("404"));
    }
  }

  @Test
  void controlPlaneNodesChangeThePinnedConfiguration() throws Exception {
    startControlPlane();
    assertThat(replace("n1", "3", 401), is("412"));
    assertThat(replace("n1", "400", 401), is("200"));
    assertThat(get("n2", "/Timetable.Read"), is("200 " + SimulatedCluster.config(401)));
  }

  @Test
  void controlPlaneNodesGiveThePinnedStateToAGateway() throws Exception {
    startControlPlane();
    SimNode gateway = net.startNode("10.0.0.9:7720");
    PullRequest request = new PullRequest();
    request.machine = "n9";
    request.address = "10.0.0.9:7720";
    request.role = "gateway";
    request.instanceId = 9;
    PullResponse response =
        await(
            gateway
                .rpcClient()
                .call("10.0.0.2:7720", request, PullResponse.class, CALL_TIMEOUT_MS));
    assertThat(response.configVersion, is(400L));
    assertThat(textOf(response.config), is("{\"edition\":400}"));
    assertThat(
        describe(response.view.jobStoreVoters),
        contains("10.0.0.1:7720 n1/1", "10.0.0.2:7720 n2/1", "10.0.0.3:7720 n3/1"));
    assertThat(
        describe(response.view.controlPlaneVoters),
        contains("10.0.0.1:7720 n1/1", "10.0.0.2:7720 n2/1", "10.0.0.3:7720 n3/1"));
    assertThat(response.view.controlPlaneVoters.voters.get(1).instanceId, is(22L));
    assertThat(response.view.controlPlaneVoters.voters.get(2).instanceId, is(-33L));
  }

  private static List<String> describe(VoterSet voterSet) {
    return voterSet.voters.stream()
        .map(voter -> voter.address + " " + voter.machine + "/" + voter.epoch)
        .toList();
  }

  @Test
  void singletonLeaseContinuesFromThePinnedTerm() throws Exception {
    startControlPlane();
    List<Long> terms =
        controlPlaneNodes.values().stream()
            .map(node -> node.leaseTerm())
            .filter(term -> term > 0)
            .toList();
    assertThat(terms, contains(5L));
  }

  private Register jobRegister() {
    SimNode gateway = net.startNode("10.0.0.9:7720");
    VoterSetSource voterSets =
        new VoterSetSource() {
          @Override
          public VoterSet current() {
            return stores.get("n1").replica().voterSet();
          }

          @Override
          public void learn(VoterSet newer) {
            // The voter set of store n1 is always the newest.
          }
        };
    return new RegisterClient(
        "shelf", gateway.rpcClient(), gateway.timers(), voterSets, 77, "", address -> 1);
  }

  private BatchJobClient jobClient() {
    return new BatchJobClient(jobRegister(), ProcessMetrics.strict().invariants());
  }

  private static JobDescription expectedDescription(String bodyBlobName) {
    return new JobDescription(
        "route",
        "h.example",
        400,
        10_000,
        60_000,
        bodyBlobName,
        List.of(
            new JobRecord.Item("a", 940),
            new JobRecord.Item("b", 0),
            new JobRecord.Item("\u00fc", 7)));
  }

  @Test
  void storesAnswerReadsOfJobsFromThePinnedDirectory() throws Exception {
    startStores();
    BatchJobClient jobs = jobClient();
    JobRecord open = await(jobs.read("open-job", CALL_TIMEOUT_MS));
    assertThat(
        open,
        is(
            new JobRecord(
                4,
                expectedDescription(open.bodyBlobName()),
                List.of(new JobRecord.Result(1, true, 2, 20), new JobRecord.Result(0, false, 1, 0)),
                false,
                "10.0.0.1:7720",
                2,
                1_234,
                List.of(new JobRecord.FailedAttempts(2, 3)))));
    JobRecord ended =
        new JobRecord(
            2,
            expectedDescription(open.bodyBlobName()),
            List.of(),
            true,
            "10.0.0.1:7720",
            1,
            5,
            List.of());
    for (String jobId : List.of("ended/50%", "old-job", "copied-job")) {
      assertThat(jobId, await(jobs.read(jobId, CALL_TIMEOUT_MS)), is(ended));
    }
    for (String jobId : List.of("refused-job", "dropped-job")) {
      assertThat(jobId, await(jobs.read(jobId, CALL_TIMEOUT_MS)), is(nullValue()));
    }
    assertThat(jobStores.get("n1").size(), greaterThanOrEqualTo(4));
  }

  @Test
  void storesAnswerReadsOfBodiesAndTextsFromThePinnedDirectory() throws Exception {
    startStores();
    BatchJobClient jobs = jobClient();
    JobRecord open = await(jobs.read("open-job", CALL_TIMEOUT_MS));
    byte[] text = await(jobs.readText("open-job", open.results().get(0), CALL_TIMEOUT_MS));
    assertThat(textOf(text), is("the text of a result"));
    List<BatchItem> items = await(jobs.readItems("open-job", open, CALL_TIMEOUT_MS));
    assertThat(items.stream().map(BatchItem::path).toList(), contains("/p/1", "/p/2", "/p/3"));
    assertThat(items.get(0).headers(), is(Map.of("Content-Type", "t/p")));
    assertThat(items.get(0).body(), equalTo(new byte[] {1, 2}));
    assertThat(items.get(2).headers(), is(Map.of("X", "y z")));
    assertThat(items.get(2).body(), equalTo(new byte[] {3}));
  }

  @Test
  void storesReportTheOpenPinnedJobAsAbandoned() throws Exception {
    startStores();
    SimNode gateway = net.startNode("10.0.0.9:7720");
    byte[] afterMs = new ByteWriter().writeVarint(1_000).toByteArray();
    OpaqueMessage reply =
        await(
            gateway
                .rpcClient()
                .call(
                    "10.0.0.2:7720",
                    BatchMessageTypes.message(BatchMessageTypes.ABANDONED, afterMs),
                    OpaqueMessage.class,
                    CALL_TIMEOUT_MS));
    assertThat(reply.kind, is("lots/orphans"));
    List<String> abandoned = new ArrayList<>();
    for (AbandonedJob job : AbandonedJob.decode(reply.bytes)) {
      abandoned.add(job.jobId() + " term " + job.term());
    }
    assertThat(abandoned, contains("open-job term 2"));
  }

  @Test
  void storesCommitAChangeOfAPinnedJob() throws Exception {
    startStores();
    Register register = jobRegister();
    Register.CommittedState outcome =
        await(
            register.change(
                "lot/open-job",
                found ->
                    new Register.ProposedValue(
                        JobRecord.decode(found.value()).withCancellation().encode(), List.of()),
                List.of(),
                null,
                CALL_TIMEOUT_MS));
    assertThat(outcome.changed(), is(true));
    for (String machine : List.of("n1", "n2")) {
      JobRecord kept =
          JobRecord.decode(stores.get(machine).replica().acceptedValue("lot/open-job"));
      assertThat(kept.version(), is(5L));
      assertThat(kept.cancelled(), is(true));
      assertThat(kept.results().size(), is(2));
    }
  }
}
