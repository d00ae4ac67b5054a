package willowdoor.policy;

/** A mean that forgets: by samples where they come often, by time where they are rare. */
final class MovingAverage {
  private final double minWeight, decayMs;
  private double updatedAt;
  double value;

  MovingAverage(
      double minWeight,
      double decayMs,
      double now,
      double value) { // where now is infinity, value is a sample
    this.minWeight = minWeight;
    this.decayMs = decayMs;
    this.updatedAt = now;
    this.value = value;
  }

  double add(double sample, double now) {
    value += Math.max(minWeight, 1 - Math.exp((updatedAt - now) / decayMs)) * (sample - value);
    updatedAt = now;
    return value;
  }

  /** The mean, less as it ages without samples. */
  double decayed(double now) {
    return value * Math.exp((updatedAt - now) / decayMs);
  }
}
