package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.RpcEndpoint;
import elmsail.runtime.HeldPort;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.storage.DirectoryRecordStore;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One control-plane node with its sockets and its disk, over loopback. */
class ControlPlaneTest {
  @TempDir Path dir;

  private final List<HeldPort> heldPorts = new ArrayList<>();

  @BeforeEach
  void holdPorts() throws IOException {
    heldPorts.addAll(HeldPort.consecutive(4));
  }

  @AfterEach
  void releasePorts() throws IOException {
    for (HeldPort port : heldPorts) {
      port.close();
    }
  }

  private static Settings settings(
      Path dir, boolean firstStart, int controlPort, int lastInternalPort) {
    String control = "127.0.0.1:" + controlPort;
    return new Settings(
        "n1",
        "controlplane",
        "counter",
        Set.of("head_office"),
        "127.0.0.1",
        "z",
        "r",
        Map.of(),
        Map.of("control", control),
        lastInternalPort - 1,
        lastInternalPort,
        List.of(control),
        firstStart,
        true,
        new Settings.Limits(1, 400, 4_000, 1_000, 64),
        dir.toString(),
        Set.of(),
        1,
        new Settings.Bounds(
            3_000, 4_000, 5_000, 3_000, 8_000, 200, 2_000, 120, 120_000, 3_000, 1_000, 0.1, 2_000),
        null);
  }

  private static String call(String control, String method, String path, String body)
      throws IOException {
    HttpURLConnection http =
        (HttpURLConnection) URI.create("http://" + control + path).toURL().openConnection();
    http.setRequestMethod(method);
    http.setReadTimeout(5_000);
    http.setRequestProperty("Connection", "close");
    if (body != null) {
      http.setDoOutput(true);
      http.setRequestProperty("Elmsail-Based-On", "0");
      try (OutputStream out = http.getOutputStream()) {
        out.write(body.getBytes(StandardCharsets.UTF_8));
      }
    }
    int status = http.getResponseCode();
    if (status != 200) {
      return String.valueOf(status);
    }
    return new String(http.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  private interface Calls {
    void sendTo(String control) throws IOException;
  }

  private static void runServer(Settings settings, Calls calls) throws Exception {
    NettyEventLoop loop = new NettyEventLoop();
    RpcEndpoint rpc = new RpcEndpoint(loop.eventLoop(), loop, settings.rpcAddress());
    DirectoryRecordStore records =
        DirectoryRecordStore.open(Path.of(settings.dataDir()), 64 << 20, loop::execute);
    CompletableFuture<ControlPlaneServer> started = new CompletableFuture<>();
    loop.execute(
        () ->
            rpc.listen()
                .thenCompose(
                    none ->
                        ControlPlaneServer.start(
                            settings, loop, rpc, records, ProcessMetrics.strict()))
                .whenComplete(
                    (controlPlane, failed) -> {
                      if (failed == null) {
                        started.complete(controlPlane);
                      } else {
                        started.completeExceptionally(failed);
                      }
                    }));
    try {
      ControlPlaneServer controlPlane = started.get(10, TimeUnit.SECONDS);
      calls.sendTo(settings.listenAddresses().get("control"));
      CompletableFuture<Void> ended = new CompletableFuture<>();
      loop.execute(() -> controlPlane.shutdown().thenRun(() -> ended.complete(null)));
      ended.get(1, TimeUnit.SECONDS);
    } finally {
      loop.execute(rpc::close);
      records.close();
      loop.shutdown().get(5, TimeUnit.SECONDS);
    }
  }

  @Test
  @Timeout(60)
  void committedConfigSurvivesRestart() throws Exception {
    int controlPort = heldPorts.get(0).port();
    int lastInternalPort = heldPorts.get(2).port();
    runServer(
        settings(dir, true, controlPort, lastInternalPort),
        control -> {
          assertThat(call(control, "GET", "/Nothing", null), equalTo("404"));
          // The node becomes a voter within some hundred ms; each call waits for a majority for up
          // to 0.9 s.
          String reply = call(control, "POST", "/Timetable.Replace", SimulatedCluster.config(4));
          for (int i = 0; i < 5 && !reply.equals("{}"); i++) {
            reply = call(control, "POST", "/Timetable.Replace", SimulatedCluster.config(4));
          }
          assertThat(reply, is("{}"));
          assertThat(
              call(control, "GET", "/Timetable.Read", null), equalTo(SimulatedCluster.config(4)));
          String metrics = call(control, "GET", "/metrics", null);
          assertThat(metrics, containsString("elmsail_control_orders_acknowledged 1\n"));
          assertThat(metrics, containsString("elmsail_replica_voting 1\n"));
          assertThat(call(control, "POST", "/metrics", ""), equalTo("405"));
        });
    runServer(
        settings(dir, false, controlPort, lastInternalPort),
        control -> {
          assertThat(
              call(control, "GET", "/Timetable.Read", null), equalTo(SimulatedCluster.config(4)));
          assertThat(
              call(control, "POST", "/Timetable.Replace", SimulatedCluster.config(4)), is("{}"));
        });
  }

  @Test
  @Timeout(60)
  void storeServesMetricsAtItsThirdInternalPort() throws Exception {
    Settings settings = settings(dir, true, heldPorts.get(0).port(), heldPorts.get(2).port());
    NettyEventLoop loop = new NettyEventLoop();
    RpcEndpoint rpc = new RpcEndpoint(loop.eventLoop(), loop, "127.0.0.1:0");
    DirectoryRecordStore records =
        DirectoryRecordStore.open(Path.of(settings.dataDir()), 64 << 20, loop::execute);
    CompletableFuture<StoreServer> started = new CompletableFuture<>();
    loop.execute(
        () ->
            StoreServer.start(settings, loop, rpc, records, ProcessMetrics.strict())
                .thenAccept(started::complete));
    try {
      StoreServer store = started.get(10, TimeUnit.SECONDS);
      String metrics = call(settings.metricsAddress(), "GET", "/metrics", null);
      assertThat(metrics, containsString("elmsail_replica_voting 0\n"));
      assertThat(metrics, containsString("elmsail_store_batch_jobs_kept 0\n"));
      assertThat(call(settings.metricsAddress(), "GET", "/ready", null), equalTo("404"));
      CompletableFuture<Void> ended = new CompletableFuture<>();
      loop.execute(() -> store.shutdown().thenRun(() -> ended.complete(null)));
      ended.get(1, TimeUnit.SECONDS);
    } finally {
      loop.execute(rpc::close);
      records.close();
      loop.shutdown().get(5, TimeUnit.SECONDS);
    }
  }
}
