package elmsail.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * A client that submits a batch job at the beginning of each burst, at the same time as all others,
 * over connections that it keeps. It honours Retry-After, gives up after a few tries at different
 * gateways, and cancels most jobs that are accepted.
 */
final class BurstClient implements Runnable {
  /** The time from one burst to the next. */
  static final long BURST_INTERVAL_MS = 3_000;

  private static final int MAX_TRIES = 2;
  private static final int SPREAD_MS = 150;
  private static final int MAX_RETRY_MS = 1_500;
  private static final int CALL_TIMEOUT_MS = 3_500;
  private static final int MIN_ITEMS = 4;
  private static final int MAX_ITEMS = 12;
  private static final int MAX_TOKENS = 60;
  private static final int BODY_PADDING = 8_000;
  private static final int CANCEL_PERCENT = 80;

  private final BatchClient client;
  private final Map<String, KeptConnection> connections = new HashMap<>();
  private final SoakClock clock;
  private final Random random;
  private final BooleanSupplier loadOver;
  private final BooleanSupplier readsOver;

  /**
   * @param loadOver true when no job is to be submitted any more
   * @param readsOver true when no job is to be cancelled any more
   */
  BurstClient(
      BatchClient client,
      SoakEnvironment environment,
      SoakClock clock,
      long seed,
      BooleanSupplier loadOver,
      BooleanSupplier readsOver) {
    this.client = client;
    this.clock = clock;
    this.random = new Random(seed);
    this.loadOver = loadOver;
    this.readsOver = readsOver;
    environment.clients.forEach(
        (machine, address) -> connections.put(machine, new KeptConnection(address)));
  }

  /** The time until the next burst begins. */
  static long untilNextBurstMs(long nowMs) {
    return BURST_INTERVAL_MS - nowMs % BURST_INTERVAL_MS;
  }

  @Override
  public void run() {
    while (!loadOver.getAsBoolean()) {
      SoakClock.pause(untilNextBurstMs(clock.nowMs()) + random.nextInt(SPREAD_MS));
      if (!loadOver.getAsBoolean()) {
        SubmittedJob job = draw();
        client.recordSubmit(job);
        if (submit(job) && random.nextInt(100) < CANCEL_PERCENT) {
          SoakClock.pause(random.nextInt((int) BURST_INTERVAL_MS / 2));
          cancel(job);
        }
      }
    }
    connections.values().forEach(KeptConnection::close);
  }

  private SubmittedJob draw() {
    int count = MIN_ITEMS + random.nextInt(MAX_ITEMS - MIN_ITEMS + 1);
    List<SubmittedJob.Item> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long tokens = (long) MAX_TOKENS / 2 + random.nextInt(MAX_TOKENS / 2);
      SubmittedJob.Item item = BatchClient.item(random, SoakConfig.LIMITED, tokens);
      String body = item.body() + " ".repeat(BODY_PADDING);
      items.add(new SubmittedJob.Item(item.id(), item.lane(), body, item.tokens()));
    }
    return new SubmittedJob(BatchClient.hex(random), SoakConfig.LIMITED, List.copyOf(items));
  }

  private boolean submit(SubmittedJob job) {
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      String machine = client.anyMachine(random);
      BatchClient.SubmitOutcome outcome =
          client.submit(job, machine, connections.get(machine), CALL_TIMEOUT_MS);
      if (outcome.status() == 202) {
        return true;
      }
      SoakClock.pause(Math.min(MAX_RETRY_MS, outcome.retryAfterMs()));
    }
    return false;
  }

  private void cancel(SubmittedJob job) {
    while (!readsOver.getAsBoolean() && client.cancel(job, client.anyMachine(random)) != 200) {
      SoakClock.pause(200);
    }
  }
}
