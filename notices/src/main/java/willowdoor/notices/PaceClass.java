package willowdoor.notices;

/** Class of a slow reader. Slow readers of the same class share a group. */
enum PaceClass {
  /** Under 512 bytes a second. */
  TRICKLE,
  /** Under 8,192 bytes a second. */
  SLOW,
  /** Faster than {@link #SLOW}, but still behind its group. */
  NEAR;

  static PaceClass of(double bytesPerSecond) {
    return bytesPerSecond < 512 ? TRICKLE : bytesPerSecond < 8_192 ? SLOW : NEAR;
  }
}
