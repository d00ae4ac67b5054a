package willowdoor.lab.relay;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One way between two parties: its faults, its random source, and what went through. On the relay's
 * loop.
 */
final class Pipe {

  final RandomGenerator random;
  Faults faults = Faults.NONE;
  long datagrams;
  long datagramBytes;
  long streamBytes;

  /** Those that go on once the faults have changed. */
  private final Set<Runnable> waiting = new LinkedHashSet<>();

  private long freeNs;

  Pipe(RandomGenerator random) {
    this.random = random;
  }

  /** When bytes that come now are through, on the clock of {@link System#nanoTime}. */
  long due(long nowNs, int bytes) {
    long through = nowNs;
    if (faults.bytesPerS() > 0) {
      freeNs = Math.max(freeNs, nowNs) + (long) (1e9 * bytes / faults.bytesPerS());
      through = freeNs;
    }
    double delayMs =
        faults.delayMs() + (faults.jitterMs() > 0 ? faults.jitterMs() * random.nextDouble() : 0);
    return through + (long) (1e6 * delayMs);
  }

  /** How far behind the limit on the rate it is. */
  long backlogNs(long nowNs) {
    return faults.bytesPerS() > 0 ? Math.max(0, freeNs - nowNs) : 0;
  }

  boolean happens(double share) {
    return share > 0 && random.nextDouble() < share;
  }

  void change(Faults to) {
    faults = to;
    if (to.bytesPerS() <= 0) {
      freeNs = 0;
    }
    new ArrayList<>(waiting).forEach(Runnable::run);
  }

  void onChange(Runnable goOn) {
    waiting.add(goOn);
  }

  void forget(Runnable goOn) {
    waiting.remove(goOn);
  }
}
