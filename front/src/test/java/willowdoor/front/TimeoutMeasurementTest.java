package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.front.Peers.Client;

/**
 * Measures time limits over real sockets. Measured values are printed; hard requirements are
 * asserted.
 */
@Timeout(60)
class TimeoutMeasurementTest {

  private static final int CLIENTS = 8;
  private static final int REQUESTS = 15;
  private static final int TIMEOUT_MS = 300;

  /** How a backend handles a request. */
  private enum Server {
    SILENT,
    SLOW,
    DRIPPING
  }

  private final Peers peers = new Peers();
  private final ExecutorService threads = Executors.newCachedThreadPool();

  @AfterEach
  void close() throws Exception {
    threads.shutdownNow();
    peers.close();
  }

  private static void pause(long ms) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static boolean drip(OutputStream out) throws IOException {
    for (char c : Peers.OK.toCharArray()) {
      Peers.write(out, String.valueOf(c));
      pause(15);
    }
    return true;
  }

  /** The front door pauses for 80 ms now and then, like a process that shares its core. */
  @ParameterizedTest
  @EnumSource
  void everyRequestIsAnsweredOnceWhateverItsServerDoes(Server server) throws Exception {
    FrontDoor door = peers.start();
    peers.answer =
        switch (server) {
          case SILENT -> (request, out) -> true;
          case SLOW ->
              (request, out) -> {
                pause(TIMEOUT_MS + 20);
                return Peers.write(out, Peers.OK);
              };
          case DRIPPING -> (request, out) -> drip(out);
        };
    pauseRepeatedly(door.loop(), new Random(5));
    List<Callable<double[]>> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String name = "c" + i;
      Client client = peers.client();
      clients.add(() -> overrunsMs(client, name));
    }
    List<Double> overruns = new ArrayList<>();
    for (Future<double[]> f : threads.invokeAll(clients)) {
      Arrays.stream(f.get()).forEach(overruns::add);
    }
    assertEquals(CLIENTS * REQUESTS, overruns.size());
    System.out.printf(
        "%s: %d of %d answered past their time, the latest by %.0f ms%n",
        server,
        overruns.stream().filter(ms -> ms > 0).count(),
        overruns.size(),
        overruns.stream().mapToDouble(ms -> ms).max().orElse(0));
  }

  private static void pauseRepeatedly(EventLoop loop, Random random) {
    loop.schedule(
        () -> {
          try {
            TimeUnit.MILLISECONDS.sleep(80);
            pauseRepeatedly(loop, random);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        },
        50 + random.nextInt(600),
        TimeUnit.MILLISECONDS);
  }

  private static double[] overrunsMs(Client client, String name) throws IOException {
    double[] overruns = new double[REQUESTS];
    Random random = new Random(name.hashCode());
    for (int i = 0; i < REQUESTS; i++) {
      long from = System.nanoTime();
      assertTrue(client.ask(Peers.get(name + "-" + i, TIMEOUT_MS)).status() > 0);
      overruns[i] = (System.nanoTime() - from) / 1e6 - TIMEOUT_MS;
      pause(random.nextInt(100));
    }
    return overruns;
  }

  @Test
  void allocationsOnTheLoopPerRequest() throws Exception {
    FrontDoor door = peers.start();
    long loop = door.loop().submit(() -> Thread.currentThread().getId()).get();
    ThreadMXBean thread = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    Client client = peers.client();
    List<Long> perRequest = new ArrayList<>();
    for (int round = 0; round < 5; round++) {
      long before = thread.getThreadAllocatedBytes(loop);
      for (int i = 0; i < 400; i++) {
        assertEquals(200, client.ask(Peers.get("r" + round + "-" + i, 3000)).status());
      }
      perRequest.add((thread.getThreadAllocatedBytes(loop) - before) / 400);
    }
    System.out.println("bytes allocated on the loop for a request, in five rounds: " + perRequest);
  }
}
