package elmsail.app;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import elmsail.runtime.HeldPort;
import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Real processes that are started while another socket holds one of their listen addresses. */
@Timeout(120)
class AddressInUseTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int PORTS = 6;

  /** The ports of a process follow each other: front, ready, control, then three internal ones. */
  private enum Taken {
    GATEWAY_FRONT(GatewayMain.class, "counter", 0, "mail_slots.front"),
    GATEWAY_READY(GatewayMain.class, "counter", 1, "mail_slots.ready"),
    GATEWAY_RPC(GatewayMain.class, "counter", 3, "inner_ports"),
    GATEWAY_LOAD_REPORTS(GatewayMain.class, "counter", 3, "inner_ports"),
    CONTROL_PLANE_CONTROL(ControlPlaneMain.class, "head_office", 2, "mail_slots.control"),
    CONTROL_PLANE_RPC(ControlPlaneMain.class, "head_office", 4, "inner_ports"),
    STORE_RPC(ControlPlaneMain.class, "vault", 3, "inner_ports"),
    STORE_METRICS(ControlPlaneMain.class, "vault", 5, "inner_ports");

    final Class<?> program;
    final String serves;
    final int portOffset;
    final String setting;

    Taken(Class<?> program, String serves, int portOffset, String setting) {
      this.program = program;
      this.serves = serves;
      this.portOffset = portOffset;
      this.setting = setting;
    }

    Closeable hold(int port) throws IOException {
      return this == GATEWAY_LOAD_REPORTS
          ? new DatagramSocket(port, LOOPBACK)
          : new ServerSocket(port, 1, LOOPBACK);
    }
  }

  @TempDir private Path folder;

  private String settings(String serves, int port) {
    return """
        {"station":"m1","role":"the-role","serves":["%s"],"ip":"127.0.0.1","zone":"z",
         "mail_slots":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d","control":"127.0.0.1:%d"},
         "inner_ports":[%d,%d],"seed_stations":["127.0.0.1:%d"],"first_start":true,
         "data_dir":"%s"}
        """
        .formatted(
            serves,
            port,
            port + 1,
            port + 2,
            port + 3,
            port + 5,
            port + 2,
            folder.resolve("data").toString());
  }

  @ParameterizedTest
  @EnumSource
  void programEndsWithALineThatNamesTheAddressAndTheSetting(Taken taken) throws Exception {
    List<HeldPort> held = HeldPort.consecutive(PORTS);
    int port = held.get(0).port();
    // The process may bind all of them but the one that another socket listens at.
    Path file = folder.resolve("settings.json");
    Files.writeString(file, settings(taken.serves, port));
    Path log = folder.resolve("log");
    Closeable listening = taken.hold(port + taken.portOffset);
    try {
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  taken.program.getName(),
                  "--settings",
                  file.toString())
              .redirectErrorStream(true)
              .redirectOutput(log.toFile())
              .start();
      try {
        assertThat("ended", process.waitFor(100, TimeUnit.SECONDS), is(true));
      } finally {
        process.destroyForcibly();
      }
      assertThat(process.exitValue(), is(ExitCode.FAILED.code()));
    } finally {
      listening.close();
      for (HeldPort each : held) {
        each.close();
      }
    }
    String printed = Files.readString(log);
    assertThat(
        printed,
        containsString(
            "role the-role: cannot listen at 127.0.0.1:" + (port + taken.portOffset) + ": "));
    assertThat(
        printed,
        containsString("end the process that holds the address, or change " + taken.setting));
    assertThat(printed, not(containsString("listening at")));
  }
}
