package willowdoor.notices;

/** Slow readers of like pace go together. */
enum PaceClass {
  /** Under 512 bytes a second. */
  TRICKLE,
  /** Under 8,192 bytes a second. */
  SLOW,
  /** Faster than that, and still behind its group. */
  NEAR;

  static PaceClass of(double bytesPerSecond) {
    return bytesPerSecond < 512 ? TRICKLE : bytesPerSecond < 8_192 ? SLOW : NEAR;
  }
}
