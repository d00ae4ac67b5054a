package elmsail.app;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import elmsail.rpc.RpcEndpoint;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.PrometheusText;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Names that are known outside of the program: in dashboards, scripts, settings and clients. */
class PinnedNamesTest {

  private static JsonNode deploy(String file) throws IOException {
    Path folder = Path.of("").toAbsolutePath();
    while (!Files.exists(folder.resolve("deploy/system.toml"))) {
      folder = folder.getParent();
    }
    return new TomlMapper().readTree(Files.readString(folder.resolve("deploy").resolve(file)));
  }

  private static List<String> keys(JsonNode node) {
    List<String> keys = new ArrayList<>();
    node.fieldNames().forEachRemaining(keys::add);
    return keys;
  }

  @Test
  void exitCodes() {
    assertThat(
        List.of(ExitCode.OK.code(), ExitCode.FAILED.code(), ExitCode.INVALID_USAGE.code()),
        contains(0, 1, 2));
  }

  @Test
  void keysOfTheSystemsDeployFile() throws IOException {
    JsonNode system = deploy("system.toml");
    assertThat(keys(system), contains("build", "packages", "roles"));
    assertThat(system.path("build").asText(), is("sh deploy/system.sh"));
    JsonNode roles = system.path("roles");
    assertThat(keys(roles), contains("gateway", "controlplane", "store"));
    assertRole(roles.path("gateway"), "counter", "counter", "ready/metrics", "GatewayMain");
    assertRole(
        roles.path("controlplane"),
        "counter",
        "head_office",
        "control/metrics",
        "ControlPlaneMain");
    assertRole(roles.path("store"), "vault", "vault", "", "ControlPlaneMain");
  }

  private static void assertRole(
      JsonNode role, String on, String serves, String metrics, String main) {
    assertThat(keys(role).subList(0, 4), contains("run", "on", "share", "serves"));
    assertThat(role.path("on").asText(), is(on));
    assertThat(role.path("serves").size(), is(1));
    assertThat(role.path("serves").path(0).asText(), is(serves));
    assertThat(role.path("metrics").asText(""), is(metrics));
    assertThat(
        role.path("run").asText(), containsString("-cp target/elmsail.jar elmsail.app." + main));
  }

  @Test
  void keysOfTheBalancersDeployFile() throws IOException {
    JsonNode balancer = deploy("balancer.toml");
    assertThat(keys(balancer), contains("build", "run", "sim", "policy", "node", "packages"));
    assertThat(balancer.path("build").asText(), is("sh deploy/build.sh"));
    assertThat(
        balancer.path("run").asText(), containsString("-jar front/target/willowdoor.jar serve"));
    assertThat(
        balancer.path("sim").asText(),
        containsString("-jar front/target/willowdoor.jar benchlink"));
  }

  /** The classes themselves are named in deploy files and scripts. */
  @Test
  void programs() {
    assertThat(
        List.of(GatewayMain.class, ControlPlaneMain.class, CheckMain.class).stream()
            .map(Class::getName)
            .toList(),
        contains(
            "elmsail.app.GatewayMain", "elmsail.app.ControlPlaneMain", "elmsail.app.CheckMain"));
  }

  @Test
  void metricsOfEveryProcess() throws Exception {
    NettyEventLoop loop = new NettyEventLoop();
    try {
      CompletableFuture<String> text = new CompletableFuture<>();
      loop.execute(
          () ->
              text.complete(
                  PrometheusText.format(
                      ProcessGauges.register(
                              loop, new RpcEndpoint(loop.eventLoop(), loop, "127.0.0.1:1"))
                          .counters())));
      assertThat(
          text.get()
              .lines()
              .filter(line -> line.startsWith("# TYPE "))
              .filter(line -> !line.contains("_rpc_") && !line.contains("_invariant_"))
              .toList(),
          contains(
              "# TYPE elmsail_process_uptime_s gauge",
              "# TYPE elmsail_process_heap_used_mb gauge",
              "# TYPE elmsail_loop_faults counter",
              "# TYPE elmsail_loop_delay_ms histogram"));
    } finally {
      loop.shutdown().get();
    }
  }
}
