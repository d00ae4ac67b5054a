package willowdoor.lab.peers;

/**
 * How a template server behaves.
 *
 * @param slow its work takes so many times as long
 * @param failing the share of requests that end with a 500
 * @param cutting the share whose connection is reset in the middle of the answer
 * @param hanging the share that is never answered
 * @param refusing everything is turned away with Not-Started
 */
public record Mode(double slow, double failing, double cutting, double hanging, boolean refusing) {

  public static final Mode WELL = new Mode(1, 0, 0, 0, false);
}
