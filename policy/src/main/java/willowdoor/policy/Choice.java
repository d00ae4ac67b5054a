package willowdoor.policy;

import java.util.List;
import willowdoor.policy.GatewayApi.*;

/** Which backend a request's next attempt goes to. */
record Choice(Context ctx, Fleet fleet) {
  /** Backends compared for a request, over all gateways; two at least, as equal stale reports make a herd. */
  private static final double FLEET_CANDIDATES = 30;
  /** Random spread of expected waits, so that gateways with the same reports pick different backends. */
  private static final double SPREAD = 0.15;

  /** The most promising of a few backends drawn by chance (power of two choices): with many gateways, equal
   * stale reports would send all to the same one. Rests are ignored where all drawn rest. */
  Backend pick(Job job) {
    boolean bound = job.keyedTo != null && job.type.group() != Group.ALL;
    List<Backend> among = bound ? fleet.serving.stream().filter(b -> inGroup(b, job)).toList() : fleet.usual;
    int wanted = (int) Math.max(2, Math.ceil(FLEET_CANDIDATES / Math.max(2, ctx.settings.gateways())));
    Backend best = bestOf(among, job, wanted, false);
    best = best != null || bound ? best : bestOf(fleet.serving, job, wanted, false);
    return best != null ? best : bestOf(among, job, wanted, true);
  }

  private static boolean inGroup(Backend b, Job job) {
    BackendEntry is = b.entry, to = job.keyedTo.entry;
    return is.zone().equals(to.zone()) && (job.type.group() == Group.ZONE || is.cell() == to.cell());
  }

  private Backend bestOf(List<Backend> among, Job job, int wanted, boolean ignoreRest) {
    Backend best = null;
    double bestWait = Double.POSITIVE_INFINITY;
    boolean all = among.size() <= wanted;
    int draws = all ? among.size() : 3 * wanted;
    for (int i = 0, found = 0; i < draws && found < wanted; i++) {
      Backend b = among.get(all ? i : ctx.random.nextInt(among.size()));
      if (b.open() && (ignoreRest || !b.resting(job.type.repeat())) && fleet.coldRoom.has(b)) {
        found++;
        double spread = 1 + SPREAD * ctx.random.nextDouble();
        double w = b.wait(job.aim()) * spread * (b == job.lastBackend ? 4 : 1);
        boolean better = w < bestWait;
        best = better ? b : best;
        bestWait = better ? w : bestWait;
      }
    }
    return best;
  }
}
