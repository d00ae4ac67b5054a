package elmsail.app;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import elmsail.consensus.Replica;
import elmsail.consensus.ReplicaIdentity;
import elmsail.consensus.ReplicaListener;
import elmsail.consensus.RestoredReplica;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.storage.DirectoryRecordStore;
import elmsail.storage.RecordStore.Change;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class CheckMainTest {
  private static final String GOOD =
      "{\"edition\":7,\"postal_lines\":[{\"name\":\"a\"}],\"routes\":["
          + "{\"name\":\"r\",\"depot\":\"h.example\",\"lane_prefix\":\"/x/\",\"route_class\":\"safe\","
          + "\"give_up_ms\":5,\"postal_line\":\"a\"}]}";
  private static final String BAD =
      "{\"edition\":0,\"limits\":{\"idle_ms\":\"x\"},"
          + "\"postal_lines\":[{\"name\":\"a\"},{\"name\":\"b\",\"health\":1},{\"name\":\"a\"}],\"routes\":["
          + "{\"name\":\"r\",\"depot\":\"h.example\",\"lane_prefix\":\"/x/\",\"route_class\":\"safe\","
          + "\"give_up_ms\":0,\"postal_line\":\"a\"},"
          + "{\"name\":\"s\",\"depot\":\"h.example\",\"lane_prefix\":\"/y/\",\"route_class\":\"safe\","
          + "\"give_up_ms\":5,\"postal_line\":\"b\"},"
          + "{\"name\":\"t\",\"depot\":\"h.example\",\"lane_prefix\":\"/y/\",\"route_class\":\"safe\","
          + "\"give_up_ms\":5,\"postal_line\":\"b\"},"
          + "{\"name\":\"u\",\"depot\":\"h.example\",\"lane_prefix\":\"/z/\",\"route_class\":\"safe\","
          + "\"give_up_ms\":5,\"postal_line\":\"c\"}]}";

  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitCode run(String... args) {
    return new CheckMain(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(args);
  }

  private String printed() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String file(String json) throws IOException {
    return Files.writeString(directory.resolve("timetable.json"), json).toString();
  }

  @Test
  void reportsAValidConfiguration() throws Exception {
    assertThat(run("--timetable", file(GOOD)), is(ExitCode.OK));
    assertThat(run("--timetable", file(GOOD), "--json"), is(ExitCode.OK));
    assertThat(
        printed().lines().toList(),
        contains("edition 7 is valid by itself", "{\"valid\":true,\"edition\":7,\"faults\":[]}"));
  }

  @Test
  void reportsEveryFaultyPartWithItsPath() throws Exception {
    assertThat(run("--timetable", file(BAD)), is(ExitCode.INVALID_USAGE));
    assertThat(
        printed().lines().toList(),
        contains(
            "edition: is not a whole number above 0",
            "limits.idle_ms: is not a number",
            "postal_lines[1].health: is not a text",
            "postal_lines[2].name: two services are called a",
            "routes[0].give_up_ms: is 0",
            "routes[2].lane_prefix: two routes have h.example and /y/",
            "routes[3].postal_line: the service c is not known"));
    out.reset();
    assertThat(run("--timetable", file(BAD), "--json"), is(ExitCode.INVALID_USAGE));
    assertThat(
        printed(),
        allOf(
            containsString("\"valid\":false"),
            containsString("\"limits.idle_ms: "),
            containsString("\"routes[3].postal_line: ")));
  }

  @Test
  void reportsOneFaultForIncompleteDocuments() throws Exception {
    assertThat(run("--timetable", file(GOOD.substring(0, 30))), is(ExitCode.INVALID_USAGE));
    assertThat(printed().lines().count(), is(1L));
    out.reset();
    assertThat(
        run("--timetable", file("{\"edition\":1,\"routes\":3}")), is(ExitCode.INVALID_USAGE));
    assertThat(
        printed().lines().toList(), contains("postal_lines: is missing", "routes: is not a list"));
    out.reset();
    String twice = GOOD.replace("\"give_up_ms\":5", "\"give_up_ms\":5,\"give_up_ms\":6");
    assertThat(run("--timetable", file(twice)), is(ExitCode.INVALID_USAGE));
    assertThat(printed().lines().count(), is(1L));
    assertThat(printed(), containsString("Duplicate field 'give_up_ms'"));
  }

  @Test
  void readsADataDirectoryWithoutChangingIt() throws Exception {
    Path data = directory.resolve("data");
    long instanceId = write(data);
    Files.write(data.resolve("v-0000000000000099.part"), new byte[] {1});
    Map<String, ByteBuffer> before = bytes(data);
    assertThat(run("--data", data.toString()), is(ExitCode.OK));
    assertThat(
        printed(),
        allOf(
            containsString("instance " + Long.toHexString(instanceId) + ", "),
            containsString("set head: slot 0, votes"),
            containsString(
                "  slot 0: 127.0.0.1:7721 n1, instance "
                    + Long.toHexString(instanceId)
                    + ", epoch 1"),
            containsString("  slot 1: 127.0.0.2:7721 n2, instance 5, epoch 1"),
            containsString(
                "  key time/table: promised 3.4, accepted 2.4, value of 2 bytes, 1 blobs")));
    assertThat(printed(), not(containsString("set notary")));
    out.reset();
    assertThat(run("--data", data.toString(), "--json"), is(ExitCode.OK));
    assertThat(
        printed(),
        allOf(
            containsString("\"own_slot\":0,\"caught_up\":1,\"votes\":true"),
            containsString(
                "{\"key\":\"time/table\",\"promised\":\"3.4\",\"accepted\":\"2.4\",\"copied\":false,"
                    + "\"value_bytes\":2,\"blobs\":1}")));
    assertThat(bytes(data), is(before));
  }

  /**
   * A replica writes its voter set; a key's record is laid beside it as consensus's KeyState writes
   * it.
   */
  private static long write(Path data) {
    ManualTimers timers = new ManualTimers();
    try (DirectoryRecordStore records = DirectoryRecordStore.open(data, 1 << 24, Runnable::run)) {
      Replica replica =
          new Replica(
              new ReplicaIdentity("head", "127.0.0.1:7721", "n1"),
              records,
              new ReplicaListener() {},
              new NoAnswers(),
              new NoCalls(),
              timers,
              ProcessMetrics.strict());
      VoterSet voterSet = new VoterSet();
      voterSet.voters.add(slot("127.0.0.1:7721", "n1", records.instanceId()));
      voterSet.voters.add(slot("127.0.0.2:7721", "n2", 5));
      voterSet.voters.add(slot("127.0.0.3:7721", "n3", 6));
      replica.bootstrap(voterSet);
      byte[] state =
          ByteBuffer.allocate(35)
              .putLong(3)
              .putLong(4)
              .putLong(2)
              .putLong(4)
              .put((byte) 1)
              .put((byte) 8)
              .put((byte) 9)
              .array();
      records
          .write(
              List.of(
                  new Change("head/k/time%2Ftable", state),
                  new Change("head/b/time%2Ftable/one", new byte[9]),
                  new Change("notary/born", new byte[] {1})))
          .join();
      assertThat(RestoredReplica.of(records).size(), is(1));
      return records.instanceId();
    }
  }

  private static Voter slot(String address, String station, long instanceId) {
    Voter slot = new Voter();
    slot.address = address;
    slot.machine = station;
    slot.instanceId = instanceId;
    slot.epoch = 1;
    return slot;
  }

  private static final class NoAnswers implements RequestHandlers {
    @Override
    public <Q, A> void register(
        Class<Q> request, Function<Q, ? extends CompletionStage<A>> handler) {
      // Nobody asks.
    }
  }

  private static final class NoCalls implements RpcClient {
    @Override
    public <A> CompletableFuture<A> call(
        String address, Object request, Class<A> answer, long timeoutMs) {
      return new CompletableFuture<>();
    }
  }

  private static Map<String, ByteBuffer> bytes(Path data) throws IOException {
    Map<String, ByteBuffer> all = new TreeMap<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(data)) {
      for (Path file : files) {
        all.put(file.getFileName().toString(), ByteBuffer.wrap(Files.readAllBytes(file)));
      }
    }
    return all;
  }

  @Test
  void reportsWhatCannotBeRead() throws Exception {
    assertThat(run("--data", directory.resolve("none").toString()), is(ExitCode.FAILED));
    Path empty = Files.createDirectory(directory.resolve("empty"));
    assertThat(run("--data", empty.toString()), is(ExitCode.FAILED));
    assertThat(bytes(empty).size(), is(0));
    Path data = directory.resolve("data");
    write(data);
    String last = ((TreeMap<String, ByteBuffer>) bytes(data)).lastKey();
    byte[] whole = Files.readAllBytes(data.resolve(last));
    Files.write(data.resolve(last), Arrays.copyOf(whole, whole.length - 3));
    assertThat(run("--data", data.toString()), is(ExitCode.FAILED));
    assertThat(run("--timetable", directory.resolve("none").toString()), is(ExitCode.FAILED));
    assertThat(
        err.toString(StandardCharsets.UTF_8),
        allOf(
            containsString("no records in"),
            containsString("is corrupt at offset"),
            containsString("NoSuchFile")));
  }

  @Test
  void validatesTheCommandLine() {
    assertThat(run(), is(ExitCode.INVALID_USAGE));
    assertThat(run("--data", "a", "--timetable", "b"), is(ExitCode.INVALID_USAGE));
    assertThat(run("--data", "a", "more"), is(ExitCode.INVALID_USAGE));
    assertThat(run("--help"), is(ExitCode.OK));
    assertThat(printed(), containsString("Exit codes"));
  }
}
