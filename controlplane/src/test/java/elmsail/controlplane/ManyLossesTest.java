package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * More machines are lost than is borne, but no more disks: all control-plane nodes and all stores
 * lose power, one after the other in any order or at one moment, while writes are under way, and as
 * many of them as is borne lose their disks. Once all are back everything acknowledged is served
 * within the time to recover, and nothing older before.
 */
class ManyLossesTest {
  private static final int STORIES = 30;

  /** The bound of the small sites. */
  private static final long RECOVER_MS = 12_000;

  private World world;
  private Random chance;
  private final List<String> machines = new ArrayList<>();

  @ParameterizedTest
  @CsvSource({
    "4, 5, 1, 0",
    "4, 5, 1, 400",
    "4, 5, 1, 3000",
    "6, 8, 2, 0",
    "6, 8, 2, 400",
    "6, 8, 2, 3000"
  })
  void allThatWasAcknowledgedIsServedAgain(int nodes, int stores, int bear, int apartMs) {
    long longest = 0;
    int jobsSeen = 0;
    for (int seed = 1; seed <= STORIES; seed++) {
      String name = nodes + " nodes, " + apartMs + " ms apart, seed " + seed;
      start(seed, nodes, stores, bear);
      OrderStory orders = new OrderStory(name, world, chance, nodes);
      JobWriter jobs = new JobWriter(name, world, chance);
      ReadWatch reads = new ReadWatch(name, orders);
      assertThat(name, world.until(8_000, () -> !jobs.newest().voters.isEmpty()), is(true));
      assertThat(name, world.replaceAnywhere(0, 1), is(200));
      OrderStory.Order first = OrderStory.order(0, 1, "");
      orders.sent.add(first);
      orders.confirmed.add(first);
      run(1_500 + chance.nextInt(500), jobs, orders, reads);
      orders.send(OrderStory.order(1, 2, "a"));
      run(chance.nextInt(80), jobs, orders, reads);
      loseAll(bear, apartMs, orders, reads);
      long back = world.timers.now();
      long newest = orders.confirmed.size();
      while (!served(newest) && world.timers.now() < back + RECOVER_MS) {
        run(50, jobs, orders, reads);
      }
      assertThat(name, served(newest), is(true));
      longest = Math.max(longest, world.timers.now() - back);
      long left = back + RECOVER_MS - world.timers.now();
      assertThat(name, world.until(left, () -> voting(jobs) == 2 * bear + 1), is(true));
      jobs.readAll();
      jobsSeen += jobs.written();
    }
    System.out.printf(
        "%d nodes, %d stores, %d ms apart: configuration after %d ms, %d jobs there%n",
        nodes, stores, apartMs, longest, jobsSeen);
    assertThat(jobsSeen, greaterThan(STORIES));
  }

  private void start(int seed, int nodes, int stores, int bear) {
    world = new World(seed, 3, bear);
    chance = new Random(seed);
    world.net.delay(1, 8);
    machines.clear();
    for (int i = 1; i <= nodes; i++) {
      world.controlPlane("n" + i, true);
      machines.add("n" + i);
    }
    for (int i = 1; i <= stores; i++) {
      world.store("v" + i, true);
      machines.add("v" + i);
    }
  }

  private void run(long ms, JobWriter jobs, OrderStory orders, ReadWatch reads) {
    for (long end = world.timers.now() + ms; world.timers.now() < end; ) {
      jobs.step();
      reads.ask("n" + (1 + chance.nextInt(3)));
      orders.hear(10);
      reads.check();
    }
  }

  /** Each loses power; as many as is borne lose their disks; all come back in another order. */
  private void loseAll(int bear, int apartMs, OrderStory orders, ReadWatch reads) {
    Collections.shuffle(machines, chance);
    for (int i = 0; i < machines.size(); i++) {
      if (i < bear) {
        world.wipe(machines.get(i));
      } else {
        world.net.kill(world.address(machines.get(i)), false);
        world.disks.get(machines.get(i)).powerLoss();
      }
      orders.hear(apartMs == 0 ? 0 : chance.nextInt(apartMs));
      reads.check();
    }
    Collections.shuffle(machines, chance);
    for (String machine : machines) {
      world.timers.advance(apartMs == 0 ? 0 : chance.nextInt(apartMs));
      if (machine.startsWith("n")) {
        world.controlPlane(machine, false);
      } else {
        world.store(machine, false);
      }
    }
  }

  /** Whether the first node reads what was confirmed, or the order that was under way. */
  private boolean served(long confirmed) {
    String read = world.read("n1");
    if (!read.startsWith("{")) {
      return false;
    }
    boolean second = read.contains("\"edition\":2");
    if (confirmed == 2) {
      assertThat(second, is(true));
    }
    if (!second) {
      assertThat(read, equalTo(World.config(1)));
    }
    return true;
  }

  private long voting(JobWriter jobs) {
    return jobs.newest().voters.stream()
        .filter(slot -> world.stores.get(slot.machine).replica().isVoting())
        .filter(slot -> world.disks.get(slot.machine).instanceId() == slot.instanceId)
        .count();
  }
}
