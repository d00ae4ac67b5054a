package elmsail.app;

import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.Settings;
import elmsail.runtime.SettingsFile;
import elmsail.runtime.http.NettyHttpClient;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * A run of an application for the build alone ({@code --rehearse}): it is started with settings for
 * loopback, receives a few requests and is shut down, so that the runtime can dump a class-data
 * sharing (CDS) archive of the classes that a start loads.
 */
final class CdsTrainingRun {

  private static final long MAX_RUN_MS = 20_000;
  private static final long WARM_UP_MS = 200;
  private static final long REQUEST_TIMEOUT_MS = 2_000;
  private static final String[] PATHS = {
    "/ready", "/Timetable.Read", "/none?of=these", "/lots/7c41e09b52d6a3f8"
  };

  private CdsTrainingRun() {}

  /** Runs the application once; deletes its temporary files. */
  static ExitCode run(Application application, PrintStream err) {
    Path directory = null;
    try {
      directory = Files.createTempDirectory("elmsail");
      Path file =
          Files.writeString(
              directory.resolve("settings.json"), settings(application.name(), directory));
      Settings settings = SettingsFile.read(file);
      return ApplicationRunner.run(
          application,
          file,
          settings,
          (shutDown, loop) -> {
            loop.schedule(MAX_RUN_MS, () -> Runtime.getRuntime().halt(ExitCode.FAILED.code()));
            loop.schedule(WARM_UP_MS, () -> sendRequests(shutDown, loop, settings));
          });
    } catch (IOException e) {
      e.printStackTrace(err);
      return ExitCode.FAILED;
    } finally {
      delete(directory);
    }
  }

  /** Sends each path to each address, then shuts the application down. */
  private static void sendRequests(Runnable shutDown, NettyEventLoop loop, Settings settings) {
    NettyHttpClient client = new NettyHttpClient(loop);
    List<CompletableFuture<?>> responses = new ArrayList<>();
    for (String address : settings.listenAddresses().values()) {
      for (String path : PATHS) {
        // Only the classes that are loaded count here; the responses are tested elsewhere.
        responses.add(client.get(address, path, REQUEST_TIMEOUT_MS).exceptionally(failure -> null));
      }
    }
    CompletableFuture.allOf(responses.toArray(new CompletableFuture<?>[0])).thenRun(shutDown);
  }

  private static String settings(String application, Path directory) throws IOException {
    boolean gateway = application.equals("gateway");
    int[] ports = freePorts(5);
    String here = "\"127.0.0.1:";
    String slots =
        gateway
            ? "\"front\":" + here + ports[0] + "\",\"ready\":" + here + ports[1] + "\""
            : "\"control\":" + here + ports[2] + "\"";
    String disk = gateway ? "" : "\"data_dir\":\"" + directory.resolve("data") + "\",";
    return "{\"station\":\"rehearsed\",\"role\":\""
        + application
        + "\",\"machine_class\":\"counter\","
        + "\"serves\":["
        + (gateway ? "\"counter\"" : "\"head_office\"")
        + "],"
        + "\"ip\":\"127.0.0.1\",\"zone\":\"z\",\"region\":\"r\",\"zones\":{\"z\":\"r\"},"
        + "\"mail_slots\":{"
        + slots
        + "},\"inner_ports\":["
        + ports[3]
        + ","
        + (ports[3] + 1)
        + "],"
        + "\"seed_stations\":["
        + here
        + ports[2]
        + "\"],\"first_start\":true,\"counted\":true,"
        + disk
        + "\"limits\":{\"cpu_share\":0.4,\"memory_mb\":256,\"fds\":1024,\"link_mbps\":1000.0,"
        + "\"disk_mb\":64},\"clauses\":[\"base\",\"batch\",\"stream\"],\"bear_losses\":{\"machines\":0},"
        + "\"bounds\":{\"grace_s\":8},\"carrier_api\":{\"address\":"
        + here
        + ports[4]
        + "\",\"per_s\":40,\"lag_ms\":800}}";
  }

  /** Ports that are free at the moment; the port after each most likely is free as well. */
  private static int[] freePorts(int count) throws IOException {
    int[] ports = new int[count];
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        ports[i] = Math.min(socket.getLocalPort(), 65_534);
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }

  private static void delete(Path directory) {
    if (directory == null) {
      return;
    }
    try (Stream<Path> inside = Files.walk(directory)) {
      for (Path path : inside.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    } catch (IOException e) {
      directory.toFile().deleteOnExit();
    }
  }
}
