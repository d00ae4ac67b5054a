import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;

/**
 * One batch job has a header whose value begins with a blank. It is answered 202, and so are the
 * jobs that other clients hand in later at the same gateway. All items have to be listed when
 * finish_s is over. Without trouble the value begins with a letter.
 */
final class OddHeader {
  private static final int FINISH_S = 10;

  private record Job(String id, List<String> items, boolean odd, String gateway) {}

  private static Rig rig;
  private static final Map<String, Long> lastAtServer = new ConcurrentHashMap<>();
  private static volatile long lastFinished;

  public static void main(String[] args) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (Rig opened = new Rig(Path.of(args[0]))) {
      rig = opened;
      rig.deploy(3);
      for (int i = 1; i <= 6; i++) {
        rig.new ModelServer(i, "gereet", 24, OddHeader::work);
      }
      rig.startAll();
      rig.configure(0, Rig.config(3, ""), 20_000);
      rig.awaitReady(20_000);
      Thread.sleep(2_000);
      code = play(trouble);
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static boolean work(
      Rig.ModelServer server, Rig.Message request, java.net.Socket socket, java.io.OutputStream out)
      throws Exception {
    String id = request.header("elmsail-request-id");
    try {
      Rig.streamHead(out, server, id);
      String after = request.header("last-event-id");
      for (int e = after == null ? 0 : Integer.parseInt(after) + 1; e < 20; e++) {
        Thread.sleep(20);
        Rig.event(out, e, "word" + e);
      }
      Rig.lastChunk(out);
      lastFinished = rig.ms();
    } finally {
      lastAtServer.put(id, rig.ms());
    }
    return true;
  }

  private static int play(boolean trouble) throws Exception {
    Random random = new Random();
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 18; i++) {
      boolean odd = i == 6;
      Rig.Node gateway = rig.role("gateway").get(i % 3);
      Job job = handIn(random, gateway, odd, odd && trouble ? " v" : "v");
      if (job == null) {
        return 2;
      }
      jobs.add(job);
      Thread.sleep(500);
    }
    rig.log("the traffic has ended");
    Thread.sleep(FINISH_S * 1_000);
    int missing = 0;
    for (Job job : jobs) {
      int listed = read(job);
      long last = 0;
      for (String item : job.items()) {
        last = Math.max(last, lastAtServer.getOrDefault(item, 0L));
      }
      rig.log("job " + job.id() + " by " + job.gateway() + (job.odd() ? " (odd)" : "") + ": " + listed
          + " of " + job.items().size() + " listed, last at a server at " + last + " ms");
      boolean quiet = rig.ms() - last > 5_000 && rig.ms() - lastFinished > 3_000;
      if (!job.odd() && listed < job.items().size() && quiet) {
        missing++;
        rig.log("BROKEN LOST: job " + job.id() + " is open, " + (job.items().size() - listed)
            + " items are not listed");
      }
    }
    rig.log(missing + " of " + (jobs.size() - 1) + " sound jobs have items that are not listed");
    System.out.println(missing + " of " + (jobs.size() - 1) + " sound jobs not finished");
    return missing > 0 ? 1 : 0;
  }

  /** Null if no gateway takes the job within its tries. */
  private static Job handIn(Random random, Rig.Node gateway, boolean odd, String value)
      throws Exception {
    String id = Rig.hex(random);
    List<String> items = new ArrayList<>();
    StringBuilder json = new StringBuilder("{\"pieces\":[");
    for (int i = 0; i < 10; i++) {
      String item = Rig.hex(random);
      items.add(item);
      json.append(i > 0 ? "," : "").append("{\"id\":\"").append(item)
          .append("\",\"lane\":\"/batch/3/91c4\",\"envelope\":{\"Elmsail-Model\":\"m\",")
          .append(odd ? "\"X-Desk\":\"" + value + "\"," : "")
          .append("\"Elmsail-Tokens\":\"768,42\",\"Elmsail-Prompt-Prefix\":\"9c2e41:432,")
          .append(item).append(":336\"},\"contents\":\"q83vEjRWeJA=\",\"tokens\":810}");
    }
    byte[] body = json.append("]}").toString().getBytes(StandardCharsets.US_ASCII);
    for (int attempt = 0; attempt < 5; attempt++) {
      int status =
          Rig.call(gateway.front(), "POST", "/batch/7c41e0",
                  "Host: " + Rig.HOST + "\r\nElmsail-Request-Id: " + id
                      + "\r\nContent-Type: application/json\r\n",
                  body, 4_000)
              .status();
      rig.log("job " + id + (odd ? " with the value \"" + value + "\"" : "") + " handed in at "
          + gateway.name + ": " + status);
      if (status == 202) {
        return new Job(id, items, odd, gateway.name);
      }
      Thread.sleep(300);
    }
    return null;
  }

  /** The number of listed items, read at the other gateways too. */
  private static int read(Job job) throws Exception {
    int most = 0;
    for (Rig.Node gateway : rig.role("gateway")) {
      Rig.Message answer =
          Rig.call(gateway.front(), "GET", "/lots/" + job.id() + "?after=0",
              "Host: " + Rig.HOST + "\r\n", null, 3_000);
      int listed = answer.text().split("\"state\":").length - 1;
      most = Math.max(most, listed);
    }
    return most;
  }
}
