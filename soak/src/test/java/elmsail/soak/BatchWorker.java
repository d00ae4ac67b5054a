package elmsail.soak;

import java.util.Random;
import java.util.function.BooleanSupplier;

/** A client with one batch job after the other: handed in, read, sometimes ended. */
final class BatchWorker implements Runnable {
  private static final long SUBMIT_MS = 8_000;
  private static final int MOST_ITEMS = 6;
  private static final int MOST_TOKENS = 300;
  private static final int ENDED_OF_100 = 15;
  private static final int EARLIER_OF_100 = 25;
  private static final int BODY_OF_100 = 15;

  private final BatchClient client;
  private final String route;
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
      String route,
      SoakClock clock,
      long seed,
      BooleanSupplier loadOver,
      BooleanSupplier readsOver) {
    this.client = client;
    this.route = route;
    this.clock = clock;
    this.random = new Random(seed);
    this.loadOver = loadOver;
    this.readsOver = readsOver;
  }

  @Override
  public void run() {
    while (!loadOver.getAsBoolean()) {
      SubmittedJob job =
          BatchClient.draw(random, route, 1 + random.nextInt(MOST_ITEMS), MOST_TOKENS);
      client.announce(job);
      if (submit(job)) {
        follow(job);
      }
      SoakClock.pause(random.nextInt(300));
    }
  }

  private boolean submit(SubmittedJob job) {
    long until = clock.now() + SUBMIT_MS;
    while (clock.now() < until) {
      if (client.submit(job, client.anyMachine(random)) == 202) {
        return true;
      }
      SoakClock.pause(100 + random.nextInt(300));
    }
    return false;
  }

  private void follow(SubmittedJob job) {
    boolean ends = random.nextInt(100) < ENDED_OF_100;
    long endAt = clock.now() + random.nextInt(1_000);
    int position = 0;
    while (!client.complete(job) && !readsOver.getAsBoolean()) {
      if (ends && clock.now() >= endAt) {
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
