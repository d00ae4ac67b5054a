package willowdoor.lab.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Draws names by their weights. */
final class Drawn {

  private final List<String> names = new ArrayList<>();
  private final List<Double> upTo = new ArrayList<>();
  private double sum;

  Drawn(Map<String, Double> weights) {
    weights.forEach(
        (name, weight) -> {
          sum += weight;
          names.add(name);
          upTo.add(sum);
        });
  }

  String next(RandomGenerator random) {
    double at = random.nextDouble() * sum;
    int i = 0;
    while (i < names.size() - 1 && upTo.get(i) <= at) {
      i++;
    }
    return names.get(i);
  }
}
