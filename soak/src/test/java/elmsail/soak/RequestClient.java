package elmsail.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

/** A client of plain requests and streams; each request has its own id and one attempt. */
final class RequestClient implements Runnable {
  private static final long CALL_TIMEOUT_MS = 4_000;
  private static final List<String> KINDS = List.of("safe", "unsafe", "stream");

  private final RequestHistoryChecker checker;
  private final List<InetSocketAddress> fronts;
  private final SoakClock clock;
  private final Random random;
  private final BooleanSupplier over;

  RequestClient(
      RequestHistoryChecker checker,
      List<InetSocketAddress> fronts,
      SoakClock clock,
      long seed,
      BooleanSupplier over) {
    this.checker = checker;
    this.fronts = List.copyOf(fronts);
    this.clock = clock;
    this.random = new Random(seed);
    this.over = over;
  }

  @Override
  public void run() {
    while (!over.getAsBoolean()) {
      sendOne();
      SoakClock.pause(50 + random.nextInt(200));
    }
  }

  private void sendOne() {
    String kind = KINDS.get(random.nextInt(KINDS.size()));
    String id = String.format("%016x", random.nextLong());
    HttpCall call =
        new HttpCall(fronts.get(random.nextInt(fronts.size())), "POST", "/" + kind + "/x")
            .header("Host", SoakConfig.HOST)
            .header("Elmsail-Request-Id", id)
            .header("Elmsail-Deadline-Ms", Long.toString(CALL_TIMEOUT_MS))
            .header("Elmsail-Model", "m")
            .header("Elmsail-Tokens", "100,50")
            .header("Elmsail-Prompt-Prefix", id.substring(0, 8) + ":100")
            .body(id.getBytes(StandardCharsets.US_ASCII));
    checker.onSend(id, kind.equals("safe"));
    try {
      HttpResponse response = call.send(CALL_TIMEOUT_MS);
      checker.onResponse(
          id,
          response.status(),
          response.header("Elmsail-Postmark"),
          response.text(),
          clock.nowMs());
    } catch (IOException e) {
      // Without a complete response there is nothing to check.
    }
  }
}
