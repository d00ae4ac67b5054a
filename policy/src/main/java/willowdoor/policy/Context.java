package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/**
 * What all parts of one gateway's module share: settings, chance, the time, what to do, and what it
 * sees.
 */
final class Context {
  final Settings settings;
  final SplittableRandom random;
  final Stalls stalls = new Stalls();
  final Pressure pressure;
  final Figures figures = new Figures();
  double now, startedAt;
  List<Action> out = new ArrayList<>(); // what to do for the event at hand, in order

  private final Map<String, RequestClass> classes = new HashMap<>();

  Context(Settings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
    pressure = new Pressure(settings);
    settings.classes().forEach(c -> classes.put(c.name(), c));
  }

  /** A class not in the settings is treated as one that must never run twice. */
  RequestClass type(Request r) {
    RequestClass known = classes.get(r.className());
    double left = r.giveUpMs() - now;
    return known != null
        ? known
        : new RequestClass(
            r.className(), 1, 0, left / 2, left, Repeat.UNSAFE, Group.CELL, 0, false);
  }
}
