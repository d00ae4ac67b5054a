package willowdoor.members;

/**
 * Lifeguard's local health score, from 0 (healthy). The higher the score, the less reliable are
 * this process's own failure detections and the longer are its time-outs.
 */
final class LocalHealth {

  private final int maxScore;
  private int score;

  /** With a maximum of 0 the score stays 0. */
  LocalHealth(int maxScore) {
    this.maxScore = maxScore;
  }

  void change(long by) {
    score = (int) Math.max(0, Math.min(maxScore, score + by));
  }

  int score() {
    return score;
  }

  long scaled(long ms) {
    return ms * (score + 1);
  }
}
