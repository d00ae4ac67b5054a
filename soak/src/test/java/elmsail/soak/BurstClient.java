package elmsail.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * A client that submits a batch job in each burst, over connections that it keeps. The clients of
 * the first wave submit at the same time at one gateway, those of the second wave half a second
 * later at any gateway. A client honours Retry-After, gives up after a few tries at different
 * gateways, and cancels most jobs that are accepted.
 */
final class BurstClient implements Runnable {
  /** The time from one burst to the next. */
  static final long BURST_INTERVAL_MS = 5_000;

  /** Long enough for stores that are killed with the first wave to be back. */
  private static final long SECOND_WAVE_DELAY_MS = 550;

  private static final int MAX_TRIES = 2;
  private static final int SPREAD_MS = 45;
  private static final int MAX_RETRY_MS = 1_500;
  private static final int CALL_TIMEOUT_MS = 3_500;
  private static final int MIN_ITEMS = 20;
  private static final int MAX_ITEMS = 40;
  private static final int MAX_TOKENS = 16;
  private static final int BODY_PADDING = 15_000;
  private static final int CANCEL_PERCENT = 80;

  /** Accepted jobs keep the route full until the refused ones have made all their tries. */
  private static final int MIN_CANCEL_DELAY_MS = 2_500;

  private static final int CANCEL_SPREAD_MS = 1_000;

  private final BatchClient client;
  private final Map<String, KeptConnection> connections = new HashMap<>();
  private final SoakClock clock;
  private final Random random;
  private final BooleanSupplier loadOver;
  private final BooleanSupplier readsOver;
  private final boolean inSecondWave;

  /**
   * @param inSecondWave whether it submits in the second wave of a burst
   * @param loadOver true when no job is to be submitted any more
   * @param readsOver true when no job is to be cancelled any more
   */
  BurstClient(
      BatchClient client,
      SoakEnvironment environment,
      SoakClock clock,
      long seed,
      boolean inSecondWave,
      BooleanSupplier loadOver,
      BooleanSupplier readsOver) {
    this.client = client;
    this.clock = clock;
    this.random = new Random(seed);
    this.inSecondWave = inSecondWave;
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
      SubmittedJob job = draw();
      SoakClock.pause(untilNextBurstMs(clock.nowMs()) + random.nextInt(SPREAD_MS));
      String gateway = gatewayOfBurst(clock.nowMs());
      if (inSecondWave) {
        SoakClock.pause(SECOND_WAVE_DELAY_MS);
        gateway = client.anyMachine(random);
      }
      if (!loadOver.getAsBoolean()) {
        client.recordSubmit(job);
        if (submit(job, gateway) && random.nextInt(100) < CANCEL_PERCENT) {
          SoakClock.pause(MIN_CANCEL_DELAY_MS + random.nextInt(CANCEL_SPREAD_MS));
          cancel(job);
        }
      }
    }
    connections.values().forEach(KeptConnection::close);
  }

  /** The gateway at which the first wave submits. */
  private String gatewayOfBurst(long nowMs) {
    List<String> machines = client.machines();
    return machines.get((int) (nowMs / BURST_INTERVAL_MS % machines.size()));
  }

  private SubmittedJob draw() {
    int count = MIN_ITEMS + random.nextInt(MAX_ITEMS - MIN_ITEMS + 1);
    List<SubmittedJob.Item> items = new ArrayList<>();
    while (items.size() < count) {
      long tokens = (long) MAX_TOKENS / 2 + random.nextInt(MAX_TOKENS / 2);
      SubmittedJob.Item item = BatchClient.item(random, SoakConfig.LIMITED, tokens);
      if (ItemScript.of(item.id()).slow()) {
        String body = item.body() + " ".repeat(BODY_PADDING);
        items.add(new SubmittedJob.Item(item.id(), item.lane(), body, item.tokens()));
      }
    }
    return new SubmittedJob(BatchClient.hex(random), SoakConfig.LIMITED, List.copyOf(items));
  }

  private boolean submit(SubmittedJob job, String gateway) {
    String machine = gateway;
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      BatchClient.SubmitOutcome outcome =
          client.submit(job, machine, connections.get(machine), CALL_TIMEOUT_MS);
      if (outcome.status() == 202) {
        return true;
      }
      SoakClock.pause(Math.min(MAX_RETRY_MS, outcome.retryAfterMs()));
      machine = client.anyMachine(random);
    }
    return false;
  }

  private void cancel(SubmittedJob job) {
    while (!readsOver.getAsBoolean() && client.cancel(job, client.anyMachine(random)) != 200) {
      SoakClock.pause(200);
    }
  }
}
