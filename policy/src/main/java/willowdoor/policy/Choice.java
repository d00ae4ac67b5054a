package willowdoor.policy;

import java.util.List;
import willowdoor.policy.GatewayApi.*;

/** Which backend a request's next attempt goes to. */
record Choice(Context ctx, Fleet fleet) {
  /**
   * Backends compared for a request, over all gateways; two at least, as equal stale reports make a
   * herd.
   */
  private static final double FLEET_CANDIDATES = 30;

  /**
   * Random spread of expected waits, so that gateways with the same reports pick different
   * backends.
   */
  private static final double SPREAD = 0.15;

  /**
   * The most promising of a few backends drawn by chance (power of two choices): with many
   * gateways, equal stale reports would send all to the same one. Beside them all cold ones that
   * have room, and among equals these, as what they may get expires. Rests are ignored where all
   * drawn rest.
   */
  Backend pick(Job job) {
    boolean bound = job.keyedTo != null && job.type.group() != Group.ALL;
    List<Backend> among =
        bound ? fleet.serving.stream().filter(b -> inGroup(b, job)).toList() : fleet.usual;
    int wanted =
        (int) Math.max(2, Math.ceil(FLEET_CANDIDATES / Math.max(2, ctx.settings.gateways())));
    Backend best = bestOf(among, job, wanted, false);
    best = best != null || bound ? best : bestOf(fleet.serving, job, wanted, false);
    return best != null ? best : bestOf(among, job, wanted, true);
  }

  private static boolean inGroup(Backend b, Job job) {
    BackendEntry is = b.entry, to = job.keyedTo.entry;
    return is.zone().equals(to.zone())
        && (job.type.group() == Group.ZONE || is.cell() == to.cell());
  }

  private Backend bestOf(List<Backend> among, Job job, int wanted, boolean ignoreRest) {
    Backend best = null;
    double bestWait = Double.POSITIVE_INFINITY;
    boolean all = among.size() <= wanted;
    int draws = all ? 0 : 3 * wanted;
    for (int i = 0, found = 0; i < draws + among.size(); i++) {
      Backend b = among.get(i < draws ? ctx.random.nextInt(among.size()) : i - draws);
      boolean looked = i < draws ? found < wanted : all || b.cold();
      if (looked
          && b.open()
          && (ignoreRest || !b.resting(job.type.repeat()))
          && fleet.coldRoom.has(b)) {
        found++;
        double again = b == job.lastBackend ? 4 : 1;
        double w =
            b.wait(job.aim())
                * (1 + SPREAD * ctx.random.nextDouble() * (b.cold() ? -1 : 1))
                * again;
        best = w < bestWait ? b : best;
        bestWait = Math.min(w, bestWait);
      }
    }
    return best;
  }
}
