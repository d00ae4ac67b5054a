package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/**
 * State shared by the parts of one gateway's decision module: settings, random source, time,
 * pending actions and observations.
 */
final class Context {
  final Settings settings;
  final SplittableRandom random;
  final StallDetector stallDetector = new StallDetector();
  final LoadEstimate load;
  final DecisionStats stats = new DecisionStats();
  double now, startedAt;

  /** Actions for the current event, in order. */
  List<Action> actions = new ArrayList<>();

  private final Map<String, RequestClass> classes = new HashMap<>();

  Context(Settings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
    load = new LoadEstimate(settings);
    settings.classes().forEach(c -> classes.put(c.name(), c));
  }

  /**
   * Returns the class of the request. A class that is not in the settings is treated as one that
   * must never run twice.
   */
  RequestClass requestClass(Request request) {
    RequestClass known = classes.get(request.className());
    double remainingMs = request.deadlineMs() - now;
    return known != null
        ? known
        : new RequestClass(
            request.className(),
            1,
            0,
            remainingMs / 2,
            remainingMs,
            RetrySafety.UNSAFE,
            DeduplicationScope.CELL,
            0,
            false);
  }
}
