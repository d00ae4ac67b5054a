package willowdoor.policy;

/**
 * A moving average that decays per sample if samples are frequent, and over time if they are rare.
 */
final class MovingAverage {
  private final double minWeight, decayMs;
  private double updatedAt;
  double value;

  /**
   * With {@code now} at infinity, the first sample only moves {@code value} by the minimum weight.
   */
  MovingAverage(double minWeight, double decayMs, double now, double value) {
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

  /** The average, decayed toward zero by the time since the last sample. */
  double decayed(double now) {
    return value * Math.exp((updatedAt - now) / decayMs);
  }
}
