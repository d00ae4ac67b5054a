package elmsail.soak;

import java.util.Random;
import java.util.function.BooleanSupplier;

/** A client with one batch job after the other: handed in, read, sometimes ended early. */
final class BatchWorker implements Runnable {
  private static final int MAX_TOKENS = 300;
  private static final int MAX_DELAY_MS = 1_000;
  private static final int EARLIER_OF_100 = 25;
  private static final int BODY_OF_100 = 15;

  /** What a client's jobs are like: route, items, how many it ends early, how long it tries. */
  enum Profile {
    BULK(SoakConfig.BULK, 1, 6, 15, 8_000),
    LIMITED(SoakConfig.LIMITED, 2, 10, 15, 8_000),
    /** Gives up after a try or a few. */
    IMPATIENT(SoakConfig.LIMITED, 1, 10, 15, 700),
    /** So many slow items that most have not run some seconds after the job is ended. */
    LARGE(SoakConfig.BULK, 150, 200, 100, 8_000);

    private final String route;
    private final int leastItems;
    private final int mostItems;
    private final int endedOf100;
    private final long submitMs;

    Profile(String route, int leastItems, int mostItems, int endedOf100, long submitMs) {
      this.route = route;
      this.leastItems = leastItems;
      this.mostItems = mostItems;
      this.endedOf100 = endedOf100;
      this.submitMs = submitMs;
    }

    SubmittedJob draw(Random random) {
      int items = leastItems + random.nextInt(mostItems - leastItems + 1);
      return BatchClient.draw(random, route, items, MAX_TOKENS, this == LARGE);
    }
  }

  private final BatchClient client;
  private final Profile habit;
  private final SoakClock clock;
  private final Random random;
  private final BooleanSupplier loadOver;
  private final BooleanSupplier readsOver;

  /**
   * @param loadOver when no job is begun any more
   * @param readsOver when none is read any more
   */
  BatchWorker(
      BatchClient client,
      Profile habit,
      SoakClock clock,
      long seed,
      BooleanSupplier loadOver,
      BooleanSupplier readsOver) {
    this.client = client;
    this.habit = habit;
    this.clock = clock;
    this.random = new Random(seed);
    this.loadOver = loadOver;
    this.readsOver = readsOver;
  }

  @Override
  public void run() {
    SoakClock.pause(random.nextInt(MAX_DELAY_MS));
    while (!loadOver.getAsBoolean()) {
      SubmittedJob job = habit.draw(random);
      client.announce(job);
      if (submit(job)) {
        follow(job);
      }
      SoakClock.pause(random.nextInt(300));
    }
  }

  private boolean submit(SubmittedJob job) {
    long deadlineMs = clock.nowMs() + habit.submitMs;
    while (clock.nowMs() < deadlineMs) {
      if (client.submit(job, client.anyMachine(random)) == 202) {
        return true;
      }
      SoakClock.pause(100 + random.nextInt(300));
    }
    return false;
  }

  private void follow(SubmittedJob job) {
    boolean ends = random.nextInt(100) < habit.endedOf100;
    long endAt = clock.nowMs() + 200 + random.nextInt(1_000);
    int position = 0;
    while (!client.complete(job) && !readsOver.getAsBoolean()) {
      if (ends && clock.nowMs() >= endAt) {
        end(job);
        return;
      }
      String machine = client.anyMachine(random);
      boolean earlier = random.nextInt(100) < EARLIER_OF_100;
      int after = earlier ? random.nextInt(position + 1) : position;
      JobRead read = client.read(job.id(), machine, after, random.nextBoolean());
      if (read.status() == 200) {
        position = Math.max(position, read.nextToken());
      }
      if (random.nextInt(100) < BODY_OF_100) {
        client.body(job, job.items().get(random.nextInt(job.items().size())), machine);
      }
      SoakClock.pause(100 + random.nextInt(400));
    }
  }

  private void end(SubmittedJob job) {
    while (!readsOver.getAsBoolean() && client.end(job, client.anyMachine(random)) != 200) {
      SoakClock.pause(200);
    }
  }
}
