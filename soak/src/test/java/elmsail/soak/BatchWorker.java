package elmsail.soak;

import java.util.Random;
import java.util.function.BooleanSupplier;

/** A client that submits one batch job after the other, reads its results and may cancel it. */
final class BatchWorker implements Runnable {
  private static final int MAX_TOKENS = 300;
  private static final int MAX_DELAY_MS = 1_000;
  private static final int REREAD_PERCENT = 25;
  private static final int BODY_READ_PERCENT = 15;

  /** A kind of client: its route, items per job, share of cancelled jobs, and submit time-out. */
  enum Profile {
    BULK(SoakConfig.BULK, 1, 6, 15, 8_000),
    LIMITED(SoakConfig.LIMITED, 2, 10, 15, 8_000),
    /** Gives up after one attempt or a few. */
    IMPATIENT(SoakConfig.LIMITED, 1, 10, 15, 700),
    /** So many slow items that most have not run some seconds after the job is ended. */
    LARGE(SoakConfig.BULK, 150, 200, 100, 8_000);

    private final String route;
    private final int minItems;
    private final int maxItems;
    private final int cancelPercent;
    private final long submitTimeoutMs;

    Profile(String route, int leastItems, int mostItems, int endedOf100, long submitMs) {
      this.route = route;
      this.minItems = leastItems;
      this.maxItems = mostItems;
      this.cancelPercent = endedOf100;
      this.submitTimeoutMs = submitMs;
    }

    SubmittedJob draw(Random random) {
      int items = minItems + random.nextInt(maxItems - minItems + 1);
      return BatchClient.draw(random, route, items, MAX_TOKENS, this == LARGE);
    }
  }

  private final BatchClient client;
  private final Profile profile;
  private final SoakClock clock;
  private final Random random;
  private final BooleanSupplier loadOver;
  private final BooleanSupplier readsOver;

  /**
   * @param loadOver true when no job is to be submitted any more
   * @param readsOver true when no results are to be read any more
   */
  BatchWorker(
      BatchClient client,
      Profile habit,
      SoakClock clock,
      long seed,
      BooleanSupplier loadOver,
      BooleanSupplier readsOver) {
    this.client = client;
    this.profile = habit;
    this.clock = clock;
    this.random = new Random(seed);
    this.loadOver = loadOver;
    this.readsOver = readsOver;
  }

  @Override
  public void run() {
    SoakClock.pause(random.nextInt(MAX_DELAY_MS));
    while (!loadOver.getAsBoolean()) {
      SubmittedJob job = profile.draw(random);
      client.recordSubmit(job);
      if (submit(job)) {
        follow(job);
      }
      SoakClock.pause(random.nextInt(300));
    }
  }

  private boolean submit(SubmittedJob job) {
    long deadlineMs = clock.nowMs() + profile.submitTimeoutMs;
    while (clock.nowMs() < deadlineMs) {
      if (client.submit(job, client.anyMachine(random)) == 202) {
        return true;
      }
      SoakClock.pause(100 + random.nextInt(300));
    }
    return false;
  }

  private void follow(SubmittedJob job) {
    boolean ends = random.nextInt(100) < profile.cancelPercent;
    long endAt = clock.nowMs() + 200 + random.nextInt(1_000);
    int position = 0;
    while (!client.complete(job) && !readsOver.getAsBoolean()) {
      if (ends && clock.nowMs() >= endAt) {
        cancel(job);
        return;
      }
      String machine = client.anyMachine(random);
      boolean earlier = random.nextInt(100) < REREAD_PERCENT;
      int after = earlier ? random.nextInt(position + 1) : position;
      JobRead read = client.read(job.id(), machine, after, random.nextBoolean());
      if (read.status() == 200) {
        position = Math.max(position, read.nextToken());
      }
      if (random.nextInt(100) < BODY_READ_PERCENT) {
        client.body(job, job.items().get(random.nextInt(job.items().size())), machine);
      }
      SoakClock.pause(100 + random.nextInt(400));
    }
  }

  private void cancel(SubmittedJob job) {
    while (!readsOver.getAsBoolean() && client.cancel(job, client.anyMachine(random)) != 200) {
      SoakClock.pause(200);
    }
  }
}
